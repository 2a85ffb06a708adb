package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/store"
	"mimosarelay/io/storehttp"
)

// pair is a key with its value as the KV endpoint returns it.
type pair struct {
	Key         string
	Value       []byte // base64 in JSON
	CreateIndex uint64
	ModifyIndex uint64
	Session     string
}

// writtenBy reports whether the value was written with the change id.
func (p pair) writtenBy(id string) bool {
	found, _, ok := storehttp.ParseEnvelope(p.Value)
	return ok && found == id
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	p, err := c.getPair(ctx, key)
	if err != nil {
		return store.Entry{}, err
	}
	return c.parseEntry(p)
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	res, err := c.do(ctx, storehttp.Request{
		Method:      fasthttp.MethodGet,
		Path:        c.keyPath(prefix),
		Accept:      acceptNotFound,
		SafeToRetry: true,
		Query:       url.Values{"recurse": {""}, "consistent": {""}},
	})
	if err != nil {
		return nil, 0, err
	}
	return c.parseEntries(res)
}

// Watch implements store.Store with a blocking query.
func (c *Client) Watch(ctx context.Context, prefix string, since store.Version, wait time.Duration) ([]store.Entry, store.Version, error) {
	r := storehttp.Request{
		Method:      fasthttp.MethodGet,
		Path:        c.keyPath(prefix),
		Accept:      acceptNotFound,
		SafeToRetry: true,
		Query: url.Values{
			"recurse": {""},
			"index":   {strconv.FormatUint(uint64(since), 10)},
			"wait":    {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
		},
		// Consul adds a random time of up to wait/16.
		Timeout: wait + wait/16 + c.options.Timeout,
	}
	res, err := c.http.DoCancelable(ctx, r)
	if err != nil {
		return nil, 0, err
	}
	return c.parseEntries(res)
}

// Put implements store.Store. If the response is lost, it reads the key: it
// returns the version if the key has the change id of this write, and otherwise
// ErrUnknown, because the write may still be executed or may have been
// overwritten.
func (c *Client) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	id, body, err := storehttp.Envelope(key, value)
	if err != nil {
		return 0, err
	}
	ok, err := c.write(ctx, storehttp.Request{
		Method: fasthttp.MethodPut,
		Path:   c.keyPath(key),
		Query:  url.Values{"cas": {strconv.FormatUint(uint64(prev), 10)}},
		Body:   body,
	})
	switch {
	case err == nil && !ok:
		return 0, fmt.Errorf("put %q: current version is not %d: %w", key, prev, store.ErrConflict)
	case err != nil && !errors.Is(err, store.ErrUnknown):
		return 0, err
	}
	// Consul does not return the new index of a write, so the key is read after
	// a successful write too.
	p, readErr := c.readBack(ctx, key, err)
	if readErr == nil && p.writtenBy(id) {
		return store.Version(p.ModifyIndex), nil
	}
	if err != nil {
		return 0, errors.Join(err, readErr)
	}
	// The write took effect, but was overwritten or cannot be read now. Its index
	// is at least prev+1 and the index of any later write is higher, so a
	// compare-and-swap on prev+1 cannot overwrite a later write.
	return prev + 1, nil
}

// Delete implements store.Store. It succeeds if the key does not exist.
func (c *Client) Delete(ctx context.Context, key string, prev store.Version) error {
	if prev == 0 { // Consul would delete the key whatever its version
		return fmt.Errorf("delete %q: version 0 is not the version of an existing key", key)
	}
	ok, err := c.write(ctx, storehttp.Request{
		Method: fasthttp.MethodDelete,
		Path:   c.keyPath(key),
		Query:  url.Values{"cas": {strconv.FormatUint(uint64(prev), 10)}},
	})
	switch {
	case err == nil && !ok:
		return fmt.Errorf("delete %q: current version is not %d: %w", key, prev, store.ErrConflict)
	case !errors.Is(err, store.ErrUnknown):
		return err
	}
	p, readErr := c.readBack(ctx, key, err)
	switch {
	case errors.Is(readErr, store.ErrNotFound):
		return nil
	case readErr == nil && p.CreateIndex <= uint64(prev) && p.ModifyIndex > uint64(prev):
		// The key was changed after prev and not deleted, so the version check of
		// the delete must fail.
		return fmt.Errorf("delete %q: current version is not %d: %w", key, prev, store.ErrConflict)
	}
	return errors.Join(err, readErr)
}

// write sends a request whose response body is true or false.
func (c *Client) write(ctx context.Context, r storehttp.Request) (bool, error) {
	res, err := c.do(ctx, r)
	if err != nil {
		return false, err
	}
	switch string(bytes.TrimSpace(res.Body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, fmt.Errorf("%s %s: response %q is neither true nor false: %w", r.Method, r.Path, res.Body, store.ErrUnknown)
}

// readBack reads a key after a write that returned err. After a failed write it
// uses a new connection, because the idle ones may have the same fault. It does
// not end with ctx, because the deadline of ctx is often what interrupted the
// write.
func (c *Client) readBack(ctx context.Context, key string, err error) (pair, error) {
	if err != nil {
		c.http.CloseIdle()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.Timeout)
	defer cancel()
	return c.getPair(ctx, key)
}

func (c *Client) getPair(ctx context.Context, key string) (pair, error) {
	res, err := c.do(ctx, storehttp.Request{
		Method:      fasthttp.MethodGet,
		Path:        c.keyPath(key),
		Accept:      acceptNotFound,
		SafeToRetry: true,
		Query:       url.Values{"consistent": {""}},
	})
	if err != nil {
		return pair{}, err
	}
	if res.Status == fasthttp.StatusNotFound {
		return pair{}, fmt.Errorf("get %q: %w", key, store.ErrNotFound)
	}
	var pairs []pair
	if err := json.Unmarshal(res.Body, &pairs); err != nil || len(pairs) != 1 {
		return pair{}, fmt.Errorf("get %q: response is not a list of one key: %w", key, errors.Join(err, store.ErrUnavailable))
	}
	return pairs[0], nil
}

// parseEntries decodes the response to a recursive read and returns the entries,
// sorted by key, with the index of the response.
func (c *Client) parseEntries(res storehttp.Response) ([]store.Entry, store.Version, error) {
	var pairs []pair
	if res.Status != fasthttp.StatusNotFound {
		if err := json.Unmarshal(res.Body, &pairs); err != nil {
			return nil, 0, fmt.Errorf("list keys: decode response: %w: %w", store.ErrUnavailable, err)
		}
	}
	index, err := strconv.ParseUint(res.Header, 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("list keys: header X-Consul-Index %q: %w: %w", res.Header, store.ErrUnavailable, err)
	}
	out := make([]store.Entry, 0, len(pairs))
	for _, p := range pairs {
		e, err := c.parseEntry(p)
		if err != nil {
			return nil, 0, err
		}
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, store.Version(max(index, 1)), nil
}

func (c *Client) parseEntry(p pair) (store.Entry, error) {
	key := strings.TrimPrefix(p.Key, c.options.Prefix)
	_, value, ok := storehttp.ParseEnvelope(p.Value)
	if !ok {
		return store.Entry{}, fmt.Errorf("key %q: value has no change id", key)
	}
	return store.Entry{
		Key:     key,
		Value:   value,
		Version: store.Version(p.ModifyIndex),
		Holder:  store.LeaseID(p.Session),
	}, nil
}

// keyPath returns the escaped path of a key or of a key prefix.
func (c *Client) keyPath(key string) string {
	parts := strings.Split(c.options.Prefix+key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/kv/" + strings.Join(parts, "/")
}
