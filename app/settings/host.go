package settings

import (
	"mimosarelay/core/config"
	"mimosarelay/core/model"
)

// Host identifies this process and its availability zone.
type Host struct {
	Name model.HostID `yaml:"Name"`
	Zone model.Zone   `yaml:"Zone"`
}

func (h *Host) complete(r *config.Report) {
	if err := config.CheckName(string(h.Name)); err != nil {
		r.Addf("Host.Name", "%v", err)
	}
	if err := config.CheckName(string(h.Zone)); err != nil {
		r.Addf("Host.Zone", "%v", err)
	}
}
