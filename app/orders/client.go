package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/config"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/core/order"
	"mimosarelay/core/placement"
	"mimosarelay/core/release"
	"mimosarelay/io/buffer"
	"mimosarelay/io/target"
)

const (
	// maxResponseBytes limits the size of a response.
	maxResponseBytes = 8 << 20
	// idleTimeout is the time without progress after which a request fails.
	idleTimeout = 5 * time.Second
	// maxReportAge is the highest age that is assumed for a load report. It limits
	// the error if the clocks of the engine and the host differ.
	maxReportAge = 10 * time.Second
	// smallResponse is the size up to which a response is not reserved, in bytes, so that
	// the load of targets is known although callers have filled the account.
	smallResponse = 16 << 10
	// memoryWait is how long a larger response waits for memory.
	memoryWait = 250 * time.Millisecond
)

// Client is a client of the control API of engines: load reports, release of
// cache memory and orders. It never retries a request.
type Client struct {
	Targets *target.Client
	// Memory reserves what a response above 16 KiB holds; nil for no limit.
	Memory *memory.Account
}

// Send implements Engines.
func (c Client) Send(ctx context.Context, t config.Target, o order.Order, beforeSend func() error) (order.State, error) {
	var state order.State
	status, err := c.do(ctx, t, request{method: fasthttp.MethodPost, path: "/v1/orders", body: o, beforeSend: beforeSend}, &state)
	switch status {
	case fasthttp.StatusConflict:
		return state, fmt.Errorf("%w: %w", ErrStaleToken, err)
	case fasthttp.StatusBadRequest:
		return state, fmt.Errorf("%w: %w", model.ErrBadRequest, err)
	}
	return state, err
}

// State implements Engines.
func (c Client) State(ctx context.Context, t config.Target) (order.State, error) {
	var state order.State
	_, err := c.do(ctx, t, request{method: fasthttp.MethodGet, path: "/v1/orders/state"}, &state)
	return state, err
}

// loadReport is the response to GET /v1/load.
type loadReport struct {
	Time     time.Time
	Running  int
	Waiting  int
	Programs []release.Entry
}

// Load returns the load of an engine. The time of the report is by the engine's
// clock, so it is clamped to the 10 s before the request.
func (c Client) Load(ctx context.Context, t config.Target) (placement.Load, error) {
	sent := time.Now()
	var r loadReport
	if _, err := c.do(ctx, t, request{method: fasthttp.MethodGet, path: "/v1/load"}, &r); err != nil {
		return placement.Load{}, err
	}
	age := min(max(sent.Sub(r.Time), 0), maxReportAge)
	return placement.Load{At: sent.Add(-age), Running: r.Running, Waiting: r.Waiting}, nil
}

// Programs returns the programs that use cache memory at an engine.
func (c Client) Programs(ctx context.Context, t config.Target) ([]release.Entry, error) {
	var r loadReport
	_, err := c.do(ctx, t, request{method: fasthttp.MethodGet, path: "/v1/load"}, &r)
	return r.Programs, err
}

// Release frees the cache memory of a program, which has the same name as in its
// calls, and returns the number of freed blocks.
func (c Client) Release(ctx context.Context, t config.Target, program string) (int, error) {
	body := struct{ Program string }{Program: program}
	var response struct{ Freed int }
	_, err := c.do(ctx, t, request{method: fasthttp.MethodPost, path: "/v1/cache/release", body: body}, &response)
	return response.Freed, err
}

// request describes an HTTP request. Its body, if any, and its response are JSON.
type request struct {
	method     string
	path       string
	body       any // nil if there is none
	beforeSend func() error
}

// do sends a request and decodes the response into out. It returns the status, 0
// if there was no complete response, and an error unless the status is 200 and the
// response was decoded.
func (c Client) do(ctx context.Context, t config.Target, r request, out any) (int, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(r.method)
	req.SetRequestURI(r.path)
	req.Header.SetHost(t.Address)
	if r.body != nil {
		body, err := json.Marshal(r.body)
		if err != nil {
			return 0, fmt.Errorf("encode body of %s: %w", r.path, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	resp, err := c.Targets.Do(ctx, t.Address, req, target.CallOptions{IdleTimeout: idleTimeout, BeforeSend: r.beforeSend})
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Close() }()
	body, release, err := c.read(ctx, resp)
	if err != nil {
		return 0, fmt.Errorf("%s %s at %q: read response: %w", r.method, r.path, t.Name, err)
	}
	defer release()
	if resp.Status() != fasthttp.StatusOK {
		return resp.Status(), fmt.Errorf("%s %s at %q: status %d: %.200s", r.method, r.path, t.Name, resp.Status(), body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return resp.Status(), fmt.Errorf("%s %s at %q: decode response: %w", r.method, r.path, t.Name, err)
	}
	return resp.Status(), nil
}

// read reads a response to its end. release returns its memory.
func (c Client) read(ctx context.Context, resp *target.Response) (body []byte, release func(), err error) {
	body, err = io.ReadAll(io.LimitReader(resp, smallResponse+1))
	if err != nil || len(body) <= smallResponse {
		return body, func() {}, err
	}
	h, err := c.Memory.Open(netip.Addr{}, 0, func(memory.Phase) {})
	if err != nil {
		return nil, nil, err
	}
	h.SetPhase(memory.Running) // a request of this host is not evicted
	whole, err := buffer.Read(ctx, h, io.MultiReader(bytes.NewReader(body), resp), buffer.Options{
		Kind: memory.Answers, Length: resp.Length(), Limit: maxResponseBytes, MaxWait: memoryWait,
	})
	release = func() {
		whole.Release()
		h.Close()
	}
	if err != nil {
		release()
		return nil, nil, err
	}
	return whole.Bytes(), release, nil
}
