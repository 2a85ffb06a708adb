package settings

import (
	"errors"
	"log/slog"
	"os"

	"mimosarelay/core/config"
)

// Data configures the folder for bulk data. Hosts without a disk leave it out.
type Data struct {
	// Folder holds the segments of the history; empty means that this host has
	// no disk.
	Folder string `yaml:"Folder,omitempty"`
}

// Log configures logging to standard error.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `yaml:"Level,omitempty"`
}

var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// SlogLevel returns the level for log/slog.
func (l Log) SlogLevel() slog.Level { return logLevels[l.Level] }

func (l *Log) complete(r *config.Report) {
	if l.Level == "" {
		l.Level = "info"
	}
	if _, ok := logLevels[l.Level]; !ok {
		r.Addf("Log.Level", "%q is not allowed; it must be debug, info, warn or error", l.Level)
	}
}

func (d *Data) complete(folder string, r *config.Report) {
	if d.Folder == "" {
		return
	}
	d.Folder = resolvePath(folder, d.Folder)
	if err := checkWritable(d.Folder); err != nil {
		r.Addf("Data.Folder", "%v; it must be an existing folder that this process may write to", err)
	}
}

// checkWritable creates and removes a file in the folder.
func checkWritable(folder string) error {
	f, err := os.CreateTemp(folder, ".writable-*")
	if err != nil {
		return err
	}
	return errors.Join(f.Close(), os.Remove(f.Name()))
}
