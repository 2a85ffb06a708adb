package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/app/settings"
)

// authority is a certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	assert.NilError(t, err)
	c, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return authority{certificate: c, key: key}
}

// write creates a certificate for 127.0.0.1 and writes it, its key and the
// authority's certificate to the folder.
func (a authority) write(t *testing.T, folder string, serial int64) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "host"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, key.Public(), a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	s := settings.TLS{
		CertFile: filepath.Join(folder, "host.crt"),
		KeyFile:  filepath.Join(folder, "host.key"),
		CAFile:   filepath.Join(folder, "ca.crt"),
	}
	writePEM(t, s.CertFile, "CERTIFICATE", der)
	writePEM(t, s.KeyFile, "PRIVATE KEY", private)
	writePEM(t, s.CAFile, "CERTIFICATE", a.certificate.Raw)
	return s
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(file, data, 0o600))
}

func load(t *testing.T, s settings.TLS, c clockwork.Clock) *Files {
	t.Helper()
	f, err := Load(Options{TLS: s, Clock: c, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	assert.NilError(t, err)
	return f
}

// handshake connects the client to the server and returns the serial number
// of the server certificate.
func handshake(t *testing.T, server, client *Files) (int64, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.Check(t, l.Close()) }()
	result := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			defer c.Close()
			s := tls.Server(c, server.Server())
			err = s.Handshake()
			if err == nil {
				_, err = s.Write([]byte("x"))
			}
		}
		result <- err
	}()
	config, err := client.Client(l.Addr().String())
	assert.NilError(t, err)
	c, err := tls.Dial("tcp", l.Addr().String(), config)
	if err != nil {
		<-result
		return 0, err
	}
	defer func() { assert.Check(t, c.Close()) }()
	// With TLS 1.3 a client whose certificate is rejected gets the error only when
	// it reads.
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		<-result
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-result
}

// Guards against a replaced certificate or authority that takes effect only after
// a restart.
func TestReplacedFilesAreReloaded(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	folder := t.TempDir()
	first, second := newAuthority(t), newAuthority(t)
	f := load(t, first.write(t, folder, 10), clock)
	serial, err := handshake(t, f, f)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(10))

	s := second.write(t, folder, 300)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		assert.NilError(t, os.Chtimes(name, later, later))
	}
	serial, err = handshake(t, f, f)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(10), "checked the files more often than checkInterval")
	clock.Advance(checkInterval)
	serial, err = handshake(t, f, f)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(300))
}

// Guards against failed handshakes while files are being replaced and only some of
// them are new.
func TestReloadKeepsLastValidFiles(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	folder := t.TempDir()
	a := newAuthority(t)
	s := a.write(t, folder, 10)
	f := load(t, s, clock)
	validKey, err := os.ReadFile(s.KeyFile)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(s.KeyFile, validKey[:20], 0o600))
	clock.Advance(checkInterval)
	serial, err := handshake(t, f, f)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(10))
	a.write(t, folder, 11)
	clock.Advance(checkInterval)
	serial, err = handshake(t, f, f)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(11))
}

// Guards against a peer that is accepted without a certificate of the configured
// authority.
func TestOtherAuthorityIsRejected(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	a, b := newAuthority(t), newAuthority(t)
	ours := a.write(t, t.TempDir(), 1)
	theirs := b.write(t, t.TempDir(), 2)
	server := load(t, ours, clock)
	_, err := handshake(t, server, load(t, theirs, clock))
	assert.ErrorContains(t, err, "certificate signed by unknown authority")
	theirs.CAFile = ours.CAFile // the client trusts the server, but its certificate is of another authority
	_, err = handshake(t, server, load(t, theirs, clock))
	assert.ErrorContains(t, err, "tls: ")
	_, err = handshake(t, server, load(t, settings.TLS{CAFile: ours.CAFile}, clock))
	assert.ErrorContains(t, err, "certificate required")
}

// Guards against a process that starts with missing or invalid files.
func TestLoadRejectsInvalidFiles(t *testing.T) {
	s := newAuthority(t).write(t, t.TempDir(), 1)
	other := newAuthority(t).write(t, t.TempDir(), 1)
	for name, c := range map[string]struct {
		tls  settings.TLS
		want string
	}{
		"missing certificate file":   {settings.TLS{CertFile: "none", KeyFile: s.KeyFile}, "no such file"},
		"key of another certificate": {settings.TLS{CertFile: s.CertFile, KeyFile: other.KeyFile}, "private key does not match"},
		"CA file without PEM":        {settings.TLS{CAFile: "tlsfiles.go"}, "holds no certificate in PEM format"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Load(Options{TLS: c.tls})
			assert.ErrorContains(t, err, c.want)
		})
	}
}
