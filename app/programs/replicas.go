package programs

import (
	"fmt"
	"sync"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/io/disk"
)

// replica is the copy of a tree that another host owns.
type replica struct {
	shard   model.Shard
	records map[program.ID]program.Record
}

// replicas holds copies of records of other owners, in memory and, where there
// is one, in the data folder.
type replicas struct {
	disk Disk

	mu    sync.Mutex
	trees map[model.ProgramKey]*replica
}

func newReplicas(d Disk) *replicas {
	return &replicas{disk: d, trees: map[model.ProgramKey]*replica{}}
}

// load reads the copies in the data folder. A damaged record is an error: the
// folder's own checksums have passed by then.
func (c *replicas) load() error {
	if c.disk == nil {
		return nil
	}
	return c.disk.Load(func(key string, data []byte) error {
		r, err := program.Identify(data)
		if err != nil {
			return fmt.Errorf("data folder, record %q: %w", key, err)
		}
		c.put([]program.Record{r})
		return nil
	})
}

// store keeps records, durably if there is a data folder. The order on the disk
// is that in memory: replication requests of one tree may arrive reordered.
func (c *replicas) store(records []program.Record) error {
	c.mu.Lock()
	fresh := c.merge(records)
	wait := func() error { return nil }
	if c.disk != nil {
		out := make([]disk.Record, len(fresh))
		for i, r := range fresh {
			out[i] = disk.Record{Key: diskKey(r.ID), Data: r.Data}
		}
		wait = c.disk.Enqueue(out)
	}
	c.mu.Unlock()
	return wait()
}

func diskKey(i program.ID) string {
	return fmt.Sprintf("%q/%q/%q/%d/%d", i.Root.Workspace, i.Root.Program, i.Content.Program, i.Content.Call, i.Part)
}

// put keeps records in memory only.
func (c *replicas) put(records []program.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(records)
}

// merge keeps the newer records and returns those. Needs c.mu.
func (c *replicas) merge(records []program.Record) []program.Record {
	var fresh []program.Record
	for _, r := range records {
		t := c.trees[r.ID.Root]
		if t == nil {
			t = &replica{shard: program.ShardOf(r.ID.Root), records: map[program.ID]program.Record{}}
			c.trees[r.ID.Root] = t
		}
		if old, ok := t.records[r.ID]; !ok || r.Newer(old) {
			t.records[r.ID] = r
			fresh = append(fresh, r)
		}
	}
	return fresh
}

// list returns the copies of the wanted shards.
func (c *replicas) list(want func(model.Shard) bool) []program.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []program.Record
	for _, t := range c.trees {
		if !want(t.shard) {
			continue
		}
		for _, r := range t.records {
			out = append(out, r)
		}
	}
	return out
}

// expire drops the copies of programs that ended before cut.
func (c *replicas) expire(cut time.Time) error {
	c.mu.Lock()
	var gone []disk.Record
	for root, t := range c.trees {
		head, ok := t.records[program.ID{Root: root}]
		if !ok || head.Expiry.IsZero() || !head.Expiry.Before(cut) {
			continue
		}
		for id := range t.records {
			gone = append(gone, disk.Record{Key: diskKey(id)})
		}
		delete(c.trees, root)
	}
	wait := func() error { return nil }
	if c.disk != nil && len(gone) > 0 {
		wait = c.disk.Enqueue(gone)
	}
	c.mu.Unlock()
	return wait()
}

func (c *replicas) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.trees)
}
