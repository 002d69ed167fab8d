package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/filter"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// newCallerHandler returns a callerHandler whose chain decodes the request, writes the answer h with chunks and returns lastErr.
func newCallerHandler(h filter.Head, chunks []string, lastErr error) *callerHandler {
	return &callerHandler{maxBodyBytes: 1 << 10, timeout: testTimeout, log: logr.Discard(), newRoom: newEndlessRoom, chain: func(ctx context.Context, x *filter.Exchange) error {
		r, err := x.Decoder.Decode(catalog.ClientAccount{RequestID: catalog.Source{Place: catalog.PlaceHeader, Name: "Idempotency-Key"}})
		if err != nil {
			return err
		}
		h.RequestID = r.ID
		if len(chunks) > 0 {
			if err := x.Sink.Begin(ctx, h); err != nil {
				return err
			}
		}
		for i, p := range chunks {
			if x.Sink.Chunk(ctx, endpoint.Chunk{Data: []byte(p), Last: i == len(chunks)-1 && lastErr == nil}) != nil {
				return nil // like the filters, which finish a request whose caller has disconnected
			}
		}
		return lastErr
	}}
}

// TestAnswers checks how answers and errors are encoded for streaming and other chat completions and for services.
func TestAnswers(t *testing.T) {
	chat := filter.Head{Status: 200, ContentType: "text/event-stream", Model: "m", Version: "v1"}
	service := filter.Head{Status: 200, ContentType: "text/plain"}
	withStatus := func(h filter.Head, status int) filter.Head {
		h.Status = status
		return h
	}
	usage := `{"id":"c1","choices":[],"usage":{"prompt_tokens":3,"total_tokens":5}}`
	text := []string{`{"id":"c1","created":7,"choices":[{"delta":{"role":"assistant","content":"he"}}]}`, `{"id":"c1","choices":[{"delta":{"content":"y"},"finish_reason":"length"}]}`, usage}
	tools := []string{
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"t1","type":"function","function":{"name":"book","arguments":""}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"a\""}},{"index":1,"id":"t2","function":{"name":"ask","arguments":"{}"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}],"reasoning":"so"},"finish_reason":"tool_calls"}]}`, usage,
	}
	limit := result.Errorf(result.LimitReached, "slow down")
	rows := []struct {
		name    string
		head    filter.Head
		chunks  []string
		lastErr error
		method  string
		options string
		status  int
		parts   []string
		absent  []string
	}{
		{"joined text", chat, text, nil, "POST", "", 200, []string{`"content":"hey"`, `"finish_reason":"length"`, `"prompt_tokens":3`, `"created":7`, `"model":"m/v1"`}, nil},
		{"joined tool calls", chat, tools, nil, "POST", "", 200, []string{`"arguments":"{\"a\":1}"`, `"name":"ask"`, `"content":null`, `"reasoning":"so"`, `"finish_reason":"tool_calls"`}, nil},
		{"stream without usage", chat, text, nil, "POST", `"stream":true,`, 200, []string{`"content":"he"`, "data: [DONE]\n\n"}, []string{"usage"}},
		{"stream with usage", chat, text, nil, "POST", `"stream":true,"stream_options":{"include_usage":true},`, 200, []string{"total_tokens", "data: [DONE]\n\n"}, nil},
		{"stream that fails", chat, text[:2], result.Errorf(result.AnswerBroken, "gone"), "POST", `"stream":true,`, 200, []string{`"content":"y"`, `data: {"error":{"code":4003`}, []string{"[DONE]"}},
		{"joined answer that fails", chat, text[:2], result.Errorf(result.AnswerBroken, "gone"), "POST", "", 502, []string{`"run":"unknown"`}, []string{"content"}},
		{"invalid event", chat, []string{`{"choices":[{"index":"x"}]}`, usage}, nil, "POST", "", 502, []string{`"code":4003`}, nil},
		{"refusal", chat, nil, limit, "POST", "", 429, []string{`"code":3001`, `"run":"not_run"`}, nil},
		{"engine's own error", withStatus(chat, 400), []string{`{"error":"too long"}`}, nil, "POST", "", 400, []string{`{"error":"too long"}`}, nil},
		{"service answer", service, []string{"a", "b"}, nil, "GET", "", 200, []string{"ab"}, nil},
		{"redirect with fields", filter.Head{Status: 303, Fields: []endpoint.Field{{Name: "Location", Value: "/b"}}}, []string{""}, nil, "GET", "", 303, nil, nil},
		{"no content", withStatus(service, 204), []string{""}, nil, "GET", "", 204, nil, nil},
		{"not modified", withStatus(service, 304), []string{""}, nil, "GET", "", 304, nil, nil},
		{"head", service, []string{""}, nil, "HEAD", "", 200, nil, nil},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			server := httptest.NewServer(newCallerHandler(row.head, row.chunks, row.lastErr))
			defer server.Close()
			path, body := chatPath, `{`+row.options+`"model":"m","messages":[{"content":"x"}]}`
			if row.method != "POST" {
				path, body = "/services/stock/a", ""
			}
			req, err := http.NewRequest(row.method, server.URL+path, strings.NewReader(body))
			c.Assert(err, qt.IsNil)
			req.Header.Set("Idempotency-Key", "r1")
			resp, err := http.DefaultTransport.RoundTrip(req)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			c.Assert(resp.Header.Get("Location") != "", qt.Equals, row.status == 303)
			got, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, row.status)
			c.Assert(resp.Header.Get(headerRequestID), qt.Equals, "r1")
			c.Assert(resp.Header.Get("Retry-After") != "", qt.Equals, row.status == 429)
			for _, part := range row.parts {
				c.Check(string(got), qt.Contains, part)
			}
			for _, part := range row.absent {
				c.Check(string(got), qt.Not(qt.Contains), part)
			}
		})
	}
}

// TestEndlessCompletionIsNotJoined sends events without end to a caller that asked for no stream: it gets an error once they are too
// long together.
func TestEndlessCompletionIsNotJoined(t *testing.T) {
	const eventBytes, left = 64 << 10, 4
	tests := []struct {
		name, field string
	}{
		{"text", "content"},
		{"another field", "x"},
		{"the latest role alone", "role"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chunk := endpoint.Chunk{Data: []byte(`{"choices":[{"delta":{"` + test.field + `":"` + strings.Repeat("x", eventBytes) + `"}}]}`)}
			sink := &sink{w: httptest.NewRecorder(), decoder: &decoder{}}
			ctx := context.Background()
			qt.Assert(t, sink.Begin(ctx, filter.Head{Status: 200, Version: "v1"}), qt.IsNil)
			sink.joiner.bytes = maxJoinedBytes - left*eventBytes // as after many events
			n := 0
			for n < 2*left && sink.Chunk(ctx, chunk) == nil {
				n++
			}
			qt.Check(t, n < left, qt.IsTrue, qt.Commentf("%d events", n))
			qt.Check(t, sink.joinErr, qt.IsNotNil)
			qt.Check(t, sink.started, qt.IsFalse)
		})
	}
}

// TestConnectionReusableAfterRefusals checks that a refused request, with a valid body or not, doesn't end the connection.
func TestConnectionReusableAfterRefusals(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(newCallerHandler(filter.Head{}, nil, result.Errorf(result.LimitReached, "slow down")))
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	bodies := []string{"{", `{"model":"m","messages":[{}]}`, "", "\xff"}
	for _, body := range bodies {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		var f failure
		c.Assert(json.NewDecoder(resp.Body).Decode(&f), qt.IsNil)
		c.Assert(f.Error.Run, qt.Equals, result.NotRun)
		_, err = io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
	}
}

// TestBearer checks the parsing of the Authorization field.
func TestBearer(t *testing.T) {
	rows := []struct{ header, want string }{
		{"Bearer k", "k"},
		{"bearer  k ", "k"},
		{"k", ""},
		{"Basic k", ""},
		{"Bearer", ""},
		{"", ""},
	}
	for _, row := range rows {
		r := httptest.NewRequest("GET", "/", bytes.NewReader(nil))
		r.Header.Set("Authorization", row.header)
		qt.Check(t, bearer(r), qt.Equals, row.want)
	}
}
