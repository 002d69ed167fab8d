package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

const hangLimit = 30 * time.Second

func freePort(c *qt.C) string {
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return l.LocalAddr().String()
}

// newSocketVM makes a VM that knows no platform.
func newSocketVM(i int, address string) *Controller {
	return New(Options{
		VM: fmt.Sprint("vm-", i), Incarnation: uint64(i + 1), Region: "vest", Zone: "vest-1", PeerAddress: address, Key: testKey,
	}, NewSocket(address, logr.Discard()), nil, nil, logr.Discard())
}

func TestThreeVMsOverSockets(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	ends := make(chan task.End, 3)
	var vms []*Controller
	var seeds []Member
	for i := range 3 {
		address := freePort(c)
		vms = append(vms, newSocketVM(i, address))
		seeds = append(seeds, Member{VM: fmt.Sprint("vm-", i), Incarnation: uint64(i + 1), Region: "vest", Zone: "vest-1", PeerAddress: address})
		task.Start(ctx, "vm", ends, vms[i].Run)
	}
	// VM 0 is told of VM 1 and VM 1 of VM 2; the rest they learn from each other.
	for i := range 2 {
		c.Assert(task.Tell(vms[i].mailbox, message(listMessage{seeds[i+1 : i+2]})), qt.IsNil)
	}
	for _, vm := range vms {
		for heard := 0; heard < 2; {
			c.Assert(task.Sleep(ctx, 20*time.Millisecond), qt.IsTrue)
			members, err := vm.Members(ctx)
			c.Assert(err, qt.IsNil)
			heard = 0
			for _, m := range members {
				if !m.HeardAt.IsZero() {
					heard++
				}
			}
		}
	}
	c.Assert(task.Stop(cancel, ends, 3), qt.IsNil)
}

func TestPortIsTaken(t *testing.T) {
	c := qt.New(t)
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	err = newSocketVM(0, l.LocalAddr().String()).Run(context.Background())
	c.Assert(err, qt.ErrorMatches, `task transport: listen on 127.0.0.1:\d+: .*address already in use`)
}
