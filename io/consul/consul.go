// Package consul implements store.Store and the host list on the public HTTP API
// of Consul: KV store, sessions, agent services and catalog.
//
// A stored value consists of the change id of the write (a UUID, 36 bytes), a
// newline and the value itself. If the response to a write is lost, the change id
// shows whether the write took effect.
//
// Session TTLs below 10 s require session_ttl_min in the configuration of the
// Consul servers.
package consul

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/memory"
	"mimosarelay/core/store"
	"mimosarelay/io/storehttp"
)

const defaultPrefix = "mimosarelay/"

// Options configures a Client.
type Options struct {
	// Address is IP:port of the HTTP API.
	Address string
	// Prefix is prepended to every key; "" means "mimosarelay/".
	Prefix string
	// Timeout limits one request; 0 means 1 s.
	Timeout time.Duration
	// LocalIP is the source address of connections; nil means any.
	LocalIP net.IP
	// Token is sent as X-Consul-Token; "" sends none.
	Token string
	// Memory reserves large responses while they arrive; nil means no limit.
	Memory *memory.Account
}

// Client is a client of one Consul HTTP API. It is safe for concurrent use.
type Client struct {
	options Options
	http    *storehttp.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client. It connects with the first request.
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
	httpClient.SetMemory(o.Memory)
	o.Timeout = httpClient.Timeout()
	return &Client{options: o, http: httpClient}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdle() }

// acceptNotFound accepts status 404 in requests where it means a missing key or
// session and not a missing endpoint.
var acceptNotFound = []int{fasthttp.StatusNotFound}

// do sends one request. It fails with ErrUnavailable if the request was not
// executed or is SafeToRetry, and with ErrUnknown if it may have been executed.
// Status 500 also means ErrUnknown, because Consul returns it when it does not
// know the outcome of a write.
func (c *Client) do(ctx context.Context, r storehttp.Request) (storehttp.Response, error) {
	return c.http.Do(ctx, r)
}
