package programs

import (
	"fmt"
	"sync"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/io/disk"
)

// treeReplica is a copy of a tree that another host owns.
type treeReplica struct {
	shard   model.Shard
	records map[program.ID]program.Record
}

// replicaSet holds copies of records of other owners, in memory and, if there is
// one, in the data folder.
type replicaSet struct {
	disk Disk

	mu    sync.Mutex
	trees map[model.ProgramKey]*treeReplica
}

func newReplicaSet(d Disk) *replicaSet {
	return &replicaSet{disk: d, trees: map[model.ProgramKey]*treeReplica{}}
}

// load reads the copies in the data folder. It fails on an invalid record,
// because the folder has verified its own checksums by then.
func (s *replicaSet) load() error {
	if s.disk == nil {
		return nil
	}
	return s.disk.Load(func(key string, data []byte) error {
		r, err := program.Identify(data)
		if err != nil {
			return fmt.Errorf("load record %q from the data folder: %w", key, err)
		}
		s.keep([]program.Record{r})
		return nil
	})
}

// persist stores records in memory and, if there is a data folder, returns when
// they are durable there. They are queued for the disk in the order in which
// memory was updated, because replication requests of one tree may arrive
// reordered.
func (s *replicaSet) persist(records []program.Record) error {
	s.mu.Lock()
	accepted := s.merge(records)
	wait := func() error { return nil }
	if s.disk != nil {
		out := make([]disk.Record, len(accepted))
		for i, r := range accepted {
			out[i] = disk.Record{Key: diskKey(r.ID), Data: r.Data}
		}
		wait = s.disk.Enqueue(out)
	}
	s.mu.Unlock()
	return wait()
}

func diskKey(i program.ID) string {
	return fmt.Sprintf("%q/%q/%q/%d/%d", i.Root.Workspace, i.Root.Program, i.Content.Program, i.Content.Call, i.Part)
}

// keep stores records in memory only.
func (s *replicaSet) keep(records []program.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(records)
}

// merge keeps those records that are newer than the present ones, and returns
// them. The caller must hold s.mu.
func (s *replicaSet) merge(records []program.Record) []program.Record {
	var accepted []program.Record
	for _, r := range records {
		t := s.trees[r.ID.Root]
		if t == nil {
			t = &treeReplica{shard: program.ShardOf(r.ID.Root), records: map[program.ID]program.Record{}}
			s.trees[r.ID.Root] = t
		}
		if old, ok := t.records[r.ID]; !ok || r.Newer(old) {
			t.records[r.ID] = r
			accepted = append(accepted, r)
		}
	}
	return accepted
}

// list returns the records of the wanted shards.
func (s *replicaSet) list(wanted func(model.Shard) bool) []program.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []program.Record
	for _, t := range s.trees {
		if !wanted(t.shard) {
			continue
		}
		for _, r := range t.records {
			out = append(out, r)
		}
	}
	return out
}

// expire drops the copies of programs whose expiry is before cutoff.
func (s *replicaSet) expire(cutoff time.Time) error {
	s.mu.Lock()
	var deleted []disk.Record
	for root, t := range s.trees {
		head, ok := t.records[program.ID{Root: root}]
		if !ok || head.Expiry.IsZero() || !head.Expiry.Before(cutoff) {
			continue
		}
		for id := range t.records {
			deleted = append(deleted, disk.Record{Key: diskKey(id)})
		}
		delete(s.trees, root)
	}
	wait := func() error { return nil }
	if s.disk != nil && len(deleted) > 0 {
		wait = s.disk.Enqueue(deleted)
	}
	s.mu.Unlock()
	return wait()
}

func (s *replicaSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.trees)
}
