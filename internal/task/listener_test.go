package task

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hangLimit ends a test that would otherwise hang.
const hangLimit = 30 * time.Second

// echoServer serves on a free port until stop is called, and reports the end of Serve on ends. Its answers are the requests' bodies,
// 20 ms after these were read.
func echoServer(t *testing.T) (address string, stop context.CancelFunc, ends chan End) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{ReadHeaderTimeout: hangLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil || !Sleep(r.Context(), 20*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(data) // the test reads the answer
	})}
	ctx, cancel := context.WithCancel(context.Background())
	ends = make(chan End, 1)
	Start(ctx, "server", ends, Serve(server, l, hangLimit))
	t.Cleanup(cancel)
	return l.Addr().String(), cancel, ends
}

// caller is a connection to the server.
type caller struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialCaller(t *testing.T, address string) caller {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(hangLimit)), qt.IsNil)
	return caller{conn, bufio.NewReader(conn)}
}

func (c caller) write(t *testing.T, text string) {
	_, err := io.WriteString(c.conn, text)
	qt.Check(t, err, qt.IsNil)
}

// answer reads an answer and returns its body, or says that there is none.
func (c caller) answer() string {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "answer cut"
	}
	return string(data)
}

// TestRequestThatCrossesTheStopIsAnswered writes requests on many connections around the beginning of the stop. Each one of which
// the server has a byte by then gets its whole answer.
func TestRequestThatCrossesTheStopIsAnswered(t *testing.T) {
	const callers = 100
	tests := []struct {
		name string
		// kept says that the connection has had a request before.
		kept bool
		// pieces of the request; the first is written before the stop, each other 30 ms after the one before.
		pieces []string
		// settled says that the server has time to read the first piece before the stop.
		settled bool
	}{
		{"whole on a kept connection", true, []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"}, false},
		{"whole on a new connection", false, []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"}, false},
		{"head in pieces on a kept connection", true, []string{"POST / HTTP/1.1\r\nHost:", " a\r\nContent-Le", "ngth: 5\r\n\r\nhello"}, true},
		{"head in pieces on a new connection", false, []string{"POST / HTTP/1.1\r\nHost:", " a\r\nContent-Le", "ngth: 5\r\n\r\nhello"}, true},
		{"body in pieces on a kept connection", true, []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhe", "l", "lo"}, true},
		{"body in pieces on a new connection", false, []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhe", "l", "lo"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, stop, ends := echoServer(t)
			var all []caller
			for range callers {
				c := dialCaller(t, address)
				if test.kept {
					c.write(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nfirst")
					qt.Assert(t, c.answer(), qt.Equals, "first")
				}
				all = append(all, c)
			}
			for i, piece := range test.pieces {
				for _, c := range all {
					c.write(t, piece)
				}
				if test.settled {
					time.Sleep(30 * time.Millisecond)
				}
				if i == 0 {
					stop()
				}
			}
			answers := map[string]int{}
			for _, c := range all {
				answers[c.answer()]++
			}
			qt.Check(t, answers, qt.DeepEquals, map[string]int{"hello": callers})
			<-ends
		})
	}
}

// TestStopTakesNoNewRequests checks that a stop ends connections without a request soon, and those with one after its answer.
func TestStopTakesNoNewRequests(t *testing.T) {
	tests := []struct {
		name string
		// before is written before the stop.
		before string
		// answer says that there is an answer before the connection ends.
		answer bool
	}{
		{"new connection without a byte", "", false},
		{"request in flight", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, stop, ends := echoServer(t)
			c := dialCaller(t, address)
			c.write(t, test.before)
			time.Sleep(10 * time.Millisecond)
			stop()
			if test.answer {
				qt.Check(t, c.answer(), qt.Equals, "hello")
			}
			_, err := c.r.ReadByte()
			qt.Check(t, err, qt.Equals, io.EOF)
			<-ends
			_, err = net.Dial("tcp", address)
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

// TestRequestAfterTheAnswerOfAStoppedServerIsNotTaken guards against a kept connection whose answer ends long after the stop began and
// whose caller sends its next request at once: that request couldn't end before the server has to.
func TestRequestAfterTheAnswerOfAStoppedServerIsNotTaken(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"
	address, stop, ends := echoServer(t)
	c := dialCaller(t, address)
	c.write(t, request+"hel")
	time.Sleep(10 * time.Millisecond)
	stop()
	time.Sleep(2 * lastWait)
	c.write(t, "lo")
	qt.Check(t, c.answer(), qt.Equals, "hello")
	_, _ = io.WriteString(c.conn, request+"again") // fails if the connection is closed already
	qt.Check(t, c.answer(), qt.Equals, "no answer")
	<-ends
}
