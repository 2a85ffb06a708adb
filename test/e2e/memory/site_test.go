//go:build linux

package memory

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/standin/platform"
	"mimosarelay/standin/service"
	"mimosarelay/test/knownred"
)

const (
	sitePort         = 17400
	siteOperatorPort = 17401
	sitePeerPort     = 17402
	// siteSettings are those of a small machine.
	siteSettings = "Host: {Name: %s, Zone: zone-1}\n" +
		"Caller: {Address: %q, MaxBody: 4194304%s}\nOperator: {Address: %q, CredentialFile: %q}\n" +
		"Peer: {Address: %q}\nPlatform: {Address: %q}\nLog: {Level: warn}\nMemory: {Limit: %d}\n"
)

// site is one host that serves the product's own interface.
type site struct {
	t          *testing.T
	host       *process
	folder     string
	credential string
	callers    string
	operators  string
	peers      string
	key        string
	store      string
	tls        *tls.Config // nil for plain TCP
}

// newSite starts a host that is ready to serve the routes "stock" and "large" and other
// targets. Those of kind Service get a route of their name.
func newSite(t *testing.T, withTLS bool, others ...config.Target) *site {
	t.Helper()
	knownred.Skip(t)
	if os.Getenv(overloadVariable) != "run" {
		t.Skipf("needs a machine without other load; set %s=run to run it", overloadVariable)
	}
	store, err := platform.Start(platform.Options{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	ip, callers := freeAddress(sitePort)
	s := &site{
		t: t, folder: t.TempDir(), callers: callers, operators: fmt.Sprintf("%s:%d", ip, siteOperatorPort),
		peers: fmt.Sprintf("%s:%d", ip, sitePeerPort), key: config.NewKey("crowd"), store: store.Address(),
	}
	s.credential = s.writeFile("operator.credential", config.NewKey("operator")+"\n")
	section := ""
	if withTLS {
		section = s.useTLS()
	}
	s.host = s.startHost("host-1", callers, section, s.operators, s.peers)
	s.configure(others)
	s.checkServes()
	return s
}

// startHost starts a host. section has further settings for callers.
func (s *site) startHost(name, callers, section, operators, peers string) *process {
	s.t.Helper()
	file := s.writeFile(name+".yaml", fmt.Sprintf(siteSettings, name, callers, section, operators, s.credential, peers, s.store, memoryMB<<20))
	p := &process{t: s.t, name: name, cmd: exec.Command(binary, "serve", "--settings", file), ended: make(chan struct{})}
	p.start()
	return p
}

// addHost starts a host that is ready to serve beside the first one.
func (s *site) addHost(name string) *process {
	s.t.Helper()
	ip, callers := freeAddress(sitePort)
	p := s.startHost(name, callers, "", fmt.Sprintf("%s:%d", ip, siteOperatorPort), fmt.Sprintf("%s:%d", ip, sitePeerPort))
	waitServed(s.t, func() (int, error) { return exchangeOrdinary(callers, nil, s.post("stock", s.key)) })
	return p
}

func (s *site) writeFile(name, text string) string {
	s.t.Helper()
	file := filepath.Join(s.folder, name)
	assert.NilError(s.t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// useTLS writes the certificate of net/http/httptest and returns the setting that
// names it.
func (s *site) useTLS() string {
	s.t.Helper()
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	pair := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	assert.NilError(s.t, err)
	certFile := s.writeFile("caller.crt", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]})))
	keyFile := s.writeFile("caller.key", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})))
	s.tls = &tls.Config{InsecureSkipVerify: true} // the certificate is for another address
	return fmt.Sprintf(", TLS: {CertFile: %q, KeyFile: %q}", certFile, keyFile)
}

// configure applies a configuration with the route "stock" and the route "large",
// whose answers have fullBody bytes, and with other targets.
func (s *site) configure(others []config.Target) {
	s.t.Helper()
	hash, err := config.HashKey(s.key)
	assert.NilError(s.t, err)
	d := &config.Document{Workspaces: []config.Workspace{{
		Name: "main", Keys: []config.Key{{ID: "crowd", Hash: hash}}, Rate: 10000, Burst: 10000,
		Budget: config.Budget{Tokens: 1000, Calls: 1000, Lifetime: time.Hour},
	}}, Targets: others}
	for _, o := range others {
		if o.Kind == config.Service {
			d.Routes = append(d.Routes, config.Route{Name: model.RouteID(o.Name), Targets: []model.TargetID{o.Name}, Repeatable: true})
		}
	}
	for name, size := range map[string]int{"stock": 0, "large": fullBody} {
		target, err := service.Start(service.Options{Listen: "127.0.0.1:0", AnswerBytes: size})
		assert.NilError(s.t, err)
		s.t.Cleanup(func() { _ = target.Close() })
		d.Targets = append(d.Targets, config.Target{Name: model.TargetID(name), Kind: config.Service, Address: target.Address(), Zone: "zone-1", MaxInFlight: targetSlots})
		d.Routes = append(d.Routes, config.Route{Name: model.RouteID(name), Targets: []model.TargetID{model.TargetID(name)}, Repeatable: true})
	}
	data, err := config.Marshal(d)
	assert.NilError(s.t, err)
	file := s.writeFile("contracts.yaml", string(data))
	var out []byte
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(s.t.Context(), patience)
		out, err = exec.CommandContext(ctx, binary, "config", "apply", file, "--base", "0", "--operator", s.operators, "--credential-file", s.credential).CombinedOutput()
		cancel()
		if err == nil {
			return
		}
	}
	s.t.Fatalf("config apply: %v\n%s", err, out)
}

// post returns requests to a route. The route "stock" accepts a POST with any body.
func (s *site) post(route, key string) request {
	return func(_ int, fields ...string) []byte {
		var b bytes.Buffer
		fmt.Fprintf(&b, "POST /v1/routes/%s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", route, key)
		for _, f := range fields {
			b.WriteString(f + "\r\n")
		}
		b.WriteString("\r\n")
		return b.Bytes()
	}
}

// overTLS returns a caller that does the same over TLS, if the site uses TLS.
func (s *site) overTLS(send caller) caller {
	if s.tls == nil {
		return send
	}
	return func(c net.Conn, n int) error {
		if err := c.SetDeadline(time.Now().Add(writeLimit)); err != nil {
			return err
		}
		return send(tls.Client(c, s.tls), n)
	}
}

// checkHeld checks the process, and that an ordinary request is answered.
func (s *site) checkHeld() {
	s.t.Helper()
	s.host.checkHeld()
	s.checkServes()
	s.host.checkHeld()
}

// checkServes checks that an ordinary request is answered.
func (s *site) checkServes() {
	waitServed(s.t, func() (int, error) { return exchangeOrdinary(s.callers, s.tls, s.post("stock", s.key)) })
}
