package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of a run, and the header with which server-sent events are resumed.
const (
	headerRunID       = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerLastEventID = "Last-Event-ID"
	eventStream       = "text/event-stream"
	maxEventBytes     = 1 << 20
	serviceChunkBytes = 32 << 10
	maxReportBytes    = 64 << 10
)

// Client speaks HTTP to endpoints.
type Client struct {
	pooled *http.Client
	dialer net.Dialer
	// Silence is how long an answer may stay silent before its connection counts as lost.
	silence time.Duration
}

// NewClient makes a Client.
func NewClient(dialTimeout, silence time.Duration) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &Client{pooled: &http.Client{Transport: transport}, dialer: dialer, silence: silence}
}

// Close drops idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Report implements Reporter.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var r Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return r, err
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("load report: status %d", resp.StatusCode)
	}
	return r, json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r)
}

// Open implements filter.Sender. A call that isn't idempotent, or resumes one, gets a connection of its own,
// which can't have gone silent before and which the library never sends it twice on.
func (c *Client) Open(ctx context.Context, e Endpoint, call Call, gate Gate) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := newRequest(ctx, e, call)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	client := c.pooled
	if !call.Idempotent || call.Resume {
		client, err = c.dialOwn(ctx, e.Address)
		if err != nil {
			cancel()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	if err := gate(); err != nil {
		client.CloseIdleConnections()
		cancel()
		return nil, err
	}
	silent := time.AfterFunc(c.silence, cancel)
	resp, err := client.Do(req)
	if err != nil {
		silent.Stop()
		cancel()
		return nil, sendError(err)
	}
	return newStream(resp, call, cancel, silent, c.silence), nil
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// dialOwn connects first, so that nothing can delay the first byte after the gate.
func (c *Client) dialOwn(ctx context.Context, address string) (*http.Client, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
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
	return &http.Client{Transport: &http.Transport{DialContext: once, DisableKeepAlives: true}}, nil
}

func newRequest(ctx context.Context, e Endpoint, call Call) (*http.Request, error) {
	if !call.Chat {
		req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+e.Address+call.Path, bytes.NewReader(call.Body))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Content-Type", call.Type)
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

type httpStream struct {
	resp    *http.Response
	call    Call
	cancel  context.CancelFunc
	silent  *time.Timer
	silence time.Duration
	reader  *bufio.Reader
	offset  int
	ended   bool
}

func newStream(resp *http.Response, call Call, cancel context.CancelFunc, silent *time.Timer, silence time.Duration) *httpStream {
	return &httpStream{
		resp: resp, call: call, cancel: cancel, silent: silent, silence: silence,
		reader: bufio.NewReaderSize(resp.Body, serviceChunkBytes),
	}
}

// Head implements Stream.
func (s *httpStream) Head() Head {
	return Head{Status: s.resp.StatusCode, ContentType: s.resp.Header.Get("Content-Type")}
}

// Close implements Stream; it cancels the run if it has not ended.
func (s *httpStream) Close() {
	s.silent.Stop()
	s.cancel()
	s.resp.Body.Close()
}

// Next implements Stream.
func (s *httpStream) Next() (Fragment, error) {
	s.silent.Reset(s.silence)
	if s.ended {
		return Fragment{}, io.EOF
	}
	if !s.call.Chat {
		return s.nextServiceChunk()
	}
	if s.resp.StatusCode != http.StatusOK || !strings.HasPrefix(s.resp.Header.Get("Content-Type"), eventStream) {
		return Fragment{}, fmt.Errorf("%w: status %d", ErrBroken, s.resp.StatusCode)
	}
	return s.nextEvent()
}

// nextServiceChunk fills a chunk, so that only the last one is short.
func (s *httpStream) nextServiceChunk() (Fragment, error) {
	buf := make([]byte, serviceChunkBytes)
	n := 0
	for n < len(buf) && !s.ended {
		m, err := s.reader.Read(buf[n:])
		n += m
		s.silent.Reset(s.silence)
		if err != nil && !errors.Is(err, io.EOF) {
			return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		s.ended = err != nil
	}
	f := Fragment{RunID: s.call.RunID, Offset: s.offset, Piece: Piece{Data: buf[:n], Last: s.ended}}
	s.offset++
	return f, nil
}

// nextEvent reads one server-sent event.
func (s *httpStream) nextEvent() (Fragment, error) {
	var id string
	var data []byte
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		s.silent.Reset(s.silence)
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case bytes.HasPrefix(line, []byte("id: ")):
			id = string(line[len("id: "):])
		case bytes.HasPrefix(line, []byte("data: ")):
			data = bytes.Clone(line[len("data: "):])
		case len(line) == 0 && data != nil:
			return newFragment(id, data)
		}
		if len(data) > maxEventBytes {
			return Fragment{}, fmt.Errorf("%w: event over %d bytes", ErrBroken, maxEventBytes)
		}
	}
}

// chunk is the part of a chat completion chunk that the router reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens int `json:"total_tokens"`
	} `json:"usage"`
}

func newFragment(id string, data []byte) (Fragment, error) {
	runID, offset, err := parseEventID(id)
	if err != nil {
		return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if string(data) == "[DONE]" {
		return Fragment{}, fmt.Errorf("%w: no usage before the end", ErrBroken)
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	p := Piece{Data: data}
	if len(c.Choices) > 0 {
		p.Text = c.Choices[0].Delta.Content
	}
	if c.Usage != nil {
		p.Tokens, p.Last = c.Usage.TotalTokens, true
	}
	return Fragment{RunID: runID, Offset: offset, Piece: p}, nil
}
