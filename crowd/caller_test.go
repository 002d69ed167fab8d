package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"cornelmux/internal/task"
)

const (
	// sendBufferBytes bounds what the kernel holds of what a caller has sent, so that the crowd itself takes little memory.
	sendBufferBytes = 64 << 10
	// pieceBytes is how much of a body is sent at once, piecePause the time between two pieces.
	pieceBytes = 512 << 10
	piecePause = 40 * time.Millisecond
	// farOver is the length of a body far over the limit.
	farOver = 64 << 20
	// smallChunks is how many chunks of one byte a caller sends.
	smallChunks = 200_000
	// headBytes is the length of the part of a head that is sent at once, before the rest trickles.
	headBytes = 60 << 10
	// tricklePause is the time between two bytes of what trickles.
	tricklePause = 100 * time.Millisecond
	// pipelined is how many requests are sent at once whose answers nobody reads.
	pipelined = 2000
)

// wholeEach is how many callers of a crowd there are for one that ends its request; the others stop just short of it and stay.
const wholeEach = 5

var (
	body = strings.Repeat("x", bodyBytes)
	// manySmallChunks holds smallChunks chunks of one byte, bodyInChunks a whole body in chunks of 64 KiB; both without the last chunk.
	manySmallChunks = strings.Repeat("1\r\nx\r\n", smallChunks)
	bodyInChunks    = strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 64<<10, body[:64<<10]), bodyBytes/(64<<10))
)

// caller is one of a crowd.
type caller struct {
	net.Conn
	// lines are the request line and header fields, without what frames the body.
	lines string
	// whole says that the caller ends its request.
	whole bool
}

// dial connects a caller of the crowd.
func (s *site) dial(ctx context.Context, n int) (*caller, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.address)
	if err != nil {
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes) // fails only on a closed socket
	return &caller{conn, s.requestLines(fmt.Sprint("crowd-", n)), n%wholeEach == 0}, nil
}

// send sends text; it fails once the VM has closed the connection.
func (c *caller) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// sendPieces sends text piece by piece.
func (c *caller) sendPieces(ctx context.Context, text string) error {
	for len(text) > 0 {
		n := min(pieceBytes, len(text))
		if err := c.send(text[:n]); err != nil {
			return err
		}
		text = text[n:]
		if !task.Sleep(ctx, piecePause) {
			return ctx.Err()
		}
	}
	return nil
}

// sendAgain sends text again and again until the connection is closed.
func (c *caller) sendAgain(text string) error {
	for {
		if err := c.send(text); err != nil {
			return err
		}
	}
}

// trickle sends text byte by byte, again and again, until the connection is closed.
func (c *caller) trickle(ctx context.Context, text string) error {
	for n := 0; ; n++ {
		at := n % len(text)
		if err := c.send(text[at : at+1]); err != nil {
			return err
		}
		if !task.Sleep(ctx, tricklePause) {
			return ctx.Err()
		}
	}
}

// short returns text without its last byte, unless the caller ends its request.
func (c *caller) short(text string) string {
	if c.whole {
		return text
	}
	return text[:len(text)-1]
}

// withLength and inChunks return the head of a request whose body is framed so.
func (c *caller) withLength(n int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", c.lines, n)
}

func (c *caller) inChunks() string { return c.lines + "Transfer-Encoding: chunked\r\n\r\n" }
