package entry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/app/entry"
	"mimosarelay/core/model"
)

// Guards against copies of budget records that are lost when the process restarts.
func TestDiskKeepsPagesOverRestarts(t *testing.T) {
	dir := t.TempDir()
	d, err := entry.OpenDisk(dir)
	assert.NilError(t, err)
	for host, page := range map[model.HostID]string{"a": "old", "b": "other"} {
		assert.NilError(t, d.Save(host, []byte(page)))
	}
	assert.NilError(t, d.Save("a", []byte("new")))
	assert.NilError(t, d.Close())

	d, err = entry.OpenDisk(dir)
	assert.NilError(t, err)
	found := map[string]bool{}
	assert.NilError(t, d.Load(func(page []byte) error {
		found[string(page)] = true
		return nil
	}))
	assert.NilError(t, d.Close())
	assert.DeepEqual(t, found, map[string]bool{"new": true, "other": true})
}
