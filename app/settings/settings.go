// Package settings reads and checks the YAML settings of one entry host.
package settings

import (
	"fmt"
	"os"
	"path/filepath"

	"mimosarelay/core/config"
)

// Settings configures one entry host.
type Settings struct {
	Host      Host      `yaml:"Host"`
	Caller    Caller    `yaml:"Caller"`
	Operator  Operator  `yaml:"Operator"`
	Peer      Peer      `yaml:"Peer"`
	Platform  Platform  `yaml:"Platform"`
	Memory    Memory    `yaml:"Memory,omitempty"`
	Limits    Limits    `yaml:"Limits,omitempty"`
	Placement Placement `yaml:"Placement,omitempty"`
	Data      Data      `yaml:"Data,omitempty"`
	Log       Log       `yaml:"Log,omitempty"`
}

// Load reads a settings file, checks it and fills in the defaults. Relative paths
// in the file are resolved against its folder. An error about the content is of
// type config.Faults and lists every fault with file, line and field.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the settings: %w", err)
	}
	s := &Settings{}
	r := config.Decode(data, file, s)
	s.complete(filepath.Dir(file), r)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// complete fills in the defaults and reports invalid settings to r.
func (s *Settings) complete(folder string, r *config.Report) {
	s.Host.complete(r)
	s.Caller.complete(folder, r)
	s.Operator.complete(folder, r)
	s.Peer.complete(folder, r)
	s.Platform.complete(folder, r)
	s.Memory.complete(s.Caller, r)
	s.Limits.complete(r)
	s.Placement.complete(r)
	s.Data.complete(folder, r)
	s.Log.complete(r)
	s.checkDistinctAddresses(r)
}

// checkDistinctAddresses rejects two ports with the same address.
func (s *Settings) checkDistinctAddresses(r *config.Report) {
	seen := map[string]string{}
	for _, p := range []struct{ field, address string }{
		{"Caller.Address", s.Caller.Address},
		{"Operator.Address", s.Operator.Address},
		{"Peer.Address", s.Peer.Address},
	} {
		if first, ok := seen[p.address]; ok {
			r.Addf(p.field, "%q is already used by %s; every port needs its own address", p.address, first)
		}
		seen[p.address] = p.field
	}
}

func resolvePath(folder, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}
