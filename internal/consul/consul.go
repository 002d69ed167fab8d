// Package consul is a client of the platform's key-value service and service catalog. It uses the HTTP API of Consul: KV with
// compare-and-swap, blocking queries, the catalog and the agent's service registration.
package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// MaxValueBytes is the maximum size of a value that the platform stores.
const MaxValueBytes = 1 << 20

const (
	// indexHeader is the header field with the index of the last change of what was read, which a watch gives as after.
	indexHeader = "X-Consul-Index"
	// watchSlack is added to the wait of a watch to get its timeout, since the platform may answer later than asked.
	watchSlack = 5 * time.Second
	// maxPort is the greatest port number.
	maxPort = 1<<16 - 1
	// maxResponseBytes is where response bodies are cut off; decoding fails then.
	maxResponseBytes = 64 << 20
)

// Errors of a call. Which one is returned decides whether a write may be retried without reading first.
var (
	// ErrUnavailable reports that a read failed, or that a write failed and had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown reports that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the platform write is unknown")
)

// Value is the value of a key.
type Value struct {
	Key  string
	Data []byte
	// Version is 0 if the key doesn't exist, and grows with each write of the key.
	Version uint64
}

// Instance is one instance of a service in the platform's catalog.
type Instance struct {
	ID      string            `json:"ServiceID"`
	Service string            `json:"ServiceName"`
	Address string            `json:"ServiceAddress"`
	Port    int               `json:"ServicePort"`
	Meta    map[string]string `json:"ServiceMeta"`
}

// Registration describes an instance to be added to the platform's catalog. Name is the name of the service.
type Registration struct {
	ID      string            `json:"ID"`
	Name    string            `json:"Name"`
	Address string            `json:"Address"`
	Port    int               `json:"Port"`
	Meta    map[string]string `json:"Meta,omitempty"`
}

// kvPair is a key as the key-value API returns it, under its names.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Client calls the platform.
type Client struct {
	// BaseURL has no trailing slash.
	BaseURL string
	HTTP    *http.Client
	// Timeout bounds each call that isn't a watch.
	Timeout time.Duration
}

// New makes a Client of the platform at the base URL, such as http://127.0.0.1:8500.
func New(base string, client *http.Client, timeout time.Duration) *Client {
	return &Client{BaseURL: base, HTTP: client, Timeout: timeout}
}

// Get reads a key. For a missing key it returns a Value with Version 0.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	v, _, err := c.readKey(ctx, key, nil)
	return v, err
}

// Watch blocks until the key's index exceeds after or wait has passed, and returns the value and the current index. With a
// wait of 0 it returns at once.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return c.readKey(ctx, key, blockingQuery(after, wait))
}

// List reads every key that begins with prefix; the list is empty if there is none. order.Ledger calls it to read the order
// records.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	pairs, _, err := c.readPairs(ctx, prefix, url.Values{"recurse": {"true"}})
	if err != nil {
		return nil, err
	}
	values := make([]Value, 0, len(pairs))
	for _, p := range pairs {
		values = append(values, Value{Key: p.Key, Data: p.Value, Version: p.ModifyIndex})
	}
	return values, nil
}

// CAS writes the key if its version is still the given one, and reports whether it did; version 0 creates the key. After
// ErrOutcomeUnknown the write may or may not have taken effect.
func (c *Client) CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error) {
	q := url.Values{"cas": {strconv.FormatUint(version, 10)}}
	return c.writeKey(ctx, http.MethodPut, key, data, q)
}

// Delete removes the key if its version is still the given one, and reports whether it did. Errors are those of CAS.
func (c *Client) Delete(ctx context.Context, key string, version uint64) (bool, error) {
	q := url.Values{"cas": {strconv.FormatUint(version, 10)}}
	return c.writeKey(ctx, http.MethodDelete, key, nil, q)
}

// Instances returns the instances of a service in the catalog and the current index, and blocks as Watch does. The catalog
// lags behind registrations. The endpoint controller and the peer registration call it in a loop.
func (c *Client) Instances(ctx context.Context, service string, after uint64, wait time.Duration) ([]Instance, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	body, index, err := c.get(ctx, "/v1/catalog/service/"+url.PathEscape(service), blockingQuery(after, wait))
	if err != nil {
		return nil, 0, err
	}
	list, err := decodeInstances(body)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: decode instances of %s: %w", ErrUnavailable, service, err)
	}
	return list, index, nil
}

