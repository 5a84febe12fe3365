package encoder

import "mulberrybeam"

const (
	// ObjectGroup is the API group and version of the objects.
	ObjectGroup = "mulberrybeam.io/v1"
	// MaxObjectBytes limits the data of one object.
	MaxObjectBytes = 1 << 20
)

// Values of ObjectStatus.Reason and ObjectStatus.Status, as in the Kubernetes
// API.
const (
	ReasonAlreadyExists         = "AlreadyExists"
	ReasonConflict              = "Conflict"
	ReasonNotFound              = "NotFound"
	ReasonExpired               = "Expired"
	ReasonTooManyRequests       = "TooManyRequests"
	ReasonRequestEntityTooLarge = "RequestEntityTooLarge"
	ReasonBadRequest            = "BadRequest"
	ReasonServiceUnavailable    = "ServiceUnavailable"
	StatusSucceeded             = "Success"
	StatusFailed                = "Failure"
)

// Types of watch events, as in the Kubernetes API.
const (
	WatchAdded    = "ADDED"
	WatchModified = "MODIFIED"
	WatchDeleted  = "DELETED"
	WatchError    = "ERROR"
)

// ObjectMetadata identifies an object and its version.
type ObjectMetadata struct {
	Name            string `json:"name"`
	Namespace       string `json:"namespace"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// ObjectBody is the JSON form of an object of the object API.
type ObjectBody struct {
	APIVersion string         `json:"apiVersion"`
	Kind       string         `json:"kind"`
	Metadata   ObjectMetadata `json:"metadata"`
	Data       []byte         `json:"data"`
}

// ObjectList is the response to a list request.
type ObjectList struct {
	APIVersion string         `json:"apiVersion"`
	Kind       string         `json:"kind"`
	Metadata   ObjectMetadata `json:"metadata"`
	Items      []ObjectBody   `json:"items"`
}

// Preconditions restrict a delete to one version of the object.
type Preconditions struct {
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// DeleteOptions is the body of a delete request.
type DeleteOptions struct {
	APIVersion    string         `json:"apiVersion"`
	Kind          string         `json:"kind"`
	Preconditions *Preconditions `json:"preconditions,omitempty"`
}

// ObjectStatus is the response to a delete request and the body of every error
// response.
type ObjectStatus struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Status     string `json:"status"`
	Reason     string `json:"reason,omitempty"`
	Message    string `json:"message,omitempty"`
	Code       int    `json:"code,omitempty"`
}

// singularNames maps the kinds to the singular names that the API uses for them.
var singularNames = map[mulberrybeam.ObjectKind]string{
	mulberrybeam.ObjectEnvironment: "Environment",
	mulberrybeam.ObjectDirectory:   "Directory",
	mulberrybeam.ObjectSlot:        "Slot",
	mulberrybeam.ObjectIntent:      "Intent",
}

// KindName returns the singular name of a kind, or the kind itself if it has
// none.
func KindName(kind mulberrybeam.ObjectKind) string {
	if name, found := singularNames[kind]; found {
		return name
	}
	return string(kind)
}

// EncodeObject returns the JSON form of an object in an environment's namespace.
func EncodeObject(object mulberrybeam.Object, environment string) ObjectBody {
	return ObjectBody{
		APIVersion: ObjectGroup, Kind: KindName(object.Kind),
		Metadata: ObjectMetadata{Name: object.Name, Namespace: environment, ResourceVersion: object.Version},
		Data:     object.Data,
	}
}

// Decode converts the JSON form to an object of the given kind.
func (b ObjectBody) Decode(kind mulberrybeam.ObjectKind) mulberrybeam.Object {
	return mulberrybeam.Object{
		Kind: kind, Name: b.Metadata.Name, Version: b.Metadata.ResourceVersion, Data: b.Data,
	}
}
