package entry

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/io/disk"
)

// turnDir is the subdirectory of the data directory for turns of conversations.
const turnDir = "turns"

// OpenTurns opens the directory for turns of conversations, or creates it. A damaged
// directory is renamed and replaced by an empty one, because other keepers have copies
// of the turns.
func OpenTurns(dataDir string, now time.Time) (*disk.Folder, error) {
	path := filepath.Join(dataDir, turnDir)
	f, err := disk.Open(path)
	if errors.Is(err, disk.ErrDamaged) {
		if renameErr := os.Rename(path, fmt.Sprintf("%s.damaged-%d", path, now.Unix())); renameErr != nil {
			return nil, errors.Join(err, renameErr)
		}
		return disk.Open(path)
	}
	return f, err
}

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
