package consul

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"sort"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/storehttp"
)

// ServiceName is the service under which hosts are registered in the catalog.
const ServiceName = "mimosarelay"

// HostState is the state of a host in the platform's host list.
type HostState string

// States of a host in the host list.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving"
)

// Host is one entry of the platform's host list. The list is eventually
// consistent: it lags behind the actual state.
type Host struct {
	Name    model.HostID
	Address string // IP:port for callers
	Zone    model.Zone
	State   HostState
}

// Register adds a host to the host list or replaces its entry.
func (c *Client) Register(ctx context.Context, h Host) error {
	ip, portText, err := net.SplitHostPort(h.Address)
	if err != nil {
		return fmt.Errorf("register host %q: address %q: %w", h.Name, h.Address, err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return fmt.Errorf("register host %q: address %q: %w", h.Name, h.Address, err)
	}
	if h.State != Live && h.State != Leaving {
		return fmt.Errorf("register host %q: state %q is neither %q nor %q", h.Name, h.State, Live, Leaving)
	}
	body, err := json.Marshal(map[string]any{
		"ID":      serviceID(h.Name),
		"Name":    ServiceName,
		"Address": ip,
		"Port":    port,
		"Meta":    map[string]string{"Host": string(h.Name), "Zone": string(h.Zone), "State": string(h.State)},
	})
	if err != nil {
		return err
	}
	_, err = c.do(ctx, storehttp.Request{Method: fasthttp.MethodPut, Path: "/v1/agent/service/register", Body: body})
	return err
}

// Deregister removes a host from the host list.
func (c *Client) Deregister(ctx context.Context, name model.HostID) error {
	_, err := c.do(ctx, storehttp.Request{
		Method: fasthttp.MethodPut,
		Path:   "/v1/agent/service/deregister/" + url.PathEscape(serviceID(name)),
	})
	return err
}

// Hosts returns the host list, sorted by name.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	res, err := c.do(ctx, storehttp.Request{
		Method:      fasthttp.MethodGet,
		Path:        "/v1/catalog/service/" + ServiceName,
		SafeToRetry: true,
	})
	if err != nil {
		return nil, err
	}
	var services []struct {
		ServiceAddress string
		ServicePort    int
		ServiceMeta    map[string]string
	}
	if err := json.Unmarshal(res.Body, &services); err != nil {
		return nil, fmt.Errorf("decode catalog of service %s: %w: %w", ServiceName, store.ErrUnavailable, err)
	}
	hosts := make([]Host, 0, len(services))
	for _, s := range services {
		hosts = append(hosts, Host{
			Name:    model.HostID(s.ServiceMeta["Host"]),
			Address: net.JoinHostPort(s.ServiceAddress, strconv.Itoa(s.ServicePort)),
			Zone:    model.Zone(s.ServiceMeta["Zone"]),
			State:   HostState(s.ServiceMeta["State"]),
		})
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts, nil
}

func serviceID(name model.HostID) string { return ServiceName + "-" + string(name) }
