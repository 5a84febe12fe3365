package encoder

import "mulberrybeam"

const (
	// ObjectGroup is the API group and version of the project's objects.
	ObjectGroup = "mulberrybeam.io/v1"
	// MaxObjectBytes bounds the data of one object.
	MaxObjectBytes = 1 << 20
)

// Reasons of a Status, as published for Kubernetes resources.
const (
	ReasonExists    = "AlreadyExists"
	ReasonConflict  = "Conflict"
	ReasonNotFound  = "NotFound"
	ReasonExpired   = "Expired"
	ReasonLimited   = "TooManyRequests"
	ReasonTooLarge  = "RequestEntityTooLarge"
	ReasonInvalid   = "BadRequest"
	ReasonDown      = "ServiceUnavailable"
	StatusSucceeded = "Success"
	StatusFailed    = "Failure"
)

// Types of watch events.
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

// ObjectBody is an object of the object API.
type ObjectBody struct {
	APIVersion string         `json:"apiVersion"`
	Kind       string         `json:"kind"`
	Metadata   ObjectMetadata `json:"metadata"`
	Data       []byte         `json:"data"`
}

// ObjectList is the answer to a list.
type ObjectList struct {
	APIVersion string         `json:"apiVersion"`
	Kind       string         `json:"kind"`
	Metadata   ObjectMetadata `json:"metadata"`
	Items      []ObjectBody   `json:"items"`
}

// Preconditions bind a delete to a version.
type Preconditions struct {
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// DeleteOptions is the body of a delete.
type DeleteOptions struct {
	APIVersion    string         `json:"apiVersion"`
	Kind          string         `json:"kind"`
	Preconditions *Preconditions `json:"preconditions,omitempty"`
}

// ObjectStatus is the answer to a delete and the body of every error.
type ObjectStatus struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Status     string `json:"status"`
	Reason     string `json:"reason,omitempty"`
	Message    string `json:"message,omitempty"`
	Code       int    `json:"code,omitempty"`
}

// kindNames are the singular names of the kinds.
var kindNames = map[mulberrybeam.ObjectKind]string{
	mulberrybeam.ObjectEnvironment: "Environment",
	mulberrybeam.ObjectDirectory:   "Directory",
	mulberrybeam.ObjectSlot:        "Slot",
	mulberrybeam.ObjectIntent:      "Intent",
}

// KindName returns the singular name of a kind.
func KindName(kind mulberrybeam.ObjectKind) string {
	if name, found := kindNames[kind]; found {
		return name
	}
	return string(kind)
}

// BodyOf returns the wire form of an object.
func BodyOf(object mulberrybeam.Object, environment string) ObjectBody {
	return ObjectBody{
		APIVersion: ObjectGroup, Kind: KindName(object.Kind),
		Metadata: ObjectMetadata{Name: object.Name, Namespace: environment, ResourceVersion: object.Version},
		Data:     object.Data,
	}
}

// Plain returns the plain form of an object.
func (b ObjectBody) Plain(kind mulberrybeam.ObjectKind) mulberrybeam.Object {
	return mulberrybeam.Object{
		Kind: kind, Name: b.Metadata.Name, Version: b.Metadata.ResourceVersion, Data: b.Data,
	}
}
