package peer

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/wire"
)

var testKey = []byte("fleet-key")

// testState returns a state with one item in each list.
func testState(vm string, sequence uint64) State {
	return State{
		VM: vm, Incarnation: 7, Sequence: sequence, Region: "vest", Zone: "vest-1",
		ControlAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Revision: 5, Leaving: true, SentAt: time.Second,
		Endpoints:  []EndpointReport{{Endpoint: "e1", Incarnation: 3, Queued: 4, Running: 5, Age: time.Second, Suspect: true, Versions: []string{"m/v1"}, EngineLoad: 2.25, FailureRate: 0.5, Slowness: 1.5, WaitingWork: 90 * time.Millisecond}},
		Evidence:   []VersionEvidence{{Model: "m", Version: "v2", Answers: 10, Failures: 1, Rated: 5, RatedBad: 2, StartedAt: 7, Paced: 4, PacedSlow: 3}},
		Demand:     []AccountDemand{{Account: "a", RequestsPerSecond: 1.5}},
		Crashes:    []CrashReport{{Fingerprint: 9, Endpoint: "e1", Target: 8, Parameters: Parameters{7, 6}}, {Fingerprint: 5, Endpoint: "e2"}},
		Sessions:   []SessionSet{{Model: "m", Version: "v1", Filter: []byte{1, 2}}},
		Halts:      []Halt{{Model: "m", Version: "v2", Reason: "failures", StartedAt: 7}},
		Latencies:  []LatencyBaseline{{Service: "s", Kind: 11, Load: 2, Count: 3, Mean: time.Millisecond}},
		LostRuns:   []LostRun{{Request: 9, Endpoint: 8, Blocks: []uint64{1, 1 << 60}, Age: time.Second}},
		Clearances: []Clearance{{Key: 1 << 63, Age: 2 * time.Second}},
		ZoneLoads:  []ZoneLoad{{Service: "s", EngineLoad: 3.5, Utilization: 0.25}},
		BlockQuarantines: []BlockQuarantine{
			{Block: 5, Companions: []uint64{6, 7}, Age: time.Second, Remaining: time.Minute, Requests: 3, Endpoints: 4, Span: time.Second},
		},
	}
}

// encode returns the first datagram of p.
func encode(c *qt.C, p Packet) []byte {
	data, _, err := (&Cursor{}).Encode(testKey, p)
	c.Assert(err, qt.IsNil)
	return data
}

// TestRoundTrip encodes and decodes a packet with every kind of list.
func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	want := Packet{State: testState("vm-1", 1), Relayed: []State{{VM: "vm-2", Incarnation: 1, Sequence: 2, Leaving: true}}}
	got, err := Decode(testKey, encode(c, want))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, want)
}

// TestDecodeRejects decodes datagrams that were cut, changed, or sent with another key or version, or that don't name
// their VM.
func TestDecodeRejects(t *testing.T) {
	c := qt.New(t)
	good := encode(c, Packet{State: testState("vm-1", 1)})
	change := func(at int, to byte) []byte {
		data := bytes.Clone(good)
		data[at] = to
		return data
	}
	encoded := func(d *wire.Datagram) []byte {
		data, err := seal(testKey, d)
		c.Assert(err, qt.IsNil)
		return data
	}
	rows := []struct {
		name string
		key  []byte
		data []byte
		want error
	}{
		{"empty", testKey, nil, ErrTruncated},
		{"header cut off", testKey, good[:headerBytes-1], ErrTruncated},
		{"payload cut off", testKey, good[:len(good)-1], ErrMAC},
		{"too long", testKey, append(bytes.Clone(good), make([]byte, MaxPacketBytes)...), ErrOversize},
		{"unknown version", testKey, change(0, FormatVersion+1), ErrVersion},
		{"changed MAC", testKey, change(versionBytes, good[versionBytes]^1), ErrMAC},
		{"changed payload", testKey, change(len(good)-1, good[len(good)-1]^1), ErrMAC},
		{"another fleet's key", []byte("other"), good, ErrMAC},
		{"no VM", testKey, encoded(&wire.Datagram{Incarnation: 1, Sequence: 1}), ErrMalformed},
		{"no incarnation", testKey, encoded(&wire.Datagram{Vm: "a", Sequence: 1}), ErrMalformed},
		{"no sequence", testKey, encoded(&wire.Datagram{Vm: "a", Incarnation: 1}), ErrMalformed},
		{"relayed without a VM", testKey, encoded(&wire.Datagram{Vm: "a", Incarnation: 1, Sequence: 1, Relayed: []*wire.Datagram{{}}}), ErrMalformed},
	}
	for _, row := range rows {
		c.Run(row.name, func(c *qt.C) {
			_, err := Decode(row.key, row.data)
			c.Assert(err, qt.ErrorIs, row.want)
		})
	}
}

