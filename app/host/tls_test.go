package host

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mimosarelay/app/fleet"
	"mimosarelay/app/settings"
	"mimosarelay/standin/platform"
)

// authority signs certificates for loopback addresses.
type authority struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{folder: t.TempDir(), pool: x509.NewCertPool()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.pool.AddCert(a.certificate)
	a.write(t, "ca.crt", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(filepath.Join(a.folder, name), data, 0o600))
}

// issue writes NAME.crt and NAME.key for an IP address.
func (a *authority) issue(t *testing.T, name, ip string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	a.write(t, name+".crt", "CERTIFICATE", der)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	a.write(t, name+".key", "EC PRIVATE KEY", private)
}

func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (a *authority) startHost(t *testing.T, n int, store string) (*Host, *settings.Settings, chan error) {
	t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", n)
	name := fmt.Sprintf("host-%d", n)
	a.issue(t, name, ip)
	section := fmt.Sprintf("{CertFile: %s.crt, KeyFile: %s.key", name, name)
	text := fmt.Sprintf("Host: {Name: %s, Zone: zone-%d}\nCaller: {Address: %q, TLS: %s}}\nOperator: {Address: %q, CredentialFile: credential, TLS: %s}}\nPeer: {Address: %q, TLS: %s, CAFile: ca.crt}}\nPlatform: {Address: %q}\n",
		name, n, freeAddress(t, ip), section, freeAddress(t, ip), section, freeAddress(t, ip), section, store)
	file := filepath.Join(a.folder, name+".yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	s, err := settings.Load(file)
	assert.NilError(t, err)
	h, err := New(Options{Settings: s, Log: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- h.Run(context.Background()) }()
	return h, s, done
}

// Guards against TLS settings that are read but not used: peers that cannot
// reach each other, or ports that answer in plain text.
func TestHostsOverTLS(t *testing.T) {
	store, err := platform.Start(platform.Options{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	defer func() { _ = store.Close() }()
	a := newAuthority(t)
	assert.NilError(t, os.WriteFile(filepath.Join(a.folder, "credential"), []byte("a-test-credential\n"), 0o600))
	first, s, firstDone := a.startHost(t, 1, store.Address())
	second, _, secondDone := a.startHost(t, 2, store.Address())
	contract := "Workspaces: [{Name: w, Rate: 1, Burst: 1, Budget: {Tokens: 1, Calls: 1, Lifetime: 1m}}]\nTargets: [{Name: s, Kind: Service, Address: 127.0.0.1:9, Zone: z, MaxInFlight: 1}]\n"
	_, err = first.contracts.Apply(context.Background(), []byte(contract), 0)
	assert.NilError(t, err)
	// Members that know each other's revision have exchanged heartbeats.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status := first.Status()
		if len(status.Members) == 2 && status.Settled && len(first.fleet.Dump().(fleet.State).Unheard) == 0 {
			return poll.Success()
		}
		return poll.Continue("status %+v", status)
	}, poll.WithTimeout(15*time.Second))

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.pool}}}
	resp, err := client.Get("https://" + s.Caller.Address + "/v1/hosts")
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK, string(body))
	for _, address := range []string{s.Caller.Address, s.Operator.Address} {
		resp, err := http.Get("http://" + address + "/healthz")
		if err == nil {
			assert.Check(t, resp.StatusCode != http.StatusOK, "%s answers in plain text", address)
			assert.NilError(t, resp.Body.Close())
		}
	}
	first.Drain()
	second.Drain()
	assert.NilError(t, <-firstDone)
	assert.NilError(t, <-secondDone)
}
