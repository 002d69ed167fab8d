package feed

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
)

// fixedSection is a Section with a fixed state that passes on the states of peers.
type fixedSection struct {
	state    peer.State
	received chan<- peer.State
}

func (s fixedSection) Collect(_ context.Context, to *peer.State) error {
	to.Endpoints, to.Crashes, to.ZoneLoads = s.state.Endpoints, s.state.Crashes, s.state.ZoneLoads
	to.LostRuns, to.Clearances, to.BlockQuarantines = s.state.LostRuns, s.state.Clearances, s.state.BlockQuarantines
	return nil
}

func (s fixedSection) Receive(_ context.Context, state peer.State) error {
	s.received <- state
	return nil
}

// TestStatesReachPeers checks that loads reach the VMs of the zone, mean loads those of other zones, and crashes and what is known of
// prompt blocks both.
func TestStatesReachPeers(t *testing.T) {
	tests := []struct {
		name      string
		zone      string
		state     peer.State
		endpoints int
		crashes   int
		// blocks is the number of lost runs, clearances and quarantines.
		blocks int
		zones  int
	}{
		{"a load in the zone", "z", peer.State{Endpoints: []peer.EndpointReport{{Endpoint: "e", Running: 2}}}, 1, 0, 0, 0},
		{"a crash in the zone", "z", peer.State{Crashes: []peer.CrashReport{{Fingerprint: 7, Endpoint: "e"}}}, 0, 1, 0, 0},
		{"a crash in another zone", "y", peer.State{
			Endpoints: []peer.EndpointReport{{Endpoint: "e"}}, Crashes: []peer.CrashReport{{Fingerprint: 7, Endpoint: "e"}},
		}, 0, 1, 0, 0},
		{"a leaving endpoint in another zone", "y", peer.State{
			Endpoints: []peer.EndpointReport{{Endpoint: "e", Running: 2}, {Endpoint: "f", Leaving: true}},
		}, 1, 0, 0, 0},
		{"a lost run in another zone", "y", peer.State{LostRuns: []peer.LostRun{{Request: 7, Blocks: []uint64{1}}}}, 0, 0, 1, 0},
		{"a clearance in another zone", "y", peer.State{Clearances: []peer.Clearance{{Key: 1}}}, 0, 0, 1, 0},
		{"mean loads in another zone", "y", peer.State{
			Endpoints: []peer.EndpointReport{{Endpoint: "e", Running: 2}}, ZoneLoads: []peer.ZoneLoad{{Service: "s", EngineLoad: 2}},
		}, 0, 0, 0, 1},
		{"mean loads in the zone, where VMs know more", "z", peer.State{
			Endpoints: []peer.EndpointReport{{Endpoint: "e", Running: 2}}, ZoneLoads: []peer.ZoneLoad{{Service: "s", EngineLoad: 2}},
		}, 1, 0, 0, 0},
		{"a slow endpoint in another zone", "y", peer.State{
			Endpoints: []peer.EndpointReport{{Endpoint: "e", Running: 2, Slowness: 1.2}, {Endpoint: "f", Running: 2, Slowness: slowReported}},
		}, 1, 0, 0, 0},
		{"a quarantine in another zone", "y", peer.State{BlockQuarantines: []peer.BlockQuarantine{{Block: 1}}}, 0, 0, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
			s := newStore(ctx)
			s.put(ctx, secretKey, "secret")
			net := &network{inboxes: map[string]chan []byte{"sender": make(chan []byte, 1024), "receiver": make(chan []byte, 1024)}}
			applied := make(chan string, 4096)
			received := make(chan peer.State, 4096)
			ends := make(chan task.End, 2)
			for _, v := range []struct {
				vm, zone string
				state    peer.State
			}{{"sender", "z", test.state}, {"receiver", test.zone, peer.State{}}} {
				r := vmStore{s, v.vm}
				o := Options{Self: Member{VM: v.vm, Zone: v.zone, Address: v.vm}, PropagationBound: 2500 * time.Millisecond}
				c := New(r, r, networkPort{net, v.vm}, recorder{v.vm, applied}, o, logr.Discard(), fixedSection{v.state, received})
				task.Start(ctx, v.vm, ends, c.Run)
			}
			defer func() {
				cancel()
				<-ends
				<-ends
			}()
			select {
			case got := <-received:
				qt.Check(t, got.VM, qt.Equals, "sender")
				qt.Check(t, got.Endpoints, qt.HasLen, test.endpoints)
				qt.Check(t, got.Crashes, qt.HasLen, test.crashes)
				qt.Check(t, got.ZoneLoads, qt.HasLen, test.zones)
				qt.Check(t, len(got.LostRuns)+len(got.Clearances)+len(got.BlockQuarantines), qt.Equals, test.blocks)
			case <-ctx.Done():
				t.Fatal("no state arrived")
			}
		})
	}
}

