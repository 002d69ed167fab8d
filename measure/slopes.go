package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/datagram"
	"cornelmux/internal/peer"
	"cornelmux/internal/standin"
	"cornelmux/internal/task"
)

const (
	// Half of a VM's 28 KB/s, 2.6% of a core and 128 MB for control go to what passes between the VMs.
	peerBytesTarget  = "<= 14000"
	peerCoreTarget   = "<= 1.3"
	peerMemoryTarget = "<= 64"

	slopeTime     = 4 * time.Second
	packetRepeats = 20000
)

// fleetShape is how many VMs stand in how many zones and regions, and how long they run before they are measured.
type fleetShape struct {
	vms, zones, regions int
	warmUp              time.Duration
}

// measurePeers measures what exchanging state costs a VM in small fleets.
func measurePeers() ([]Line, error) {
	lines := packetCost()
	for _, shape := range []fleetShape{{6, 6, 3, 2 * time.Second}, {30, 3, 2, 6 * time.Second}, {100, 6, 3, 16 * time.Second}} {
		more, err := fleetCost(shape)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// measureFleet measures the same in a fleet of the size to design for.
func measureFleet() ([]Line, error) { return fleetCost(fleetShape{460, 15, 7, 31 * time.Second}) }

// stateLoad is a Section with about as much to say as a VM has in the largest fleet.
type stateLoad struct{ vm int }

// Collect implements peer.Section.
func (l stateLoad) Collect(_ context.Context, s *peer.State) error {
	s.Revision = 1
	for i := range 13 {
		s.Endpoints = append(s.Endpoints, peer.EndpointReport{
			Endpoint: fmt.Sprintf("engine-%d-%d", l.vm, i), Incarnation: 1 << 60, Queued: 3, Running: 16,
			Age: 500 * time.Millisecond, Versions: []string{"composer/v1", "cheap/v2"},
		})
	}
	for i := range 2 {
		s.Evidence = append(s.Evidence, peer.VersionEvidence{Model: "composer", Version: "v" + strconv.Itoa(i), Answers: 9000, Failures: 90, Rated: 500, RatedBad: 5})
	}
	for i := range 10 {
		s.Demand = append(s.Demand, peer.AccountDemand{Account: "account-" + strconv.Itoa(i), RequestsPerSecond: 3.7})
	}
	s.Sessions = append(s.Sessions, peer.SessionSet{Model: "composer", Version: "v1", Filter: make([]byte, 512)})
	return nil
}

// Receive implements peer.Section.
func (stateLoad) Receive(context.Context, peer.State) error { return nil }

// fixedList is a Registry whose list never changes.
type fixedList []consul.Instance

// Register implements peer.Registry.
func (fixedList) Register(context.Context, consul.Registration) error { return nil }

// Deregister implements peer.Registry.
func (fixedList) Deregister(context.Context, string) error { return nil }

// Instances implements peer.Registry.
func (l fixedList) Instances(ctx context.Context, _ string, after uint64, wait time.Duration) ([]consul.Instance, uint64, error) {
	if after > 0 {
		task.Sleep(ctx, wait)
	}
	return l, 1, ctx.Err()
}

// usage is what the process or all its VMs have used so far.
type usage struct {
	at    time.Time
	cpu   time.Duration
	bytes uint64
}

func fleetCost(shape fleetShape) ([]Line, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := liveHeap()
	vms, err := newPeers(shape)
	if err != nil {
		return nil, err
	}
	ends := make(chan task.End, len(vms))
	start := time.Now()
	for _, vm := range vms {
		task.Start(ctx, "vm", ends, vm.Run)
	}
	task.Sleep(ctx, shape.warmUp)
	first, err := use(ctx, vms)
	if err != nil {
		return nil, err
	}
	task.Sleep(ctx, slopeTime)
	last, err := use(ctx, vms)
	if err != nil {
		return nil, err
	}
	ages, err := newsAges(ctx, vms, start)
	if err != nil {
		return nil, err
	}
	memory := float64(liveHeap()-before) / float64(shape.vms)
	if err := task.Stop(cancel, ends, len(vms)); err != nil {
		return nil, err
	}
	seconds, n := last.at.Sub(first.at).Seconds(), float64(shape.vms)
	name := func(s string) string { return fmt.Sprintf("peers_%d_%s", shape.vms, s) }
	newsTarget := fmt.Sprintf("<= %.0f", peer.SuspectTimeout(shape.vms).Seconds())
	return []Line{
		{name("bytes_per_vm"), float64(last.bytes-first.bytes) / seconds / n, "B/s", peerBytesTarget},
		{name("core_per_vm"), 100 * (last.cpu - first.cpu).Seconds() / seconds / n, "%", peerCoreTarget},
		{name("heap_per_vm"), memory / (1 << 20), "MB", peerMemoryTarget},
		{name("news_age_p50"), ages[len(ages)/2].Seconds(), "s", newsTarget},
		{name("news_age_p99"), ages[len(ages)*99/100].Seconds(), "s", newsTarget},
	}, nil
}

func newPeers(shape fleetShape) ([]*peer.Controller, error) {
	addresses, err := freeAddresses(shape.vms)
	if err != nil {
		return nil, err
	}
	var options []peer.Options
	var list fixedList
	for i, address := range addresses {
		zone := i % shape.zones
		o := peer.Options{
			VM: "vm-" + strconv.Itoa(i), Incarnation: uint64(time.Now().UnixNano()),
			Region: "region-" + strconv.Itoa(zone%shape.regions), Zone: "zone-" + strconv.Itoa(zone),
			ControlAddress: address, PeerAddress: address, Key: []byte("fleet-key"),
		}
		options = append(options, o)
		r := peer.RegistrationOf(o)
		list = append(list, consul.Instance{ID: r.ID, Service: r.Name, Meta: r.Meta})
	}
	var vms []*peer.Controller
	for i, o := range options {
		vms = append(vms, peer.New(o, datagram.New(o.PeerAddress, logr.Discard()), list, []peer.Section{stateLoad{i}}, logr.Discard()))
	}
	return vms, nil
}

func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		address, err := standin.FreeAddress()
		if err != nil {
			return nil, err
		}
		out = append(out, address)
	}
	return out, nil
}

