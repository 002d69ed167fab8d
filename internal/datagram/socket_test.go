package datagram

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/peer"
	"cornelmux/internal/standin"
	"cornelmux/internal/task"
)

// hangLimit ends a test that waits for something that never comes.
const hangLimit = 30 * time.Second

// freePort returns a free address of this machine.
func freePort(c *qt.C) string {
	address, err := standin.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

// fixedRegistry is a peer.Registry whose list never changes.
type fixedRegistry []consul.Instance

func (fixedRegistry) Register(context.Context, consul.Registration) error { return nil }

func (fixedRegistry) Deregister(context.Context, string) error { return nil }

func (s fixedRegistry) Instances(ctx context.Context, _ string, after uint64, wait time.Duration) ([]consul.Instance, uint64, error) {
	if after > 0 {
		task.Sleep(ctx, wait)
	}
	return s, 1, ctx.Err()
}

// newVM returns the peer controller of VM i, with a socket on address.
func newVM(i int, address string, list fixedRegistry) *peer.Controller {
	return peer.New(peer.Options{
		VM: fmt.Sprint("vm-", i), Incarnation: uint64(i + 1), Region: "vest", Zone: "vest-1", PeerAddress: address, Key: []byte("fleet-key"),
	}, New(address, logr.Discard()), list, nil, logr.Discard())
}

// instance returns the entry of VM i in a registry's list.
func instance(i int, address string) consul.Instance {
	return consul.Instance{ID: fmt.Sprint("vm-", i), Meta: map[string]string{
		"region": "vest", "zone": "vest-1", "peers": address, "incarnation": fmt.Sprint(i + 1),
	}}
}

// TestThreeVMsLearnOfEachOther starts three VMs on sockets, each with a part of the list, and waits until every VM has
// received a state of every other.
func TestThreeVMsLearnOfEachOther(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	ends := make(chan task.End, 3)
	addresses := []string{freePort(c), freePort(c), freePort(c)}
	// VM 0 is told of VM 1 and VM 1 of VM 2; they learn of the others by gossip.
	lists := []fixedRegistry{{instance(1, addresses[1])}, {instance(2, addresses[2])}, {}}
	var vms []*peer.Controller
	for i, address := range addresses {
		vms = append(vms, newVM(i, address, lists[i]))
		task.Start(ctx, "vm", ends, vms[i].Run)
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

// TestPortIsTaken runs a VM on a port that another socket uses.
func TestPortIsTaken(t *testing.T) {
	c := qt.New(t)
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	err = newVM(0, l.LocalAddr().String(), nil).Run(context.Background())
	c.Assert(err, qt.ErrorMatches, `task transport: listen on 127.0.0.1:\d+: .*address already in use`)
}
