package settings

import "time"

// Platform configures access to the store and the host list.
type Platform struct {
	// Address is IP:port of the store's HTTP API.
	Address string `yaml:"Address"`
	// Prefix is put before every key; "" means "mimosarelay/".
	Prefix string `yaml:"Prefix,omitempty"`
	// Timeout bounds one call; 0 means 1 s.
	Timeout time.Duration `yaml:"Timeout,omitempty"`
	// TokenFile holds the access token of the store, if it wants one.
	TokenFile string `yaml:"TokenFile,omitempty"`
}