// TestDecodeRejectsChangedDatagrams changes random bytes of a datagram and cuts it: Decode must reject it.
func TestDecodeRejectsChangedDatagrams(t *testing.T) {
	c := qt.New(t)
	good := encode(c, Packet{State: testState("vm-1", 1)})
	rapid.Check(t, func(t *rapid.T) {
		data := bytes.Clone(good)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		data = data[:rapid.IntRange(0, len(data)).Draw(t, "length")]
		if bytes.Equal(data, good) {
			return
		}
		if p, err := Decode(testKey, data); err == nil {
			t.Fatalf("accepted changed datagram: %+v", p)
		}
	})
}

// FuzzDecode decodes arbitrary datagrams, and arbitrary payloads with a valid MAC: Decode must not panic.
func FuzzDecode(f *testing.F) {
	data, _, err := (&Cursor{}).Encode(testKey, Packet{State: testState("vm-1", 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{FormatVersion})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(testKey, data) // must not panic
		packet := append(make([]byte, headerBytes), data...)
		packet[0] = FormatVersion
		copy(packet[versionBytes:], mac(testKey, packet))
		_, _ = Decode(testKey, packet) // nor on a payload with a valid MAC
	})
}

// TestFill checks that the selected items fit into the available bytes.
func TestFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		available := rapid.IntRange(0, 300).Draw(t, "available")
		item := rapid.IntRange(1, 60)
		sizes := rapid.SliceOfN(rapid.SliceOfN(item, 0, 12), 1, 5).Draw(t, "sizes")
		start := make([]int, len(sizes))
		for i, list := range sizes {
			start[i] = rapid.IntRange(0, max(len(list)-1, 0)).Draw(t, "start")
		}
		used := 0
		for i, n := range Fill(available, sizes, start) {
			if n > len(sizes[i]) {
				t.Fatalf("list %d: %d of %d items selected", i, n, len(sizes[i]))
			}
			for _, size := range rotate(sizes[i], start[i], n) {
				used += size
			}
		}
		if used > available {
			t.Fatalf("%d bytes selected, %d available", used, available)
		}
	})
}

// TestLargeStateArrivesWhole sends a state that doesn't fit into one datagram until every item has arrived. It takes at
// most one datagram per item.
func TestLargeStateArrivesWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{VM: "vm-1", Incarnation: 1, Sequence: 1}
		for i := range rapid.IntRange(0, 200).Draw(t, "endpoints") {
			s.Endpoints = append(s.Endpoints, EndpointReport{Endpoint: string(rune('A' + i)), Versions: []string{"composer/v1"}})
		}
		for i := range rapid.IntRange(0, 100).Draw(t, "accounts") {
			s.Demand = append(s.Demand, AccountDemand{Account: string(rune('A' + i)), RequestsPerSecond: 1})
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "sessions") {
			s.Sessions = append(s.Sessions, SessionSet{Model: string(rune('A' + i)), Filter: make([]byte, 600)})
		}
		want := len(s.Endpoints) + len(s.Demand) + len(s.Sessions)
		arrived := map[string]bool{}
		cursor := &Cursor{}
		for n := 0; len(arrived) < want; n++ {
			data, _, err := cursor.Encode(testKey, Packet{State: s})
			if err != nil || len(data) > MaxPacketBytes || n == want {
				t.Fatalf("%d of %d items in %d datagrams, the last of %d bytes: %v", len(arrived), want, n, len(data), err)
			}
			p, err := Decode(testKey, data)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range p.Endpoints {
				arrived["endpoint "+e.Endpoint] = true
			}
			for _, a := range p.Demand {
				arrived["account "+a.Account] = true
			}
			for _, b := range p.Sessions {
				arrived["sessions "+b.Model] = true
			}
		}
	})
}

// TestRelayedStatesKeepTheirShare fills a datagram with the sender's own lists and checks that many relayed states
// still fit.
func TestRelayedStatesKeepTheirShare(t *testing.T) {
	c := qt.New(t)
	p := Packet{State: State{VM: "vm-1", Incarnation: 1, Sequence: 1, Sessions: []SessionSet{{Model: "m", Filter: make([]byte, 550)}}}}
	for i := range 40 {
		p.Endpoints = append(p.Endpoints, EndpointReport{Endpoint: string(rune('A' + i)), Versions: []string{"composer/v1"}})
		p.Relayed = append(p.Relayed, State{VM: "vm-2", Incarnation: 1 << 60, Sequence: 1})
	}
	data, n, err := (&Cursor{}).Encode(testKey, p)
	c.Assert(err, qt.IsNil)
	got, err := Decode(testKey, data)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Sessions, qt.HasLen, 1)
	c.Assert(got.Relayed, qt.HasLen, n)
	c.Assert(n >= 20, qt.IsTrue, qt.Commentf("%d", n))
}
