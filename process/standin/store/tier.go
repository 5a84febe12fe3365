package store

import (
	"mulberrybeam/connection/encoder"
)

// content is the data of one generation of a context.
type content struct {
	generation uint64
	data       []byte
	checksum   string
	blocks     int
	onDisk     bool
	// lastUsed is the value of tiers.clock at the last use.
	lastUsed uint64
}

// entry is one context. Readers see only the committed content, so that data
// without a manifest is never read.
type entry struct {
	committed *content
	staged    *content
}

// tiers holds the contexts of a store and the space that they use in each tier.
// Store.mu guards it.
type tiers struct {
	memoryLimit int64
	diskLimit   int64
	memoryUsed  int64
	diskUsed    int64
	// clock increases by one with each use of a content.
	clock   uint64
	entries map[string]*entry
}

// stage adds data for which no manifest was written yet. It moves other
// contents to disk as needed and reports whether there was enough space.
func (t *tiers) stage(key string, c *content) bool {
	e := t.entries[key]
	if e == nil {
		e = &entry{}
		t.entries[key] = e
	}
	t.releaseSpace(e.staged)
	e.staged = nil
	for t.memoryUsed+int64(len(c.data)) > t.memoryLimit {
		if !t.demote() {
			return false
		}
	}
	t.memoryUsed += int64(len(c.data))
	t.touch(c)
	e.staged = c
	return true
}

// demote moves the least recently used content from memory to disk. It reports
// false if there is none or it does not fit.
func (t *tiers) demote() bool {
	var oldest *content
	for _, e := range t.entries {
		for _, c := range []*content{e.committed, e.staged} {
			if c != nil && !c.onDisk && (oldest == nil || c.lastUsed < oldest.lastUsed) {
				oldest = c
			}
		}
	}
	if oldest == nil || t.diskUsed+int64(len(oldest.data)) > t.diskLimit {
		return false
	}
	oldest.onDisk = true
	t.memoryUsed -= int64(len(oldest.data))
	t.diskUsed += int64(len(oldest.data))
	return true
}

// commit makes the staged data readable if it matches the manifest. It also
// reports true if matching data is already committed.
func (t *tiers) commit(key string, manifest encoder.Manifest) bool {
	e := t.entries[key]
	if e == nil || manifest.Key != key {
		return false
	}
	if e.committed.matches(manifest) {
		return true
	}
	if !e.staged.matches(manifest) {
		return false
	}
	t.releaseSpace(e.committed)
	e.committed, e.staged = e.staged, nil
	e.committed.blocks = manifest.Blocks
	return true
}

func (c *content) matches(manifest encoder.Manifest) bool {
	return c != nil && c.generation == manifest.Generation &&
		int64(len(c.data)) == manifest.Bytes && c.checksum == manifest.Checksum
}

// manifest returns the manifest of a committed context.
func (t *tiers) manifest(key string) (encoder.Manifest, bool) {
	e := t.entries[key]
	if e == nil || e.committed == nil {
		return encoder.Manifest{}, false
	}
	c := e.committed
	tier := "memory"
	if c.onDisk {
		tier = "disk"
	}
	return encoder.Manifest{
		Key: key, Blocks: c.blocks, Bytes: int64(len(c.data)),
		Checksum: c.checksum, Generation: c.generation, Tier: tier,
	}, true
}

func (t *tiers) touch(c *content) {
	t.clock++
	c.lastUsed = t.clock
}

func (t *tiers) releaseSpace(c *content) {
	if c == nil {
		return
	}
	if c.onDisk {
		t.diskUsed -= int64(len(c.data))
		return
	}
	t.memoryUsed -= int64(len(c.data))
}

func (t *tiers) remove(key string) {
	if e := t.entries[key]; e != nil {
		t.releaseSpace(e.committed)
		t.releaseSpace(e.staged)
		delete(t.entries, key)
	}
}

// dropMemory removes the content of the memory tier and all data without a
// manifest, like a restart of the process.
func (t *tiers) dropMemory() {
	for key, e := range t.entries {
		t.releaseSpace(e.staged)
		e.staged = nil
		if e.committed == nil || !e.committed.onDisk {
			t.remove(key)
		}
	}
}
