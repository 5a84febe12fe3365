package mulberrybeam

// ObjectKind is a kind of object in the object API.
type ObjectKind string

// Kinds of objects.
const (
	ObjectEnvironment ObjectKind = "environments"
	ObjectDirectory   ObjectKind = "directories"
	ObjectSlot        ObjectKind = "slots"
	ObjectIntent      ObjectKind = "intents"
)

// Object is an object of the object API. Its namespace is the environment.
type Object struct {
	Kind ObjectKind
	Name string
	// Version is the opaque version that the API assigned. An update or delete
	// that carries a version succeeds only if the object still has that
	// version.
	Version string
	// Data is the content, at most one megabyte.
	Data []byte
	// Status is the status of an object whose writer is not that of its content.
	Status []byte
}
