package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Frame is one frame of a segment, or a place where the segment is damaged.
type Frame struct {
	Segment string // name of the file
	Offset  int64  // in the file, in bytes
	Size    int64  // in bytes; 0 if the rest of the segment cannot be read
	Record  Record // Data is nil for a deleted key
	// Err wraps ErrDamaged; nil for a valid frame.
	Err error
}

// Scan calls visit with each frame of a data folder in the order in which they were
// written, and stops at the first error that visit returns. It writes nothing. It fails
// with ErrLocked while a process uses the folder, and with fs.ErrNotExist if path is no
// data folder. An incomplete frame at the end of the newest segment is damage like any
// other, although Open takes it for an interrupted write.
func Scan(path string, visit func(Frame) error) error {
	lock, err := os.Open(filepath.Join(path, lockName))
	if err != nil {
		return fmt.Errorf("%s is no data folder: %w", path, err)
	}
	defer func() { _ = lock.Close() }()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err != nil {
		return fmt.Errorf("%w: %s", ErrLocked, path)
	}
	names, err := filepath.Glob(filepath.Join(path, segmentGlob))
	if err != nil {
		return fmt.Errorf("list segments of data folder: %w", err)
	}
	if len(names) == 0 {
		return fmt.Errorf("%s has no segments: %w", path, fs.ErrNotExist)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := scanSegment(name, visit); err != nil {
			return err
		}
	}
	return nil
}

func scanSegment(name string, visit func(Frame) error) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	defer func() { _ = file.Close() }() // nothing was written
	for offset := int64(0); ; {
		r, size, err := readFrame(file, offset)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, ErrDamaged) {
			return fmt.Errorf("read segment %s at byte %d: %w", name, offset, err)
		}
		if err := visit(Frame{Segment: filepath.Base(name), Offset: offset, Size: size, Record: r, Err: err}); err != nil {
			return err
		}
		if size == 0 {
			return nil // the length of the frame is not known
		}
		offset += size
	}
}
