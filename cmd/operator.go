package cmd

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/io/http1"
	"mimosarelay/io/operator"
)

const (
	// operatorTimeout limits one request. The server takes up to 10 s for the store
	// and then up to 15 s to wait for the effect of a change.
	operatorTimeout = 40 * time.Second
	// maxAnswerBytes limits the size of an answer; dumps are the largest.
	maxAnswerBytes = 256 << 20
)

// operatorClient is a client of the operator API, configured by flags.
type operatorClient struct {
	address        string
	credentialFile string
	caFile         string
}

// register adds the flags to a command and its subcommands.
func (o *operatorClient) register(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&o.address, "operator", "", "operator address of a host, IP:port")
	f.StringVar(&o.credentialFile, "credential-file", "", "file with the operator credential")
	f.StringVar(&o.caFile, "ca-file", "", "connect over TLS and verify the host with these certificates (PEM)")
}

// do sends one request and returns the answer. An answer with an error status is
// returned as the error that responseError makes of it.
func (o *operatorClient) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, client, err := o.prepare(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, noAnswerError(method, o.address, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, noAnswerError(method, o.address, err)
	}
	if resp.StatusCode/100 == 2 {
		return data, nil
	}
	return nil, responseError(resp.StatusCode, data)
}

// prepare validates the flags and returns the request and a client for it. The
// client does not reuse connections, because net/http retries some requests that
// fail on a reused connection.
func (o *operatorClient) prepare(ctx context.Context, method, path string, body []byte) (*http.Request, *http.Client, error) {
	if err := config.CheckAddress(o.address); err != nil {
		return nil, nil, fmt.Errorf("flag --operator: %w", err)
	}
	credential, err := os.ReadFile(o.credentialFile)
	if err != nil {
		return nil, nil, fmt.Errorf("flag --credential-file: %w", err)
	}
	dial := (&net.Dialer{}).DialContext
	transport := &http.Transport{DisableKeepAlives: true, DialContext: checkedDial(dial)}
	scheme := "http"
	if o.caFile != "" {
		scheme = "https"
		tlsConfig, err := clientTLS(o.caFile)
		if err != nil {
			return nil, nil, err
		}
		transport.DialTLSContext = checkedDial((&tls.Dialer{Config: tlsConfig}).DialContext)
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+o.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(credential)))
	client := &http.Client{
		Transport: transport,
		Timeout:   operatorTimeout,
		// The API does not redirect, and the credential must not be sent to another
		// host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return req, client, nil
}

// checkedDial returns dial with connections that refuse malformed responses and those
// that were cut off.
func checkedDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return http1.NewConn(c), nil
	}
}

// clientTLS returns a configuration that trusts the certificates in a file.
func clientTLS(caFile string) (*tls.Config, error) {
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("flag --ca-file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("flag --ca-file: %s holds no certificate in PEM format", caFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// noAnswerError describes a request without a complete answer. A change may have
// been accepted nevertheless, unless the connection could not be opened.
func noAnswerError(method, address string, err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	var opErr *net.OpError
	if method == http.MethodGet || errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("no answer from %s: %w", address, err)
	}
	return fmt.Errorf("no answer from %s, the change may or may not be accepted (see \"config history\"): %w", address, err)
}

// responseError returns the error for an answer with an error status, which
// normally holds a JSON problem description.
func responseError(status int, data []byte) error {
	p := &operator.Problem{}
	if err := json.Unmarshal(data, p); err != nil || p.Status == 0 {
		return fmt.Errorf("the host answered with status %d and no problem description", status)
	}
	switch {
	case len(p.Faults) > 0:
		return p.Faults
	case p.Base != nil && p.Current != nil:
		return fmt.Errorf("conflict: the change is based on revision %d, but another operator has made revision %d; "+
			"get it with \"config get\", repeat the change in it and apply it again", *p.Base, *p.Current)
	case p.Accepted == operator.AcceptedUnknown:
		return fmt.Errorf("the change may or may not be accepted, see \"config history\": %w", p)
	}
	return p
}

// call sends a request and decodes the JSON answer into v.
func (o *operatorClient) call(ctx context.Context, method, path string, body []byte, v any) error {
	data, err := o.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("the answer of %s is not valid: %w", o.address, err)
	}
	return nil
}

// show prints the JSON answer of a GET request, indented.
func (o *operatorClient) show(c *cobra.Command, path string) error {
	data, err := o.do(c.Context(), http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return fmt.Errorf("the answer of %s is not valid: %w", o.address, err)
	}
	_, err = fmt.Fprintln(c.OutOrStdout(), out.String())
	return err
}

// reportEffect prints that an accepted change is in effect. It fails if a host has
// not confirmed the change, so that scripts notice.
func reportEffect(c *cobra.Command, e operator.Effect) error {
	if e.InEffect {
		_, err := fmt.Fprintf(c.OutOrStdout(), "revision %d is in effect on all hosts\n", e.Revision)
		return err
	}
	return fmt.Errorf("revision %d is accepted, but these hosts have not confirmed it yet: %s", e.Revision, joinHosts(e.Missing))
}

func joinHosts(hosts []model.HostID) string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = string(h)
	}
	return strings.Join(names, ", ")
}
