package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/io/peer/peerpb"
)

// selfSigned returns a self-signed certificate for a loopback address and a pool
// that contains it.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "host"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.ParseIP("127.0.0.2")},
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// Guards against a connection on which the client or the server has no trusted
// certificate.
func TestMutualTLSRejectsUntrustedPeers(t *testing.T) {
	certificate, roots := selfSigned(t)
	untrusted, untrustedRoots := selfSigned(t)
	cases := map[string]struct {
		client *tls.Config
		ok     bool
	}{
		"trusted certificates":         {&tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: roots}, true},
		"untrusted client certificate": {&tls.Config{Certificates: []tls.Certificate{untrusted}, RootCAs: roots}, false},
		"no client certificate":        {&tls.Config{RootCAs: roots}, false},
		"untrusted server certificate": {&tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: untrustedRoots}, false},
		"plain TCP client":             {nil, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := Listen("127.0.0.2:0", &tls.Config{
				Certificates: []tls.Certificate{certificate},
				ClientCAs:    roots,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			})
			assert.NilError(t, err)
			c, _, _, address := startOn(t, Options{TLS: tc.client}, l)
			_, err = c.Heartbeat(context.Background(), address, &peerpb.HeartbeatRequest{})
			assert.Equal(t, err == nil, tc.ok, "%v", err)
		})
	}
}
