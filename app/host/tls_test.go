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

// testCA is a certificate authority that signs certificates for loopback
// addresses.
type testCA struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	ca := &testCA{folder: t.TempDir(), pool: x509.NewCertPool()}
	var err error
	ca.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &ca.key.PublicKey, ca.key)
	assert.NilError(t, err)
	ca.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	ca.pool.AddCert(ca.certificate)
	ca.write(t, "ca.crt", "CERTIFICATE", der)
	return ca
}

func (ca *testCA) write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(filepath.Join(ca.folder, name), data, 0o600))
}

// issue writes NAME.crt and NAME.key for an IP address.
func (ca *testCA) issue(t *testing.T, name, ip string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, &key.PublicKey, ca.key)
	assert.NilError(t, err)
	ca.write(t, name+".crt", "CERTIFICATE", der)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	ca.write(t, name+".key", "EC PRIVATE KEY", private)
}

func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (ca *testCA) startHost(t *testing.T, number int, storeAddress string) (*Host, *settings.Settings, chan error) {
	t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", number)
	name := fmt.Sprintf("host-%d", number)
	ca.issue(t, name, ip)
	section := fmt.Sprintf("{CertFile: %s.crt, KeyFile: %s.key", name, name)
	text := fmt.Sprintf("Host: {Name: %s, Zone: zone-%d}\nCaller: {Address: %q, TLS: %s}}\nOperator: {Address: %q, CredentialFile: credential, TLS: %s}}\nPeer: {Address: %q, TLS: %s, CAFile: ca.crt}}\nPlatform: {Address: %q}\n",
		name, number, freeAddress(t, ip), section, freeAddress(t, ip), section, freeAddress(t, ip), section, storeAddress)
	file := filepath.Join(ca.folder, name+".yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	s, err := settings.Load(file)
	assert.NilError(t, err)
	h, err := New(Options{Settings: s, Log: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- h.Run(context.Background()) }()
	return h, s, done
}

// Guards against TLS settings that are read but not applied: peers cannot reach
// each other, or ports answer in plain text.
func TestHostsServeAllPortsOverTLS(t *testing.T) {
	store, err := platform.Start(platform.Options{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	defer func() { _ = store.Close() }()
	ca := newTestCA(t)
	assert.NilError(t, os.WriteFile(filepath.Join(ca.folder, "credential"), []byte("a-test-credential\n"), 0o600))
	first, s, firstDone := ca.startHost(t, 1, store.Address())
	second, _, secondDone := ca.startHost(t, 2, store.Address())
	configuration := "Workspaces: [{Name: w, Rate: 1, Burst: 1, Budget: {Tokens: 1, Calls: 1, Lifetime: 1m}}]\nTargets: [{Name: s, Kind: Service, Address: 127.0.0.1:9, Zone: z, MaxInFlight: 1}]\n"
	_, err = first.contracts.Apply(context.Background(), []byte(configuration), 0)
	assert.NilError(t, err)
	// Members that know each other's revision have exchanged heartbeats.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status := first.Status()
		if len(status.Members) == 2 && status.Settled && len(first.fleet.Dump().(fleet.State).RevisionUnknown) == 0 {
			return poll.Success()
		}
		return poll.Continue("status %+v", status)
	}, poll.WithTimeout(15*time.Second))

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca.pool}}}
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
