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

// Header fields and limits of the HTTP protocol of endpoints.
const (
	headerRunID       = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerLastEventID = "Last-Event-ID"
	headerRetryAfter  = "Retry-After"
	eventStreamType   = "text/event-stream"
	// maxReportBytes bounds the body of a load report.
	maxReportBytes = 64 << 10
	// maxIdleConns bounds the idle connections to one endpoint. With fewer than the runs in flight, connections would
	// be dialed over and over.
	maxIdleConns = 1024
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

// Client calls endpoints over HTTP.
type Client struct {
	pooled *http.Client
	dialer net.Dialer
	// silenceTimeout is how long a connection may make no progress before it counts as lost.
	silenceTimeout time.Duration
}

// NewClient makes a Client. dialTimeout bounds each connection attempt, silenceTimeout the time without progress on a
// connection.
func NewClient(dialTimeout, silenceTimeout time.Duration) *Client {
	c := &Client{dialer: net.Dialer{Timeout: dialTimeout}, silenceTimeout: silenceTimeout}
	c.pooled = &http.Client{
		CheckRedirect: noRedirect,
		Transport:     &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes},
	}
	return c
}

// noRedirect returns a redirect as the answer, because following it would send the request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Report implements Reporter: it reads the load report of an endpoint. Each poll calls it once.
func (c *Client) Report(ctx context.Context, address string, fresh bool) (Report, error) {
	var r Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return r, err
	}
	client := c.pooled
	if fresh {
		if client, err = c.dialDedicated(ctx, address); err != nil {
			return r, wrapReportError(err)
		}
		defer client.CloseIdleConnections()
	}
	resp, err := client.Do(req)
	if err != nil {
		return r, wrapReportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("read load report: status %d", resp.StatusCode)
	}
	return r, json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r)
}

// wrapReportError marks a refused connection, which shows that the endpoint is not running.
func wrapReportError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ErrConnectionRefused, err)
	}
	return err
}

// Open implements filter.Sender. It sends the call and returns the stream of its answer. A call that is non-idempotent
// or resumes a run gets a dedicated connection, which cannot have gone stale and on which net/http never sends it
// twice. net/http calls check in this goroutine, after it has the connection and before it writes. Filter Send calls
// it.
func (c *Client) Open(ctx context.Context, e Endpoint, call Call, check SendCheck) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	guard := &sendGuard{check: check, cancel: cancel}
	written := NewRequestWrite()
	trace := &httptrace.ClientTrace{GotConn: guard.gotConn, WroteRequest: written.Note, Got1xxResponse: NewInterimCheck()}
	resp, err := c.send(httptrace.WithClientTrace(ctx, trace), e, call)
	if err != nil {
		cancel()
		return nil, guard.wrapError(err)
	}
	s := newStream(resp, call, written, cancel)
	if err := s.checkHead(e); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// send sends the call on a pooled or a dedicated connection and returns the head of the answer. Open calls it.
func (c *Client) send(ctx context.Context, e Endpoint, call Call) (*http.Response, error) {
	req, err := newRequest(ctx, e, call)
	if err != nil {
		return nil, err
	}
	if call.Idempotent && !call.Resume {
		return c.pooled.Do(req)
	}
	client, err := c.dialDedicated(ctx, e.Address)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		client.CloseIdleConnections()
	}
	return resp, err
}

// sendGuard runs the send check for each connection that net/http is about to use. Only the goroutine of the call uses
// it.
type sendGuard struct {
	check  SendCheck
	cancel context.CancelFunc
	// allowed says that a check succeeded, so that the call may have been sent; err is the error of the last check.
	allowed bool
	err     error
}

// gotConn closes the connection if the check fails, so that no byte is sent on it.
func (g *sendGuard) gotConn(info httptrace.GotConnInfo) {
	if g.err = g.check(); g.err != nil {
		g.cancel()
		info.Conn.Close()
		return
	}
	g.allowed = true
}

// wrapError says by the type of the error whether the call may have been sent. Open calls it if there is no answer.
func (g *sendGuard) wrapError(err error) error {
	switch {
	case g.allowed:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	case g.err != nil:
		return g.err
	default:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
}

// dialDedicated returns a client for a single connection. It dials first, so that nothing delays the first byte after
// the send check. send and Report call it.
func (c *Client) dialDedicated(ctx context.Context, address string) (*http.Client, error) {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conns := make(chan net.Conn, 1)
	conns <- conn
	dialOnce := func(context.Context, string, string) (net.Conn, error) {
		select {
		case conn := <-conns:
			return conn, nil
		default:
			return nil, errors.New("dedicated connection was already used")
		}
	}
	return &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{DialContext: dialOnce, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}}, nil
}

// dial connects to an endpoint and applies the silence timeout to the connection.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &silenceConn{Conn: conn, timeout: c.silenceTimeout}, nil
}

// silenceConn fails a read or write that makes no progress within the timeout. Time that the reader takes between two
// reads does not count.
type silenceConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements net.Conn.
func (c *silenceConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. It also extends the deadline of a concurrent Read that waits for the answer.
func (c *silenceConn) Write(p []byte) (int, error) {
	if err := c.SetDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// newRequest encodes the call. A call to a plain service is passed on with the method, path, header fields and body of
// the caller. send calls it.
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

// chatBody sets the model version in the body of the caller and asks for a stream with its token usage. newRequest
// calls it.
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

// eventID returns the ID of the event with the offset in a run: the run ID, '#' and the offset.
func eventID(runID string, offset int) string { return runID + "#" + strconv.Itoa(offset) }

// parseEventID splits an event ID into run ID and offset.
func parseEventID(id string) (string, int, error) {
	i := strings.LastIndexByte(id, '#')
	if i < 0 {
		return "", 0, fmt.Errorf("parse event ID %q: no '#'", id)
	}
	offset, err := strconv.Atoi(id[i+1:])
	return id[:i], offset, err
}
