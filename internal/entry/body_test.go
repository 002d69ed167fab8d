package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/filter"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// TestBodyThatNeverEndsIsRefusedAtTheDeadline sends bodies that end and others that don't. The deadline of the body must not end the
// request itself.
func TestBodyThatNeverEndsIsRefusedAtTheDeadline(t *testing.T) {
	const timeout, slack = 300 * time.Millisecond, 700 * time.Millisecond
	const head = "POST " + chatPath + " HTTP/1.1\r\nHost: vm\r\n"
	const body = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	tests := []struct {
		name string
		// text is what the caller sends; the handler takes the time after it has the body.
		text string
		time time.Duration
		want int
		run  string
	}{
		{"body that stops", head + "Content-Length: 57\r\n\r\n" + body[:9], 0, http.StatusGatewayTimeout, `"run":"not_run"`},
		{"body in chunks that stops", head + "Transfer-Encoding: chunked\r\n\r\n9\r\n" + body[:9] + "\r\n", 0, http.StatusGatewayTimeout, `"run":"not_run"`},
		{"whole body", head + "Content-Length: 57\r\n\r\n" + body, 0, http.StatusServiceUnavailable, `"name":"not_ready"`},
		{"whole body, and a chain that takes longer", head + "Content-Length: 57\r\n\r\n" + body, 2 * timeout, http.StatusServiceUnavailable, `"name":"not_ready"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chain := func(ctx context.Context, x *filter.Exchange) error {
				if _, err := x.Decoder.Decode(catalog.ClientAccount{}); err != nil {
					return err
				}
				if !task.Sleep(ctx, test.time) {
					return result.Errorf(result.Internal, "the request has ended")
				}
				return result.Errorf(result.NotReady, "this chain answers nothing")
			}
			server := httptest.NewServer(&callerHandler{chain: chain, maxBodyBytes: testBodyBytes, timeout: timeout, newRoom: newEndlessRoom, log: logr.Discard()})
			defer server.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			began := time.Now()
			_ = conn.SetReadDeadline(began.Add(timeout + test.time + slack))
			_, err = io.WriteString(conn, test.text)
			qt.Assert(t, err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Assert(t, err, qt.IsNil)
			got, err := io.ReadAll(resp.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.want, qt.Commentf("%s", got))
			qt.Check(t, string(got), qt.Contains, test.run)
		})
	}
}

// endlessRoom has memory for every body. It implements room.
type endlessRoom struct{}

func newEndlessRoom(time.Duration) room { return endlessRoom{} }

func (endlessRoom) Reserve(context.Context, int64) error { return nil }

func (endlessRoom) Shrink(int64) {}

func (endlessRoom) Release() {}
