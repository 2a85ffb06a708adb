package settings

import "mimosarelay/core/model"

// Host names this process.
type Host struct {
	Name model.HostID `yaml:"Name"`
	Zone model.Zone   `yaml:"Zone"`
}
