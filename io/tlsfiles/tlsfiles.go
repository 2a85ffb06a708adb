// Package tlsfiles makes TLS configurations from files that are read again
// when they change.
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

// checkInterval is the shortest time between two looks at the files. A look
// costs one stat call per file, and handshakes can be frequent.
const checkInterval = time.Second

// Options configures the files.
type Options struct {
	TLS   settings.TLS
	Clock clockwork.Clock // default: the real clock
	Log   *slog.Logger    // default: slog.Default
}

// Files holds the newest usable content of the files. It is safe for
// concurrent use.
type Files struct {
	o Options

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	loaded  content
}

// content is a certificate with its key, and the authorities that verify the
// other side, which are nil without a CA file.
type content struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// stamp identifies a version of a file.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files and fails if they are not usable.
func Load(o Options) (*Files, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	f := &Files{o: o, checked: o.Clock.Now()}
	f.stamps = f.stat()
	var err error
	f.loaded, err = f.read()
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Server returns a configuration for a listener. With a CA file, clients must
// present a certificate of that authority.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return f.server()
		},
	}
}

func (f *Files) server() (*tls.Config, error) {
	c := f.newest()
	if c.certificate == nil {
		return nil, errors.New("no server certificate is configured")
	}
	t := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*c.certificate}}
	if c.authorities != nil {
		t.ClientAuth = tls.RequireAndVerifyClientCert
		t.ClientCAs = c.authorities
	}
	return t, nil
}

// Client returns a configuration for one outgoing connection to the address
// (IP:port), whose certificate must name the IP. It is verified against the CA
// file, or the authorities of the system without one.
func (f *Files) Client(address string) (*tls.Config, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("address for TLS: %w", err)
	}
	c := f.newest()
	t := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, RootCAs: c.authorities}
	if c.certificate != nil {
		t.Certificates = []tls.Certificate{*c.certificate}
	}
	return t, nil
}

// newest returns the content after a look at the files. Files that changed to
// something unusable, for example halfway through a replacement, leave the
// last content in effect.
func (f *Files) newest() content {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	if now.Sub(f.checked) < checkInterval {
		return f.loaded
	}
	f.checked = now
	stamps := f.stat()
	if stamps == f.stamps {
		return f.loaded
	}
	c, err := f.read()
	if err != nil {
		f.o.Log.Error("changed certificate files not usable", "error", err)
		return f.loaded
	}
	f.o.Log.Info("certificate files reloaded", "certificate", f.o.TLS.CertFile)
	f.stamps, f.loaded = stamps, c
	return c
}

// stat returns the versions of the files, zero for missing ones.
func (f *Files) stat() [3]stamp {
	var s [3]stamp
	for i, name := range []string{f.o.TLS.CertFile, f.o.TLS.KeyFile, f.o.TLS.CAFile} {
		if info, err := os.Stat(name); err == nil {
			s[i] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return s
}

func (f *Files) read() (content, error) {
	var c content
	if f.o.TLS.CertFile != "" || f.o.TLS.KeyFile != "" {
		pair, err := tls.LoadX509KeyPair(f.o.TLS.CertFile, f.o.TLS.KeyFile)
		if err != nil {
			return c, fmt.Errorf("certificate %s with key %s: %w", f.o.TLS.CertFile, f.o.TLS.KeyFile, err)
		}
		c.certificate = &pair
	}
	if f.o.TLS.CAFile == "" {
		return c, nil
	}
	data, err := os.ReadFile(f.o.TLS.CAFile)
	if err != nil {
		return c, fmt.Errorf("reading CA file: %w", err)
	}
	c.authorities = x509.NewCertPool()
	if !c.authorities.AppendCertsFromPEM(data) {
		return c, fmt.Errorf("CA file %s holds no certificate in PEM format", f.o.TLS.CAFile)
	}
	return c, nil
}
