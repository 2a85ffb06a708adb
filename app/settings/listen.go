package settings

import (
	"bytes"
	"net/netip"
	"os"
	"time"

	"mimosarelay/core/config"
)

// Caller configures the port for callers.
type Caller struct {
	// Address is the IP:port to listen on. It is also the address that callers are
	// given, unless Advertise is set.
	Address   string `yaml:"Address"`
	Advertise string `yaml:"Advertise,omitempty"`
	// MaxBody is the largest request body, in bytes; 0 means 8 MiB.
	MaxBody int `yaml:"MaxBody,omitempty"`
	// WriteTimeout is how long a caller may stop reading before its stream is
	// ended; 0 means 20 s.
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

// TLS names certificate files, which are reloaded when they change. Empty means
// plain TCP.
type TLS struct {
	CertFile string `yaml:"CertFile,omitempty"`
	KeyFile  string `yaml:"KeyFile,omitempty"`
	// CAFile holds the CA certificates that verify the certificate of the other
	// side.
	CAFile string `yaml:"CAFile,omitempty"`
}

const (
	defaultBodyLimit = 8 << 20   // bytes
	minBodyLimit     = 1 << 10   // bytes
	maxBodyLimit     = 256 << 20 // bytes; a body is held in memory

	minCredentialLength = 16 // characters
)

func (c *Caller) complete(folder string, r *config.Report) {
	completeListenAddress(r, "Caller", c.Address, &c.Advertise)
	if c.MaxBody == 0 {
		c.MaxBody = defaultBodyLimit
	}
	if c.MaxBody < minBodyLimit || c.MaxBody > maxBodyLimit {
		r.Addf("Caller.MaxBody", "%d is not allowed; it must be from %d to %d bytes, or 0 for the default of %d",
			c.MaxBody, minBodyLimit, maxBodyLimit, defaultBodyLimit)
	}
	completeDuration(r, "Caller.WriteTimeout", &c.WriteTimeout, 20*time.Second, 100*time.Millisecond, 10*time.Minute)
	completeDuration(r, "Caller.DrainTimeout", &c.DrainTimeout, 120*time.Second, time.Second, time.Hour)
	c.TLS.complete(folder, "Caller.TLS", r)
}

func (o *Operator) complete(folder string, r *config.Report) {
	checkAddress(r, "Operator.Address", o.Address)
	o.CredentialFile = resolvePath(folder, o.CredentialFile)
	if text := readNonEmptyFile(r, "Operator.CredentialFile", o.CredentialFile); len(text) < minCredentialLength {
		r.Addf("Operator.CredentialFile", "file %s holds %d characters; a credential needs at least %d", o.CredentialFile, len(text), minCredentialLength)
	}
	o.TLS.complete(folder, "Operator.TLS", r)
}

func (p *Peer) complete(folder string, r *config.Report) {
	completeListenAddress(r, "Peer", p.Address, &p.Advertise)
	p.TLS.complete(folder, "Peer.TLS", r)
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t != TLS{} }

func (t *TLS) complete(folder, path string, r *config.Report) {
	if !t.Enabled() {
		return
	}
	for _, f := range []struct {
		field    string
		file     *string
		required bool
	}{
		{path + ".CertFile", &t.CertFile, true},
		{path + ".KeyFile", &t.KeyFile, true},
		{path + ".CAFile", &t.CAFile, false},
	} {
		switch {
		case *f.file != "":
			*f.file = resolvePath(folder, *f.file)
			readNonEmptyFile(r, f.field, *f.file)
		case f.required:
			r.Addf(f.field, "missing; TLS needs both CertFile and KeyFile")
		}
	}
}

// completeListenAddress checks an address to listen on and the advertised address.
// An empty advertised address is set to the address to listen on.
func completeListenAddress(r *config.Report, section, listen string, advertise *string) {
	if !checkAddress(r, section+".Address", listen) {
		return
	}
	if *advertise == "" {
		*advertise = listen
	}
	if checkAddress(r, section+".Advertise", *advertise) && netip.MustParseAddrPort(*advertise).Addr().IsUnspecified() {
		r.Addf(section+".Advertise", "%q cannot be connected to; it must be IP:port of this machine", *advertise)
	}
}

func checkAddress(r *config.Report, field, s string) bool {
	err := config.CheckAddress(s)
	if err != nil {
		r.Addf(field, "%v", err)
	}
	return err == nil
}

// readNonEmptyFile returns the text of a file without surrounding white space, and
// reports a file that is not readable or is empty.
func readNonEmptyFile(r *config.Report, field, file string) []byte {
	data, err := os.ReadFile(file)
	data = bytes.TrimSpace(data)
	switch {
	case err != nil:
		r.Addf(field, "%v; it must be a readable file", err)
	case len(data) == 0:
		r.Addf(field, "file %s is empty", file)
	}
	return data
}