// TestStatesReachAllZonesSoon guards against VMs of a zone that all send to the same VMs elsewhere: what they learned reached the
// second of two other zones only after each VM of the first had got it, 2.5 s later with 22 VMs a zone.
func TestStatesReachAllZonesSoon(t *testing.T) {
	const vmsPerZone, rounds = 22, 3
	members := map[string]Member{}
	zoneOf := map[string]string{}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range vmsPerZone {
			m := Member{VM: fmt.Sprint(zone, i), Zone: zone, Address: fmt.Sprintf("%s-%02d", zone, i)}
			members[m.VM] = m
			zoneOf[m.Address] = zone
		}
	}
	reached := map[string]bool{}
	for _, m := range members {
		if m.Zone != "a" {
			continue
		}
		c := New(nil, nil, nil, nil, Options{Self: m}, logr.Discard())
		c.members = members
		for range rounds {
			for _, address := range c.nextRemotePeers() {
				reached[zoneOf[address]] = true
			}
		}
	}
	qt.Assert(t, reached, qt.DeepEquals, map[string]bool{"b": true, "c": true})
}

// TestLateStatesCarryTheirDelay guards against the states that a VM reads after a pause, whose ages would pass for new ones.
func TestLateStatesCarryTheirDelay(t *testing.T) {
	tests := []struct {
		name string
		// sentAt is when each state was sent, by the sender's clock; all are read at once.
		sentAt []time.Duration
		want   time.Duration
	}{
		{"first state", []time.Duration{time.Hour}, 0},
		{"sent at the same time", []time.Duration{time.Hour, time.Hour}, 0},
		{"sent earlier", []time.Duration{time.Hour, time.Hour - 3*time.Second}, 3 * time.Second},
		{"first state was late", []time.Duration{time.Hour - 3*time.Second, time.Hour}, 0},
		{"sender without the field", []time.Duration{time.Hour, 0}, 0},
	}
	for _, test := range tests {
		qt.New(t).Run(test.name, func(c *qt.C) {
			received := make(chan peer.State, len(test.sentAt))
			k := New(nil, nil, nil, nil, Options{}, logr.Discard(), fixedSection{received: received})
			k.secret = []byte("secret")
			var got peer.State
			for i, at := range test.sentAt {
				var cursor peer.Cursor
				data, _, err := cursor.Encode(k.secret, peer.Packet{State: peer.State{VM: "vm", Incarnation: 1, Sequence: uint64(i + 1), SentAt: at}})
				c.Assert(err, qt.IsNil)
				k.receiveState(context.Background(), data)
				got = <-received
			}
			c.Check(got.Delay.Round(time.Second), qt.Equals, test.want)
		})
	}
}

// TestTransitFollowsClockDrift checks that clocks of different speed don't add up to a delay.
func TestTransitFollowsClockDrift(t *testing.T) {
	var tr transit
	now, took := time.Unix(1000, 0), time.Second
	for range 10_000 {
		now, took = now.Add(time.Second), took+100*time.Microsecond
		qt.Assert(t, tr.delay(took, now) <= time.Millisecond, qt.IsTrue)
	}
}
