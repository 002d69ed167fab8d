// Package consul reads and writes the platform's key-value service and its list of VMs.
// It speaks the published HTTP interface of Consul: KV with check-and-set, blocking queries and the catalog.
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

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

const (
	indexHeader      = "X-Consul-Index"
	watchGrace       = 5 * time.Second
	maxResponseBytes = 64 << 20
)

// Errors of a call.
var (
	// ErrUnavailable reports that the call had no effect, or was a read.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown reports that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the platform write is unknown")
)

// Value is what a key holds. Version is 0 where the key doesn't exist, and grows with each write of the key.
type Value struct {
	Key     string
	Data    []byte
	Version uint64
}

// Instance is one row of the platform's list of VMs.
type Instance struct {
	ID      string            `json:"ServiceID"`
	Service string            `json:"ServiceName"`
	Address string            `json:"ServiceAddress"`
	Port    int               `json:"ServicePort"`
	Meta    map[string]string `json:"ServiceMeta"`
}

// Registration announces an instance to the platform's list.
type Registration struct {
	ID      string            `json:"ID"`
	Name    string            `json:"Name"`
	Address string            `json:"Address"`
	Port    int               `json:"Port"`
	Meta    map[string]string `json:"Meta,omitempty"`
}

type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Client calls the platform. Timeout bounds each call that isn't a watch.
type Client struct {
	BaseURL string
	HTTP    *http.Client
	Timeout time.Duration
}

// New makes a Client of the platform at base, such as http://127.0.0.1:8500.
func New(base string, client *http.Client, timeout time.Duration) *Client {
	return &Client{BaseURL: base, HTTP: client, Timeout: timeout}
}

// Get reads a key; a missing key is a Value with Version 0.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	v, _, err := c.read(ctx, key, nil)
	return v, err
}

// Watch waits until the key's index passes after, or wait has gone by, and returns the value and the new index.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	return c.read(ctx, key, blocking(after, wait))
}

// List reads every key below prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	pairs, _, err := c.pairs(ctx, prefix, url.Values{"recurse": {"true"}})
	if err != nil {
		return nil, err
	}
	values := make([]Value, 0, len(pairs))
	for _, p := range pairs {
		values = append(values, Value{Key: p.Key, Data: p.Value, Version: p.ModifyIndex})
	}
	return values, nil
}

// CAS writes the key if its version is still the given one; version 0 creates it.
// An error that is ErrOutcomeUnknown leaves open whether the write took effect.
func (c *Client) CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error) {
	q := url.Values{"cas": {strconv.FormatUint(version, 10)}}
	return c.write(ctx, http.MethodPut, key, data, q)
}

// Delete removes the key if its version is still the given one.
func (c *Client) Delete(ctx context.Context, key string, version uint64) (bool, error) {
	q := url.Values{"cas": {strconv.FormatUint(version, 10)}}
	return c.write(ctx, http.MethodDelete, key, nil, q)
}

// Instances waits like Watch and returns the listed instances of a service. The list lags.
func (c *Client) Instances(ctx context.Context, service string, after uint64, wait time.Duration) ([]Instance, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	body, index, err := c.get(ctx, "/v1/catalog/service/"+url.PathEscape(service), blocking(after, wait))
	if err != nil {
		return nil, 0, err
	}
	var list []Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, 0, fmt.Errorf("%w: list of %s: %w", ErrUnavailable, service, err)
	}
	return list, index, nil
}

// Register adds or renews an instance in the list.
func (c *Client) Register(ctx context.Context, r Registration) error {
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("registration: %w", err)
	}
	return c.put(ctx, "/v1/agent/service/register", data)
}

// Deregister removes an instance from the list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.put(ctx, "/v1/agent/service/deregister/"+url.PathEscape(id), nil)
}

func blocking(after uint64, wait time.Duration) url.Values {
	if wait <= 0 {
		return nil
	}
	return url.Values{"index": {strconv.FormatUint(after, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"}}
}

func (c *Client) read(ctx context.Context, key string, q url.Values) (Value, uint64, error) {
	pairs, index, err := c.pairs(ctx, key, q)
	if err != nil || len(pairs) == 0 {
		return Value{Key: key}, index, err
	}
	p := pairs[0]
	return Value{Key: key, Data: p.Value, Version: p.ModifyIndex}, index, nil
}

func (c *Client) pairs(ctx context.Context, key string, q url.Values) ([]pair, uint64, error) {
	body, index, err := c.get(ctx, "/v1/kv/"+key, q)
	if err != nil || body == nil {
		return nil, index, err
	}
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return nil, 0, fmt.Errorf("%w: key %s: %w", ErrUnavailable, key, err)
	}
	return pairs, index, nil
}

// get returns a nil body where the platform answers that there is nothing.
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

func (c *Client) write(ctx context.Context, method, key string, data []byte, q url.Values) (bool, error) {
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
		return false, fmt.Errorf("%w: %s %s: answer cut off", ErrOutcomeUnknown, method, key)
	}
}

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
