package settings

import "time"

// Caller configures the port for callers.
type Caller struct {
	// Address is IP:port, and the address told to callers unless Advertise is set.
	Address   string `yaml:"Address"`
	Advertise string `yaml:"Advertise,omitempty"`
	// MaxBody is the largest request body, in bytes; 0 means 8 MiB.
	MaxBody int `yaml:"MaxBody,omitempty"`
	// WriteTimeout ends a stream whose caller stops reading; 0 means 20 s.
	WriteTimeout time.Duration `yaml:"WriteTimeout,omitempty"`
	// DrainTimeout bounds a graceful shutdown; 0 means 120 s.
	DrainTimeout time.Duration `yaml:"DrainTimeout,omitempty"`
	TLS          TLS           `yaml:"TLS,omitempty"`
}

// Operator configures the port for operators.
type Operator struct {
	Address string `yaml:"Address"`
	// CredentialFile holds the operator credential on one line.
	CredentialFile string `yaml:"CredentialFile"`
	TLS            TLS    `yaml:"TLS,omitempty"`
}

// Peer configures the port for other entry hosts.
type Peer struct {
	Address   string `yaml:"Address"`
	Advertise string `yaml:"Advertise,omitempty"`
	TLS       TLS    `yaml:"TLS,omitempty"`
}

// TLS names certificate files; they are read again when they change. Empty
// means plain TCP.
type TLS struct {
	CertFile string `yaml:"CertFile,omitempty"`
	KeyFile  string `yaml:"KeyFile,omitempty"`
	// CAFile verifies the other side's certificate.
	CAFile string `yaml:"CAFile,omitempty"`
}
