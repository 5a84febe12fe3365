package mulberrybeam

// ObjectKind names a kind of object in the object API.
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
	// Version is the API's opaque version. An update or delete with a
	// version succeeds only while the object still has it.
	Version string
	// Data is the content, one megabyte at most.
	Data []byte
}
