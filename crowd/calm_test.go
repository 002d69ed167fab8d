package crowd

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestInsideTheLimitsIsServedInCalm guards against bounds that a single request meets which is inside the limits.
func TestRequestInsideTheLimitsIsServedInCalm(t *testing.T) {
	requests := []struct {
		name string
		play func(ctx context.Context, c *caller) error
	}{
		{"longest body", func(_ context.Context, c *caller) error { return c.send(c.withLength(bodyBytes) + body) }},
		{"longest body, piece by piece", func(ctx context.Context, c *caller) error {
			return c.sendPieces(ctx, c.withLength(bodyBytes)+body)
		}},
		{"longest body in large chunks", func(_ context.Context, c *caller) error { return c.send(c.inChunks() + bodyInChunks + lastChunk) }},
		{"chunks of one byte", func(_ context.Context, c *caller) error { return c.send(c.inChunks() + manySmallChunks + lastChunk) }},
		{"long head", func(_ context.Context, c *caller) error {
			return c.send(c.lines + "X-Long: " + body[:15<<10] + "\r\nContent-Length: 1\r\n\r\nx")
		}},
		{"pipelined", func(_ context.Context, c *caller) error { return c.send(strings.Repeat(c.withLength(1)+"x", 3)) }},
	}
	for _, program := range programs {
		t.Run(program.name, func(t *testing.T) {
			c := qt.New(t)
			defer c.Done()
			s := program.start(c)
			for n, request := range requests {
				t.Run(request.name, func(t *testing.T) {
					ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
					defer cancel()
					conn, err := s.dial(ctx, n)
					qt.Assert(t, err, qt.IsNil)
					defer conn.Close()
					_ = conn.SetDeadline(time.Now().Add(hangLimit)) // fails only on a closed socket
					qt.Assert(t, request.play(ctx, conn), qt.IsNil)
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					qt.Assert(t, err, qt.IsNil)
					resp.Body.Close()
					qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", fmt.Sprint(resp.Header)))
				})
			}
		})
	}
}
