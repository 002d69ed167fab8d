package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Headers of a run, and the header with which server-sent events are resumed.
const (
	headerRunID       = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerLastEventID = "Last-Event-ID"
	headerRetryAfter  = "Retry-After"
	eventStream       = "text/event-stream"
	maxReportBytes    = 64 << 10
	// maxIdleConns bounds the idle connections to one endpoint; fewer than run at once means dialling again and again.
	maxIdleConns = 1024
)

// Client speaks HTTP to endpoints.
type Client struct {
	pooled *http.Client
	dialer net.Dialer
	// silence is how long an answer may stay silent before its connection counts as lost.
	silence time.Duration
}

// NewClient makes a Client.
func NewClient(dialTimeout, silence time.Duration) *Client {
	c := &Client{dialer: net.Dialer{Timeout: dialTimeout}, silence: silence}
	c.pooled = &http.Client{
		CheckRedirect: noRedirect,
		Transport:     &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: 30 * time.Second},
	}
	return c
}

// noRedirect hands a redirect on as the answer, since following it would be a second send.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Report implements Reporter.
func (c *Client) Report(ctx context.Context, address string, fresh bool) (Report, error) {
	var r Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return r, err
	}
	client := c.pooled
	if fresh {
		if client, err = c.dialOwn(ctx, address); err != nil {
			return r, reportError(err)
		}
		defer client.CloseIdleConnections()
	}
	resp, err := client.Do(req)
	if err != nil {
		return r, reportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("load report: status %d", resp.StatusCode)
	}
	return r, json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r)
}

func reportError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ErrDown, err)
	}
	return err
}

// Open implements filter.Sender. A call that isn't idempotent, or resumes one, gets a connection of its own,
// which can't have gone silent before and which the library never sends it twice on.
// The library asks the gate in this goroutine, once it has the connection and before it writes.
func (c *Client) Open(ctx context.Context, e Endpoint, call Call, gate SendCheck) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	guard := &guard{gate: gate, cancel: cancel}
	resp, err := c.send(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: guard.gotConn}), e, call)
	if err != nil {
		cancel()
		return nil, guard.explain(err)
	}
	s := newStream(resp, call, cancel)
	if err := s.check(e); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (c *Client) send(ctx context.Context, e Endpoint, call Call) (*http.Response, error) {
	req, err := newRequest(ctx, e, call)
	if err != nil {
		return nil, err
	}
	if call.Idempotent && !call.Resume {
		return c.pooled.Do(req)
	}
	own, err := c.dialOwn(ctx, e.Address)
	if err != nil {
		return nil, err
	}
	resp, err := own.Do(req)
	if err != nil {
		own.CloseIdleConnections()
	}
	return resp, err
}

// guard asks the gate for each connection that the library is about to use; only the goroutine of the call uses it.
type guard struct {
	gate   SendCheck
	cancel context.CancelFunc
	passed bool
	err    error
}

// gotConn closes the connection where the gate refuses, so that no byte can leave on it.
func (g *guard) gotConn(info httptrace.GotConnInfo) {
	if g.err = g.gate(); g.err != nil {
		g.cancel()
		info.Conn.Close()
		return
	}
	g.passed = true
}

func (g *guard) explain(err error) error {
	switch {
	case g.passed:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	case g.err != nil:
		return g.err
	default:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
}

// dialOwn connects first, so that nothing can delay the first byte after the gate.
func (c *Client) dialOwn(ctx context.Context, address string) (*http.Client, error) {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conns := make(chan net.Conn, 1)
	conns <- conn
	once := func(context.Context, string, string) (net.Conn, error) {
		select {
		case conn := <-conns:
			return conn, nil
		default:
			return nil, errors.New("the connection was used")
		}
	}
	return &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{DialContext: once, DisableKeepAlives: true}}, nil
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: conn, silence: c.silence}, nil
}

// silentConn fails a read or write that makes no progress for as long as the silence limit.
// A reader that takes its time between reads is no silence of the endpoint.
type silentConn struct {
	net.Conn
	silence time.Duration
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. It also moves the deadline of the read that waits for the answer.
func (c *silentConn) Write(p []byte) (int, error) {
	if err := c.SetDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func newRequest(ctx context.Context, e Endpoint, call Call) (*http.Request, error) {
	if !call.Chat {
		req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+e.Address+call.Path, bytes.NewReader(call.Body))
		if err != nil {
			return nil, err
		}
		for _, f := range call.Fields {
			req.Header.Set(f.Name, f.Value)
		}
		if call.ContentType != "" {
			req.Header.Set("Content-Type", call.ContentType)
		}
		req.Header.Set(headerRunID, call.RunID)
		return req, nil
	}
	body, err := chatBody(call)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRunID, call.RunID)
	req.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	if call.Resume {
		req.Header.Set(headerLastEventID, eventID(call.RunID, call.Offset-1))
	}
	return req, nil
}

// chatBody names the version in the caller's body and asks for a stream with its usage.
func chatBody(call Call) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, err
	}
	name, err := json.Marshal(call.Model + "/" + call.Version)
	if err != nil {
		return nil, err
	}
	fields["model"] = name
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

func eventID(runID string, offset int) string { return runID + "#" + strconv.Itoa(offset) }

func parseEventID(id string) (string, int, error) {
	i := strings.LastIndexByte(id, '#')
	if i < 0 {
		return "", 0, fmt.Errorf("event ID %q", id)
	}
	offset, err := strconv.Atoi(id[i+1:])
	return id[:i], offset, err
}
