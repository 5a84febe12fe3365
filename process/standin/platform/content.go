package platform

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"mulberrybeam/connection/encoder"
)

// collection identifies the objects of one kind in a namespace.
type collection struct {
	namespace string
	kind      string
}

// change is one change of an object in the history.
type change struct {
	version    uint64
	collection collection
	event      string
	object     encoder.ObjectBody
}

// content holds all objects and the history of their changes. Platform.mu
// guards it.
type content struct {
	version uint64
	objects map[collection]map[string]encoder.ObjectBody
	history []change
	// historyLimit is the maximum length of the history.
	historyLimit int
	// compactedVersion is the highest version that was removed from the
	// history.
	compactedVersion uint64
}

func failure(code int, reason, message string) *encoder.ObjectStatus {
	return &encoder.ObjectStatus{
		APIVersion: "v1", Kind: "Status", Status: encoder.StatusFailed,
		Reason: reason, Message: message, Code: code,
	}
}

func notFound(name string) *encoder.ObjectStatus {
	return failure(http.StatusNotFound, encoder.ReasonNotFound, "object "+name+" does not exist")
}

func (c *content) get(in collection, name string) (encoder.ObjectBody, *encoder.ObjectStatus) {
	object, found := c.objects[in][name]
	if !found {
		return object, notFound(name)
	}
	return object, nil
}

func (c *content) list(in collection) []encoder.ObjectBody {
	items := []encoder.ObjectBody{}
	for _, object := range c.objects[in] {
		items = append(items, object)
	}
	slices.SortFunc(items, func(a, b encoder.ObjectBody) int {
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	return items
}

func (c *content) create(in collection, object encoder.ObjectBody) (encoder.ObjectBody, *encoder.ObjectStatus) {
	name := object.Metadata.Name
	if name == "" {
		return object, failure(http.StatusBadRequest, encoder.ReasonBadRequest, "name is empty")
	}
	if _, found := c.objects[in][name]; found {
		return object, failure(http.StatusConflict, encoder.ReasonAlreadyExists, "object "+name+" already exists")
	}
	return c.put(in, encoder.WatchAdded, object), nil
}

func (c *content) update(in collection, object encoder.ObjectBody) (encoder.ObjectBody, *encoder.ObjectStatus) {
	name := object.Metadata.Name
	current, found := c.objects[in][name]
	if !found {
		return object, notFound(name)
	}
	if status := checkVersion(current, object.Metadata.ResourceVersion); status != nil {
		return object, status
	}
	return c.put(in, encoder.WatchModified, object), nil
}

func (c *content) remove(in collection, name, version string) *encoder.ObjectStatus {
	current, found := c.objects[in][name]
	if !found {
		return notFound(name)
	}
	if status := checkVersion(current, version); status != nil {
		return status
	}
	delete(c.objects[in], name)
	c.record(in, encoder.WatchDeleted, current)
	return nil
}

func checkVersion(current encoder.ObjectBody, version string) *encoder.ObjectStatus {
	if version == "" || version == current.Metadata.ResourceVersion {
		return nil
	}
	return failure(http.StatusConflict, encoder.ReasonConflict,
		"object "+current.Metadata.Name+" has version "+current.Metadata.ResourceVersion)
}

func (c *content) put(in collection, event string, object encoder.ObjectBody) encoder.ObjectBody {
	object.Metadata.Namespace = in.namespace
	object = c.record(in, event, object)
	if c.objects[in] == nil {
		c.objects[in] = map[string]encoder.ObjectBody{}
	}
	c.objects[in][object.Metadata.Name] = object
	return object
}

func (c *content) record(in collection, event string, object encoder.ObjectBody) encoder.ObjectBody {
	c.version++
	object.Metadata.ResourceVersion = strconv.FormatUint(c.version, 10)
	c.history = append(c.history, change{c.version, in, event, object})
	if len(c.history) > c.historyLimit {
		c.compact(len(c.history) - c.historyLimit)
	}
	return object
}

func (c *content) compact(count int) {
	if count > 0 {
		c.compactedVersion = c.history[count-1].version
		c.history = slices.Clone(c.history[count:])
	}
}

// changesSince returns the changes after a version, of one object or of all if
// name is empty. It returns false if the history no longer contains all of
// them.
func (c *content) changesSince(in collection, name string, version uint64) ([]change, bool) {
	if version < c.compactedVersion {
		return nil, false
	}
	var changes []change
	for _, entry := range c.history {
		if entry.version > version && entry.collection == in && (name == "" || entry.object.Metadata.Name == name) {
			changes = append(changes, entry)
		}
	}
	return changes, true
}
