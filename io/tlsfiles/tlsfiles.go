// Package tlsfiles creates TLS configurations from certificate files and reloads
// the files when they change.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"mimosarelay/app/settings"
)

// checkInterval is the minimum time between two checks for changed files. A check
// costs one stat call per file, and handshakes can be frequent.
const checkInterval = time.Second

// Options configures Load.
type Options struct {
	TLS   settings.TLS
	Clock clockwork.Clock // default: the real clock
	Log   *slog.Logger    // default: slog.Default
}

// Files holds the certificates from the last valid version of the files. It is
// safe for concurrent use.
type Files struct {
	options Options

	mu        sync.Mutex
	lastCheck time.Time
	versions  [3]fileVersion
	loaded    credentials
}

// credentials holds a certificate with its key, and the certificate authorities
// against which the peer is verified. Authorities are nil without a CA file.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// fileVersion identifies the version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Load reads the files. It fails if a file is missing or invalid.
func Load(o Options) (*Files, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	f := &Files{options: o, lastCheck: o.Clock.Now()}
	f.versions = f.statFiles()
	var err error
	f.loaded, err = f.read()
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Server returns a configuration for a listener, which uses the current files for
// each connection. With a CA file, clients must present a certificate that is
// signed by one of its authorities.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return f.serverConfig()
		},
	}
}

func (f *Files) serverConfig() (*tls.Config, error) {
	c := f.current()
	if c.certificate == nil {
		return nil, errors.New("TLS server configuration: no certificate is configured")
	}
	t := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*c.certificate}}
	if c.authorities != nil {
		t.ClientAuth = tls.RequireAndVerifyClientCert
		t.ClientCAs = c.authorities
	}
	return t, nil
}

// Client returns a configuration for one outgoing connection to the address
// (IP:port). The server's certificate must be valid for the IP. It is verified
// against the CA file or, without one, against the system's authorities.
func (f *Files) Client(address string) (*tls.Config, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("TLS client configuration: %w", err)
	}
	c := f.current()
	t := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, RootCAs: c.authorities}
	if c.certificate != nil {
		t.Certificates = []tls.Certificate{*c.certificate}
	}
	return t, nil
}

// current checks for changed files and returns the current credentials. If the
// changed files are invalid, for example because only one of them has been
// replaced yet, the previous credentials stay in effect.
func (f *Files) current() credentials {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	if now.Sub(f.lastCheck) < checkInterval {
		return f.loaded
	}
	f.lastCheck = now
	versions := f.statFiles()
	if versions == f.versions {
		return f.loaded
	}
	c, err := f.read()
	if err != nil {
		f.options.Log.Error("failed to reload the changed certificate files", "error", err)
		return f.loaded
	}
	f.options.Log.Info("certificate files reloaded", "certificate", f.options.TLS.CertFile)
	f.versions, f.loaded = versions, c
	return c
}

// statFiles returns the versions of the files; that of a missing file is zero.
func (f *Files) statFiles() [3]fileVersion {
	var s [3]fileVersion
	for i, name := range []string{f.options.TLS.CertFile, f.options.TLS.KeyFile, f.options.TLS.CAFile} {
		if info, err := os.Stat(name); err == nil {
			s[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return s
}

func (f *Files) read() (credentials, error) {
	var c credentials
	if f.options.TLS.CertFile != "" || f.options.TLS.KeyFile != "" {
		pair, err := tls.LoadX509KeyPair(f.options.TLS.CertFile, f.options.TLS.KeyFile)
		if err != nil {
			return c, fmt.Errorf("load certificate %s with key %s: %w", f.options.TLS.CertFile, f.options.TLS.KeyFile, err)
		}
		c.certificate = &pair
	}
	if f.options.TLS.CAFile == "" {
		return c, nil
	}
	data, err := os.ReadFile(f.options.TLS.CAFile)
	if err != nil {
		return c, fmt.Errorf("read CA file: %w", err)
	}
	c.authorities = x509.NewCertPool()
	if !c.authorities.AppendCertsFromPEM(data) {
		return c, fmt.Errorf("CA file %s holds no certificate in PEM format", f.options.TLS.CAFile)
	}
	return c, nil
}
