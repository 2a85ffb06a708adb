package consul

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/core/store"
	"mimosarelay/io/storehttp"
)

// Hold implements store.Store. The lease is a Consul session, and Consul deletes
// the key when the session ends.
func (c *Client) Hold(ctx context.Context, key string, value []byte, ttl time.Duration) (store.LeaseID, error) {
	_, body, err := storehttp.Envelope(key, value)
	if err != nil {
		return "", err
	}
	session, err := c.createSession(ctx, key, ttl)
	if err != nil {
		return "", err
	}
	ok, err := c.write(ctx, storehttp.Request{
		Method: fasthttp.MethodPut,
		Path:   c.keyPath(key),
		Query:  url.Values{"acquire": {session}},
		Body:   body,
	})
	if err == nil && ok {
		return store.LeaseID(session), nil
	}
	if errors.Is(err, store.ErrUnknown) {
		p, readErr := c.readBack(ctx, key, err)
		if readErr == nil && p.Session == session {
			return store.LeaseID(session), nil
		}
	}
	// If the session cannot be destroyed here, it ends with its TTL.
	destroyCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.Timeout)
	defer cancel()
	destroyErr := c.Release(destroyCtx, store.LeaseID(session))
	if err != nil {
		return "", errors.Join(fmt.Errorf("hold %q: %w", key, err), destroyErr)
	}
	return "", fmt.Errorf("hold %q: key is held by another lease: %w", key, store.ErrConflict)
}

func (c *Client) createSession(ctx context.Context, key string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(map[string]any{
		"Name":     c.options.Prefix + key,
		"TTL":      ttl.String(),
		"Behavior": "delete",
		// A new process of the same host may acquire its key as soon as the old
		// lease has lapsed.
		"LockDelay": "0s",
		// Without checks of the node the lease depends on renewals only, not on the
		// health of the Consul agent.
		"NodeChecks": []string{},
	})
	if err != nil {
		return "", err
	}
	res, err := c.do(ctx, storehttp.Request{
		Method:      fasthttp.MethodPut,
		Path:        "/v1/session/create",
		Body:        body,
		SafeToRetry: true, // a session that holds no key has no effect
	})
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := json.Unmarshal(res.Body, &created); err != nil || created.ID == "" {
		return "", fmt.Errorf("create session: response %q has no id: %w", res.Body, store.ErrUnavailable)
	}
	return created.ID, nil
}

// Renew implements store.Store.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	res, err := c.do(ctx, storehttp.Request{
		Method:      fasthttp.MethodPut,
		Path:        "/v1/session/renew/" + url.PathEscape(string(id)),
		Accept:      acceptNotFound,
		SafeToRetry: true,
	})
	if err != nil {
		return err
	}
	if res.Status == fasthttp.StatusNotFound {
		return fmt.Errorf("renew session %s: %w", id, store.ErrLeaseLapsed)
	}
	return nil
}

// Release implements store.Store. It succeeds if the lease has lapsed.
func (c *Client) Release(ctx context.Context, id store.LeaseID) error {
	_, err := c.do(ctx, storehttp.Request{
		Method: fasthttp.MethodPut,
		Path:   "/v1/session/destroy/" + url.PathEscape(string(id)),
	})
	return err
}
