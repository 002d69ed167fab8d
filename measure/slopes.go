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
	// Control traffic may use 28 KB/s, 2.6% of a core and 128 MB at each VM; half of that is for what the VMs exchange. The
	// targets are in bytes/s, percent of a core and MB.
	peerBytesTarget  = "<= 14000"
	peerCoreTarget   = "<= 1.3"
	peerMemoryTarget = "<= 64"

	// usageTime is how long usage is measured.
	usageTime = 4 * time.Second
	// datagramRepeats is the number of calls, to encode or decode a datagram, over which the time of one is averaged.
	datagramRepeats = 20000
)

// fleetSize is a number of VMs in availability zones and regions, and how long they run before they are measured.
type fleetSize struct {
	vms, zones, regions int
	warmUp              time.Duration
}

// measurePeers measures a datagram, and what the exchange of state costs a VM in small fleets.
func measurePeers() ([]Line, error) {
	lines := datagramCost()
	for _, size := range []fleetSize{{6, 6, 3, 2 * time.Second}, {30, 3, 2, 6 * time.Second}, {100, 6, 3, 16 * time.Second}} {
		more, err := fleetCost(size)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// measureFleet measures the exchange of state in a fleet of the largest planned size.
func measureFleet() ([]Line, error) { return fleetCost(fleetSize{460, 15, 7, 31 * time.Second}) }

// fullSection is a peer.Section with about as much state as a VM has in the largest fleet.
type fullSection struct{ vm int }

// Collect implements peer.Section.
func (l fullSection) Collect(_ context.Context, s *peer.State) error {
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
func (fullSection) Receive(context.Context, peer.State) error { return nil }

// fixedRegistry is a peer.Registry whose list never changes.
type fixedRegistry []consul.Instance

// Register implements peer.Registry.
func (fixedRegistry) Register(context.Context, consul.Registration) error { return nil }

// Deregister implements peer.Registry.
func (fixedRegistry) Deregister(context.Context, string) error { return nil }

// Instances implements peer.Registry.
func (l fixedRegistry) Instances(ctx context.Context, _ string, after uint64, wait time.Duration) ([]consul.Instance, uint64, error) {
	if after > 0 {
		task.Sleep(ctx, wait)
	}
	return l, 1, ctx.Err()
}

// usage is what the VMs have used up to a time: processor time of the process and bytes sent and received.
type usage struct {
	at    time.Time
	cpu   time.Duration
	bytes uint64
}

// fleetCost runs the peer controllers of a fleet in this process and measures traffic, processor time and heap of each, and
// how old their state of each other is. measurePeers and measureFleet call it.
func fleetCost(size fleetSize) ([]Line, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := liveHeap()
	vms, err := newPeerControllers(size)
	if err != nil {
		return nil, err
	}
	ends := make(chan task.End, len(vms))
	start := time.Now()
	for _, vm := range vms {
		task.Start(ctx, "vm", ends, vm.Run)
	}
	task.Sleep(ctx, size.warmUp)
	first, err := readUsage(ctx, vms)
	if err != nil {
		return nil, err
	}
	task.Sleep(ctx, usageTime)
	last, err := readUsage(ctx, vms)
	if err != nil {
		return nil, err
	}
	ages, err := stateAges(ctx, vms, start)
	if err != nil {
		return nil, err
	}
	memory := float64(liveHeap()-before) / float64(size.vms)
	if err := task.Stop(cancel, ends, len(vms)); err != nil {
		return nil, err
	}
	seconds, n := last.at.Sub(first.at).Seconds(), float64(size.vms)
	name := func(s string) string { return fmt.Sprintf("peers_%d_%s", size.vms, s) }
	ageTarget := fmt.Sprintf("<= %.0f", peer.SuspectTimeout(size.vms).Seconds())
	return []Line{
		{name("bytes_per_vm"), float64(last.bytes-first.bytes) / seconds / n, "B/s", peerBytesTarget},
		{name("core_per_vm"), 100 * (last.cpu - first.cpu).Seconds() / seconds / n, "%", peerCoreTarget},
		{name("heap_per_vm"), memory / (1 << 20), "MB", peerMemoryTarget},
		{name("news_age_p50"), ages[len(ages)/2].Seconds(), "s", ageTarget},
		{name("news_age_p99"), ages[len(ages)*99/100].Seconds(), "s", ageTarget},
	}, nil
}

// newPeerControllers returns the controllers of a fleet on free loopback addresses, for fleetCost.
func newPeerControllers(size fleetSize) ([]*peer.Controller, error) {
	addresses, err := freeAddresses(size.vms)
	if err != nil {
		return nil, err
	}
	var options []peer.Options
	var list fixedRegistry
	for i, address := range addresses {
		zone := i % size.zones
		o := peer.Options{
			VM: "vm-" + strconv.Itoa(i), Incarnation: uint64(time.Now().UnixNano()),
			Region: "region-" + strconv.Itoa(zone%size.regions), Zone: "zone-" + strconv.Itoa(zone),
			ControlAddress: address, PeerAddress: address, Key: []byte("fleet-key"),
		}
		options = append(options, o)
		r := peer.RegistrationOf(o)
		list = append(list, consul.Instance{ID: r.ID, Service: r.Name, Meta: r.Meta})
	}
	var vms []*peer.Controller
	for i, o := range options {
		vms = append(vms, peer.New(o, datagram.New(o.PeerAddress, logr.Discard()), list, []peer.Section{fullSection{i}}, logr.Discard()))
	}
	return vms, nil
}

// freeAddresses returns n free loopback addresses.
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

// readUsage returns the usage of the VMs up to now. fleetCost calls it at the start and at the end of usageTime.
func readUsage(ctx context.Context, vms []*peer.Controller) (usage, error) {
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

// stateAges returns how old each VM's state of each other VM is, in ascending order. A VM that was never heard counts from
// start. fleetCost calls it.
func stateAges(ctx context.Context, vms []*peer.Controller, start time.Time) ([]time.Duration, error) {
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

// datagramCost measures the encoding, decoding and size of a full datagram. measurePeers calls it.
func datagramCost() []Line {
	key := []byte("fleet-key")
	var s peer.State
	_ = fullSection{}.Collect(context.Background(), &s) // it never fails
	s.VM, s.Incarnation, s.Sequence, s.Region, s.Zone = "vm-1", 1<<60, 1, "region-1", "zone-1"
	packet := peer.Packet{State: s}
	for i := range 32 {
		r := peer.State{VM: "vm-" + strconv.Itoa(i), Incarnation: 1 << 60, Sequence: 9, Region: "region-1", Zone: "zone-1", Evidence: s.Evidence}
		packet.Relayed = append(packet.Relayed, r)
	}
	var data []byte
	cursor := &peer.Cursor{}
	start := time.Now()
	for range datagramRepeats {
		data, _, _ = cursor.Encode(key, packet)
	}
	encode := time.Since(start)
	start = time.Now()
	for range datagramRepeats {
		_, _ = peer.Decode(key, data)
	}
	decode := time.Since(start)
	return []Line{
		{"datagram_encode", float64(encode.Nanoseconds()) / datagramRepeats, "ns", "<= 200000"},
		{"datagram_decode", float64(decode.Nanoseconds()) / datagramRepeats, "ns", "<= 200000"},
		{"datagram_size", float64(len(data)), "B", "<= 1200"},
	}
}