func use(ctx context.Context, vms []*peer.Controller) (usage, error) {
	u := usage{at: time.Now()}
	for _, vm := range vms {
		counts, err := vm.Counts(ctx)
		if err != nil {
			return u, err
		}
		u.bytes += counts.SentBytes + counts.ReceivedBytes
	}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return u, err
	}
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return u, nil
}

// newsAges returns how old each VM's news of each other is, in order; a VM that was never heard counts from the start.
func newsAges(ctx context.Context, vms []*peer.Controller, start time.Time) ([]time.Duration, error) {
	var ages []time.Duration
	for _, vm := range vms {
		members, err := vm.Members(ctx)
		if err != nil {
			return nil, err
		}
		now := time.Now()
		for _, m := range members[1:] {
			heardAt := m.HeardAt
			if heardAt.IsZero() {
				heardAt = start
			}
			ages = append(ages, now.Sub(heardAt))
		}
	}
	slices.Sort(ages)
	return ages, nil
}

// packetCost measures one datagram that is full.
func packetCost() []Line {
	key := []byte("fleet-key")
	var s peer.State
	_ = stateLoad{}.Collect(context.Background(), &s) // it never fails
	s.VM, s.Incarnation, s.Sequence, s.Region, s.Zone = "vm-1", 1<<60, 1, "region-1", "zone-1"
	p := peer.Packet{State: s}
	for i := range 32 {
		r := peer.State{VM: "vm-" + strconv.Itoa(i), Incarnation: 1 << 60, Sequence: 9, Region: "region-1", Zone: "zone-1", Evidence: s.Evidence}
		p.Relayed = append(p.Relayed, r)
	}
	var data []byte
	at := &peer.Cursor{}
	start := time.Now()
	for range packetRepeats {
		data, _, _ = at.Encode(key, p)
	}
	encode := time.Since(start)
	start = time.Now()
	for range packetRepeats {
		_, _ = peer.Decode(key, data)
	}
	decode := time.Since(start)
	return []Line{
		{"datagram_encode", float64(encode.Nanoseconds()) / packetRepeats, "ns", "<= 200000"},
		{"datagram_decode", float64(decode.Nanoseconds()) / packetRepeats, "ns", "<= 200000"},
		{"datagram_size", float64(len(data)), "B", "<= 1200"},
	}
}
