package crowd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
)

// crowd is many callers that do the same at once.
type crowd struct {
	name    string
	callers int
	// deaf says that they read nothing.
	deaf bool
	play func(ctx context.Context, c *caller) error
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// crowds are what callers that nobody controls send.
var crowds = []crowd{
	{"large bodies, whole", 300, false, func(_ context.Context, c *caller) error { return c.send(c.withLength(bodyBytes) + body) }},
	{"large bodies, piece by piece", 300, false, func(ctx context.Context, c *caller) error {
		return c.sendPieces(ctx, c.withLength(bodyBytes)+body)
	}},
	{"large bodies that stop short", 300, false, func(_ context.Context, c *caller) error {
		return c.send(c.withLength(bodyBytes) + c.short(body))
	}},
	{"large bodies that stop short, piece by piece", 300, false, func(ctx context.Context, c *caller) error {
		return c.sendPieces(ctx, c.withLength(bodyBytes)+c.short(body))
	}},
	{"large chunks", 300, false, func(_ context.Context, c *caller) error { return c.send(c.inChunks() + bodyInChunks + lastChunk) }},
	{"large chunks that stop short", 300, false, func(_ context.Context, c *caller) error {
		return c.send(c.inChunks() + c.short(bodyInChunks+lastChunk))
	}},
	{"chunks of one byte", 100, false, func(_ context.Context, c *caller) error {
		return c.send(c.inChunks() + manySmallChunks + lastChunk)
	}},
	{"chunks of one byte that stop short", 100, false, func(_ context.Context, c *caller) error {
		return c.send(c.inChunks() + c.short(manySmallChunks+lastChunk))
	}},
	{"far over the limit, announced", 200, false, func(_ context.Context, c *caller) error {
		if err := c.send(c.withLength(farOver)); err != nil {
			return err
		}
		return c.sendAgain(body)
	}},
	{"far over the limit, just sent", 200, false, func(_ context.Context, c *caller) error {
		if err := c.send(c.inChunks()); err != nil {
			return err
		}
		return c.sendAgain(bodyInChunks)
	}},
	{"chunk extensions without end", 200, false, func(_ context.Context, c *caller) error {
		if err := c.send(c.inChunks() + "1;"); err != nil {
			return err
		}
		return c.sendAgain(body)
	}},
	{"trailers without end", 200, false, func(_ context.Context, c *caller) error {
		if err := c.send(c.inChunks() + "1\r\nx\r\n0\r\n"); err != nil {
			return err
		}
		return c.sendAgain(strings.Repeat("X: y\r\n", 1000))
	}},
	{"heads that trickle", 380, false, func(ctx context.Context, c *caller) error {
		if err := c.send(c.lines + "X-Long: " + body[:headBytes]); err != nil {
			return err
		}
		return c.trickle(ctx, "x")
	}},
	{"connections that send nothing", 1000, false, func(context.Context, *caller) error { return nil }},
	{"connections that send one request and then nothing", 1000, false, func(_ context.Context, c *caller) error {
		return c.send(c.withLength(1) + "x")
	}},
	{"pipelined requests whose answers nobody reads", 300, true, func(_ context.Context, c *caller) error {
		return c.send(strings.Repeat(c.withLength(1)+"x", pipelined))
	}},
}

// programs are the programs of a VM.
var programs = []struct {
	name string
	// start starts a site.
	start func(*qt.C) *site
	// descriptors is how many descriptors the process may have: the platform keeps 200 of the limit for files, and serve has to stay
	// below the limit.
	descriptors int
}{
	{"platform", newPlatformSite, descriptorLimit - 200},
	{"serve", newServeSite, descriptorLimit - 1},
}

// crowdTime is how long a crowd plays, once all of it has connected, before the ordinary caller comes.
const crowdTime = time.Second

// TestProcessBearsCrowdsOfCallers guards against callers that end a process, hang it, or have it outgrow its machine: each crowd plays
// against a process of its own and stays until an ordinary caller has its answer. Another one comes when the crowd has left.
func TestProcessBearsCrowdsOfCallers(t *testing.T) {
	for _, program := range programs {
		for _, crowd := range crowds {
			t.Run(program.name+"/"+crowd.name, func(t *testing.T) {
				c := qt.New(t)
				defer c.Done()
				s := program.start(c)
				found := s.bear(crowd)
				t.Logf("at most %.1f MB, %.1f MB of it unread, and %d descriptors", megabytes(found.memory), megabytes(found.unread), found.descriptors)
				c.Check(found.memory <= memoryMB<<20, qt.IsTrue, qt.Commentf("%.1f MB", megabytes(found.memory)))
				c.Check(found.descriptors <= program.descriptors, qt.IsTrue, qt.Commentf("%d descriptors", found.descriptors))
				s.process.checkLives()
			})
		}
	}
}

func megabytes(n int64) float64 { return float64(n) / 1e6 }

// bear has the crowd play and returns the most that the process took meanwhile.
func (s *site) bear(cr crowd) usage {
	watchCtx, endWatch := context.WithCancel(context.Background())
	found, watchEnds := make(chan usage, 1), make(chan task.End, 1)
	task.Start(watchCtx, "watch", watchEnds, func(ctx context.Context) error { return s.process.watch(ctx, portOf(s.c, s.address), found) })
	ctx, cancel := context.WithCancel(context.Background())
	ends, dialed := make(chan task.End, cr.callers), make(chan struct{}, cr.callers)
	for n := range cr.callers {
		task.Start(ctx, "caller", ends, func(ctx context.Context) error { return s.playCaller(ctx, cr, n, dialed) })
	}
	for range cr.callers {
		<-dialed
	}
	task.Sleep(ctx, crowdTime)
	s.waitAnswered("beside the crowd")
	cancel()
	for range cr.callers {
		<-ends
	}
	s.waitAnswered("after the crowd")
	endWatch()
	<-watchEnds
	return <-found
}

// playCaller plays caller n of the crowd, which stays until ctx ends, and tells on dialed that it has connected or can't. What the VM
// answers, and when it closes, is free.
func (s *site) playCaller(ctx context.Context, cr crowd, n int, dialed chan<- struct{}) error {
	conn, err := s.dial(ctx, n)
	dialed <- struct{}{}
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	ends := make(chan task.End, 2)
	task.Start(ctx, "writer", ends, func(ctx context.Context) error { return cr.play(ctx, conn) })
	task.Start(ctx, "reader", ends, func(context.Context) error {
		if cr.deaf {
			return nil
		}
		_, err := io.Copy(io.Discard, conn)
		return err
	})
	<-ctx.Done()
	conn.Close()
	<-ends
	return (<-ends).Err
}
