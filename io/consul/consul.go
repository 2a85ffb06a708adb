// Package consul implements store.Store and the host list over the published
// HTTP API of Consul: KV, sessions, agent services and the catalog.
//
// A value is stored as an envelope: the change id of the write (a UUID, 36
// bytes), a newline, then the value. The change id tells after a lost answer
// whether the write took effect.
//
// Session TTLs below 10 s require session_ttl_min in the settings of the
// Consul servers.
package consul

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/store"
	"mimosarelay/io/storehttp"
)

const defaultPrefix = "mimosarelay/"

// Options configures a Client.
type Options struct {
	// Address is IP:port of the HTTP API.
	Address string
	// Prefix is put before every key; "" means "mimosarelay/".
	Prefix string
	// Timeout bounds one call; 0 means 1 s.
	Timeout time.Duration
	// LocalIP is the source address of connections; nil means any.
	LocalIP net.IP
	// Token is sent as X-Consul-Token; "" sends none.
	Token string
}

// Client talks to one Consul HTTP API. It is safe for concurrent use.
type Client struct {
	options Options
	http    *storehttp.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client. It connects at the first call.
func New(o Options) (*Client, error) {
	if o.Prefix == "" {
		o.Prefix = defaultPrefix
	}
	httpOptions := storehttp.Options{Address: o.Address, Timeout: o.Timeout, LocalIP: o.LocalIP, ResponseHeader: "X-Consul-Index"}
	if o.Token != "" {
		httpOptions.Headers = map[string]string{"X-Consul-Token": o.Token}
	}
	httpClient, err := storehttp.New(httpOptions)
	if err != nil {
		return nil, err
	}
	o.Timeout = httpClient.Timeout()
	return &Client{options: o, http: httpClient}, nil
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdle() }

// mayMiss accepts status 404 where it stands for a missing key or session and
// not for a missing endpoint.
var acceptNotFound = []int{fasthttp.StatusNotFound}

// do sends one request. It fails with ErrUnavailable if the request was not
// sent, and with ErrUnknown if it may have been carried out. Consul also
// answers 500 when it lost track of a write.
func (c *Client) do(ctx context.Context, r storehttp.Request) (storehttp.Response, error) {
	return c.http.Do(ctx, r)
}
