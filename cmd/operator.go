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
	"mimosarelay/io/operator"
)

const (
	// operatorTimeout bounds one request. The server waits up to 15 s for the
	// effect of a change after up to 10 s for the store.
	operatorTimeout = 40 * time.Second
	// maxAnswer bounds an answer; dumps are the largest.
	maxAnswer = 256 << 20 // bytes
)

// operatorClient holds the flags of commands that use the operator API.
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

// do sends one request and returns the answer. Errors of the server are of
// type *operator.Problem.
func (o *operatorClient) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	q, client, err := o.prepare(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	a, err := client.Do(q)
	if err != nil {
		return nil, unanswered(method, o.address, err)
	}
	defer a.Body.Close()
	data, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return nil, unanswered(method, o.address, err)
	}
	if a.StatusCode/100 == 2 {
		return data, nil
	}
	return nil, failure(a.StatusCode, data)
}

// prepare checks the flags and makes the request and a client with one
// connection, so that net/http has no reason to repeat a request.
func (o *operatorClient) prepare(ctx context.Context, method, path string, body []byte) (*http.Request, *http.Client, error) {
	if err := config.CheckAddress(o.address); err != nil {
		return nil, nil, fmt.Errorf("flag --operator: %w", err)
	}
	credential, err := os.ReadFile(o.credentialFile)
	if err != nil {
		return nil, nil, fmt.Errorf("flag --credential-file: %w", err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	scheme := "http"
	if o.caFile != "" {
		scheme = "https"
		if transport.TLSClientConfig, err = clientTLS(o.caFile); err != nil {
			return nil, nil, err
		}
	}
	q, err := http.NewRequestWithContext(ctx, method, scheme+"://"+o.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	q.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(credential)))
	client := &http.Client{
		Transport: transport,
		Timeout:   operatorTimeout,
		// The API does not redirect, and the credential goes to one host only.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return q, client, nil
}

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

// unanswered describes a request without a complete answer.
func unanswered(method, address string, err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	var network *net.OpError
	if method == http.MethodGet || errors.As(err, &network) && network.Op == "dial" {
		return fmt.Errorf("no answer from %s: %w", address, err)
	}
	return fmt.Errorf("no answer from %s, the change may or may not be accepted (see \"config history\"): %w", address, err)
}

// failure reads a problem, or describes an answer that is none.
func failure(status int, data []byte) error {
	p := &operator.Problem{}
	if err := json.Unmarshal(data, p); err != nil || p.Status == 0 {
		return fmt.Errorf("the host answered with status %d and no problem description", status)
	}
	switch {
	case len(p.Faults) > 0:
		return p.Faults
	case p.Base != nil && p.Current != nil:
		return fmt.Errorf("conflict: the change is based on revision %d, but another operator has made revision %d; "+
			"get it with \"config get\", repeat the change there and apply it again", *p.Base, *p.Current)
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

// reportEffect prints whether an accepted change is in effect. Missing hosts
// are an error, so that scripts notice them.
func reportEffect(c *cobra.Command, e operator.Effect) error {
	if e.InEffect {
		_, err := fmt.Fprintf(c.OutOrStdout(), "revision %d is in effect on all hosts\n", e.Revision)
		return err
	}
	return fmt.Errorf("revision %d is accepted, but these hosts have not confirmed it yet: %s", e.Revision, hostList(e.Missing))
}

func hostList(hosts []model.HostID) string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = string(h)
	}
	return strings.Join(names, ", ")
}
