package feed

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
)

// section tells a fixed state and passes on what it hears.
type section struct {
	told  peer.State
	heard chan<- peer.State
}

func (s section) Collect(_ context.Context, to *peer.State) error {
	to.Endpoints, to.Crashes = s.told.Endpoints, s.told.Crashes
	return nil
}

func (s section) Receive(_ context.Context, state peer.State) error {
	s.heard <- state
	return nil
}

// TestStatesArrive: loads reach the VMs of the zone, crashes those of other zones too.
func TestStatesArrive(t *testing.T) {
	tests := []struct {
		name      string
		zone      string
		told      peer.State
		endpoints int
		crashes   int
	}{
		{"a load in the zone", "z", peer.State{Endpoints: []peer.EndpointReport{{Endpoint: "e", Running: 2}}}, 1, 0},
		{"a crash in the zone", "z", peer.State{Crashes: []peer.CrashReport{{Fingerprint: 7, Endpoint: "e"}}}, 0, 1},
		{"a crash in another zone", "y", peer.State{
			Endpoints: []peer.EndpointReport{{Endpoint: "e"}}, Crashes: []peer.CrashReport{{Fingerprint: 7, Endpoint: "e"}},
		}, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
			s := newStore(ctx)
			s.put(ctx, secretKey, "secret")
			h := &hub{inboxes: map[string]chan []byte{"teller": make(chan []byte, 1024), "listener": make(chan []byte, 1024)}}
			got := make(chan string, 4096)
			heard := make(chan peer.State, 4096)
			ends := make(chan task.End, 2)
			for _, v := range []struct {
				vm, zone string
				told     peer.State
			}{{"teller", "z", test.told}, {"listener", test.zone, peer.State{}}} {
				r := reader{s, v.vm}
				o := Options{Self: Member{VM: v.vm, Zone: v.zone, Address: v.vm}, PropagationBound: 2500 * time.Millisecond}
				c := New(r, r, port{h, v.vm}, taken{v.vm, got}, o, logr.Discard(), section{v.told, heard})
				task.Start(ctx, v.vm, ends, c.Run)
			}
			defer func() {
				cancel()
				<-ends
				<-ends
			}()
			select {
			case state := <-heard:
				qt.Check(t, state.VM, qt.Equals, "teller")
				qt.Check(t, state.Endpoints, qt.HasLen, test.endpoints)
				qt.Check(t, state.Crashes, qt.HasLen, test.crashes)
			case <-ctx.Done():
				t.Fatal("no state arrived")
			}
		})
	}
}
