package entry

import (
	"fmt"
	"path/filepath"

	"mimosarelay/core/model"
	"mimosarelay/io/disk"
)

// budgetDir is the subdirectory of the data directory for copies of budget
// records.
const budgetDir = "budgets"

// Disk stores copies of budget records in the data directory. It implements
// turns.Disk.
type Disk struct {
	dir *disk.Folder
}

// OpenDisk opens the directory for copies of budget records, or creates it.
func OpenDisk(dataDir string) (*Disk, error) {
	f, err := disk.Open(filepath.Join(dataDir, budgetDir))
	if err != nil {
		return nil, fmt.Errorf("open the directory for copies of budget records: %w", err)
	}
	return &Disk{dir: f}, nil
}

// Save implements turns.Disk.
func (d *Disk) Save(host model.HostID, page []byte) error {
	return d.dir.Append([]disk.Record{{Key: string(host), Data: page}})
}

// Load implements turns.Disk.
func (d *Disk) Load(visit func(page []byte) error) error {
	return d.dir.Load(func(_ string, page []byte) error { return visit(page) })
}

// Close waits for running writes and closes the directory.
func (d *Disk) Close() error { return d.dir.Close() }
