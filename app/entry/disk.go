package entry

import (
	"fmt"
	"path/filepath"

	"mimosarelay/core/model"
	"mimosarelay/io/disk"
)

// budgetFolder holds copies of budget records, below the data folder.
const budgetDir = "budgets"

// Disk keeps copies of budget records in a data folder. It implements
// turns.Disk.
type Disk struct {
	dir *disk.Folder
}

// OpenDisk opens or creates the folder for copies of budget records.
func OpenDisk(dataDir string) (*Disk, error) {
	f, err := disk.Open(filepath.Join(dataDir, budgetDir))
	if err != nil {
		return nil, fmt.Errorf("copies of budget records: %w", err)
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

// Close waits for writes under way.
func (d *Disk) Close() error { return d.dir.Close() }
