// Package settings holds the YAML settings of one process, one file per
// section.
package settings

// Settings configures one entry host.
type Settings struct {
	Host     Host     `yaml:"Host"`
	Caller   Caller   `yaml:"Caller"`
	Operator Operator `yaml:"Operator"`
	Peer     Peer     `yaml:"Peer"`
	Platform Platform `yaml:"Platform"`
	Limits   Limits   `yaml:"Limits,omitempty"`
	Data     Data     `yaml:"Data,omitempty"`
	Log      Log      `yaml:"Log,omitempty"`
}
