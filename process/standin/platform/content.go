package platform

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"mulberrybeam/connection/encoder"
)

// place identifies the objects of one kind in a namespace.
type place struct {
	namespace string
	kind      string
}

// change is one change of an object in the history.
type change struct {
	version uint64
	place   place
	event   string
	object  encoder.ObjectBody
}

// content holds all objects and the history of their changes. Platform.mu guards
// it.
type content struct {
	version uint64
	objects map[place]map[string]encoder.ObjectBody
	history []change
	// limit is the maximum length of the history.
	limit int
	// forgotten is the highest version that was removed from the history.
	forgotten uint64
}

func refuse(code int, reason, message string) *encoder.ObjectStatus {
	return &encoder.ObjectStatus{
		APIVersion: "v1", Kind: "Status", Status: encoder.StatusFailed,
		Reason: reason, Message: message, Code: code,
	}
}

func missing(name string) *encoder.ObjectStatus {
	return refuse(http.StatusNotFound, encoder.ReasonNotFound, "object "+name+" does not exist")
}

func (c *content) get(at place, name string) (encoder.ObjectBody, *encoder.ObjectStatus) {
	object, found := c.objects[at][name]
	if !found {
		return object, missing(name)
	}
	return object, nil
}

func (c *content) list(at place) []encoder.ObjectBody {
	items := []encoder.ObjectBody{}
	for _, object := range c.objects[at] {
		items = append(items, object)
	}
	slices.SortFunc(items, func(a, b encoder.ObjectBody) int {
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	return items
}

func (c *content) create(at place, object encoder.ObjectBody) (encoder.ObjectBody, *encoder.ObjectStatus) {
	name := object.Metadata.Name
	if name == "" {
		return object, refuse(http.StatusBadRequest, encoder.ReasonInvalid, "name is empty")
	}
	if _, found := c.objects[at][name]; found {
		return object, refuse(http.StatusConflict, encoder.ReasonExists, "object "+name+" already exists")
	}
	return c.put(at, encoder.WatchAdded, object), nil
}

func (c *content) update(at place, object encoder.ObjectBody) (encoder.ObjectBody, *encoder.ObjectStatus) {
	name := object.Metadata.Name
	current, found := c.objects[at][name]
	if !found {
		return object, missing(name)
	}
	if status := conflict(current, object.Metadata.ResourceVersion); status != nil {
		return object, status
	}
	return c.put(at, encoder.WatchModified, object), nil
}

func (c *content) remove(at place, name, version string) *encoder.ObjectStatus {
	current, found := c.objects[at][name]
	if !found {
		return missing(name)
	}
	if status := conflict(current, version); status != nil {
		return status
	}
	delete(c.objects[at], name)
	c.record(at, encoder.WatchDeleted, current)
	return nil
}

func conflict(current encoder.ObjectBody, version string) *encoder.ObjectStatus {
	if version == "" || version == current.Metadata.ResourceVersion {
		return nil
	}
	return refuse(http.StatusConflict, encoder.ReasonConflict,
		"object "+current.Metadata.Name+" has version "+current.Metadata.ResourceVersion)
}

func (c *content) put(at place, event string, object encoder.ObjectBody) encoder.ObjectBody {
	object.Metadata.Namespace = at.namespace
	object = c.record(at, event, object)
	if c.objects[at] == nil {
		c.objects[at] = map[string]encoder.ObjectBody{}
	}
	c.objects[at][object.Metadata.Name] = object
	return object
}

func (c *content) record(at place, event string, object encoder.ObjectBody) encoder.ObjectBody {
	c.version++
	object.Metadata.ResourceVersion = strconv.FormatUint(c.version, 10)
	c.history = append(c.history, change{c.version, at, event, object})
	if len(c.history) > c.limit {
		c.forget(len(c.history) - c.limit)
	}
	return object
}

func (c *content) forget(count int) {
	if count > 0 {
		c.forgotten = c.history[count-1].version
		c.history = slices.Clone(c.history[count:])
	}
}

// since returns the changes after a version, of one object or of all if name is
// empty. It returns false if the history no longer contains all of them.
func (c *content) since(at place, name string, version uint64) ([]change, bool) {
	if version < c.forgotten {
		return nil, false
	}
	var changes []change
	for _, one := range c.history {
		if one.version > version && one.place == at && (name == "" || one.object.Metadata.Name == name) {
			changes = append(changes, one)
		}
	}
	return changes, true
}