// decodeInstances decodes a list of instances and leaves out those that can't be used, so that one of them hides no other.
func decodeInstances(body []byte) ([]Instance, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, err
	}
	list := make([]Instance, 0, len(raw))
	for _, data := range raw {
		var i Instance
		if json.Unmarshal(data, &i) != nil || i.ID == "" || i.Port < 0 || i.Port > maxPort {
			continue
		}
		list = append(list, i)
	}
	return list, nil
}

// Register adds an instance to the catalog or renews it.
func (c *Client) Register(ctx context.Context, r Registration) error {
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	return c.put(ctx, "/v1/agent/service/register", data)
}

// Deregister removes an instance from the catalog.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.put(ctx, "/v1/agent/service/deregister/"+url.PathEscape(id), nil)
}

// blockingQuery returns the parameters of a blocking query, or nil if it is not to block.
func blockingQuery(after uint64, wait time.Duration) url.Values {
	if wait <= 0 {
		return nil
	}
	return url.Values{"index": {strconv.FormatUint(after, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"}}
}

// readKey reads one key, for Get and Watch. The Key of the result is set also if the key is missing.
func (c *Client) readKey(ctx context.Context, key string, q url.Values) (Value, uint64, error) {
	pairs, index, err := c.readPairs(ctx, key, q)
	if err != nil || len(pairs) == 0 {
		return Value{Key: key}, index, err
	}
	p := pairs[0]
	return Value{Key: key, Data: p.Value, Version: p.ModifyIndex}, index, nil
}

// readPairs reads a key, or all keys with a prefix if q says so, and returns the index of the response.
func (c *Client) readPairs(ctx context.Context, key string, q url.Values) ([]kvPair, uint64, error) {
	body, index, err := c.get(ctx, "/v1/kv/"+key, q)
	if err != nil || body == nil {
		return nil, index, err
	}
	var pairs []kvPair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return nil, 0, fmt.Errorf("%w: decode key %s: %w", ErrUnavailable, key, err)
	}
	return pairs, index, nil
}

// get sends a GET request and returns the body and the index of the response. The body is nil if the platform answers that
// nothing was found. Instances and readPairs call it.
func (c *Client) get(ctx context.Context, path string, q url.Values) ([]byte, uint64, error) {
	status, header, body, err := c.do(ctx, http.MethodGet, path, q, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	index, _ := strconv.ParseUint(header.Get(indexHeader), 10, 64)
	switch status {
	case http.StatusOK:
		return body, index, nil
	case http.StatusNotFound:
		return nil, index, nil
	default:
		return nil, 0, fmt.Errorf("%w: GET %s: status %d", ErrUnavailable, path, status)
	}
}

// put sends a PUT request to the agent, for Register and Deregister.
func (c *Client) put(ctx context.Context, path string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	status, _, _, err := c.do(ctx, http.MethodPut, path, nil, data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("%w: PUT %s: status %d", ErrUnavailable, path, status)
	}
	return nil
}

// writeKey sends a conditional write or delete of a key, for CAS and Delete, and reports whether it took effect. A failed
// connection, a server error and a body that is neither true nor false leave the outcome unknown: the platform, or a proxy
// in front of it, may have failed after the write.
func (c *Client) writeKey(ctx context.Context, method, key string, data []byte, q url.Values) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	status, _, body, err := c.do(ctx, method, "/v1/kv/"+key, q, data)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if status >= http.StatusInternalServerError {
		return false, fmt.Errorf("%w: %s %s: status %d", ErrOutcomeUnknown, method, key, status)
	}
	if status != http.StatusOK {
		return false, fmt.Errorf("%w: %s %s: status %d", ErrUnavailable, method, key, status)
	}
	switch string(bytes.TrimSpace(body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, fmt.Errorf("%w: %s %s: incomplete response", ErrOutcomeUnknown, method, key)
	}
}

// do sends a request and reads the response, for every call. It returns status, header and body.
func (c *Client) do(ctx context.Context, method, path string, q url.Values, data []byte) (int, http.Header, []byte, error) {
	u := c.BaseURL + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(data))
	if err != nil {
		return 0, nil, nil, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, nil, err
	}
	return resp.StatusCode, resp.Header, body, nil
}
