package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cornelmux/internal/consul"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
)

const (
	// placementSeed is the seed of the random numbers.
	placementSeed = 20261204
	// The simulation has engineCount engines, each of which runs slotsPerEngine requests at once, and entryVMCount entry VMs.
	engineCount    = 20
	slotsPerEngine = 8
	entryVMCount   = 6
	// meanRunTime is the mean time that a run takes in its slot.
	meanRunTime = 200 * time.Millisecond
	// utilization is the mean share of busy slots, 0 to 1.
	utilization = 0.7
	// placementDuration is simulated time.
	placementDuration = 60 * time.Second
	// Between slowFrom and slowUntil, runs on the first engine take slowFactor times as long.
	slowFrom   = 20 * time.Second
	slowUntil  = 40 * time.Second
	slowFactor = 10
	// reportLag is how old the load is that VMs see, reportInterval how often they get it.
	reportLag      = time.Second
	reportInterval = 500 * time.Millisecond
	// sessionCount is the number of sessions. Some have many requests and most have few.
	sessionCount = 2000
	// cachedPrefixes is how many sessions' prompt prefixes an engine keeps.
	cachedPrefixes = 150
	// placementCalls is the number of calls over which the time of a placement is averaged.
	placementCalls = 20_000
	// placementVersion is the version, as model/version, that every endpoint serves where the cost of a placement is measured.
	placementVersion = "m/v1"
)

// placementStart is the wall-clock time of the simulation's zero.
var placementStart = time.Unix(1_000_000, 0)

// placementPolicy chooses an engine for a run by the VM's view of the engines. Placed is how many runs the VM has placed.
type placementPolicy struct {
	name   string
	choose func(r *rand.Rand, view []*endpoint.Endpoint, placed int, session string, now time.Time) int
}

// placementPolicies are the policies compared: three simple ones, and the product's without and with session affinity.
var placementPolicies = []placementPolicy{
	{"round_robin", func(_ *rand.Rand, view []*endpoint.Endpoint, placed int, _ string, _ time.Time) int {
		return placed % len(view)
	}},
	{"random", func(r *rand.Rand, view []*endpoint.Endpoint, _ int, _ string, _ time.Time) int {
		return r.IntN(len(view))
	}},
	{"least_reported", leastReported},
	{"two_choices", func(r *rand.Rand, view []*endpoint.Endpoint, _ int, _ string, now time.Time) int {
		return endpoint.Pick(view, endpoint.Query{}, now, r.Uint64(), r.Uint64())
	}},
	{"affinity", func(r *rand.Rand, view []*endpoint.Endpoint, _ int, session string, now time.Time) int {
		return endpoint.Pick(view, endpoint.Query{Affinity: session}, now, r.Uint64(), r.Uint64())
	}},
}

// leastReported chooses the engine with the fewest runs in the latest report.
func leastReported(_ *rand.Rand, view []*endpoint.Endpoint, _ int, _ string, _ time.Time) int {
	best := 0
	for i, e := range view {
		if e.Running < view[best].Running {
			best = i
		}
	}
	return best
}

// simulatedRun is a run on a simulated engine; engine and vm count from 0. It arrives at arrivedAt, may wait for a slot, and
// ends at finishAt, both from the start of the simulation.
type simulatedRun struct {
	engine    int
	vm        int
	arrivedAt time.Duration
	finishAt  time.Duration
}

// runHeap orders runs by their end.
type runHeap []simulatedRun

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *runHeap) Push(x any) { *h = append(*h, x.(simulatedRun)) }

// Pop implements heap.Interface.
func (h *runHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// engineFleet simulates engines with slots and first-in-first-out queues, and VMs that see their load late.
type engineFleet struct {
	random *rand.Rand
	// slotFreeAt is when each slot of each engine is free for a new run.
	slotFreeAt [engineCount][slotsPerEngine]time.Duration
	views      [entryVMCount][]*endpoint.Endpoint
	// finishing holds the runs that their VMs count as in flight.
	finishing runHeap
	// runs holds the runs that are in the load of a report.
	runs []simulatedRun
	// placed counts the runs that each VM has placed.
	placed [entryVMCount]int
	// waits are the times that runs waited for a slot.
	waits []time.Duration
	// prefixCache holds the cached sessions of each engine, the latest first.
	prefixCache [engineCount][]string
	cacheHits   int
}

func newEngineFleet() *engineFleet {
	f := &engineFleet{random: rand.New(rand.NewPCG(placementSeed, 1))}
	for v := range f.views {
		for i := range engineCount {
			f.views[v] = append(f.views[v], &endpoint.Endpoint{ID: "engine-" + strconv.Itoa(i), ReportedAt: placementStart})
		}
	}
	return f
}

// run simulates requests that arrive at random for placementDuration, placed by the policy. measurePlacement calls it
// for each policy.
func (f *engineFleet) run(p placementPolicy) {
	meanGap := float64(meanRunTime) / (engineCount * slotsPerEngine * utilization)
	nextReport := time.Duration(0)
	for now := time.Duration(0); now < placementDuration; now += time.Duration(f.random.ExpFloat64() * meanGap) {
		for ; nextReport <= now; nextReport += reportInterval {
			f.report(nextReport)
		}
		for len(f.finishing) > 0 && f.finishing[0].finishAt <= now {
			run := heap.Pop(&f.finishing).(simulatedRun)
			f.views[run.vm][run.engine].InFlight--
		}
		f.place(p, now)
	}
}

// report shows every VM the load of reportLag ago. run calls it every reportInterval of simulated time.
func (f *engineFleet) report(now time.Duration) {
	at := now - reportLag
	var running [engineCount]int
	f.runs = slices.DeleteFunc(f.runs, func(r simulatedRun) bool { return r.finishAt <= at })
	for _, r := range f.runs {
		if r.arrivedAt <= at {
			running[r.engine]++
		}
	}
	for _, view := range f.views {
		for i, e := range view {
			e.Running, e.ReportedAt = running[i], placementStart.Add(max(at, 0))
		}
	}
}

// place places a request of a random session at a random VM, and computes when its run starts and ends. run calls it for
// each request.
func (f *engineFleet) place(p placementPolicy, now time.Duration) {
	vm := f.random.IntN(entryVMCount)
	session := "session-" + strconv.Itoa(int(float64(sessionCount)*f.random.Float64()*f.random.Float64()))
	i := p.choose(f.random, f.views[vm], f.placed[vm], session, placementStart.Add(now))
	f.placed[vm]++
	runTime := time.Duration(f.random.ExpFloat64() * float64(meanRunTime))
	if i == 0 && now >= slowFrom && now < slowUntil {
		runTime *= slowFactor
	}
	slot := 0
	for s, at := range f.slotFreeAt[i] {
		if at < f.slotFreeAt[i][slot] {
			slot = s
		}
	}
	start := max(now, f.slotFreeAt[i][slot])
	run := simulatedRun{engine: i, vm: vm, arrivedAt: now, finishAt: start + runTime}
	f.slotFreeAt[i][slot] = run.finishAt
	f.waits = append(f.waits, start-now)
	f.views[vm][i].InFlight++
	heap.Push(&f.finishing, run)
	f.runs = append(f.runs, run)
	f.cachePrefix(i, session)
}

// cachePrefix counts a hit if the engine has the session's prefix cached, and moves it to the front of the cache.
func (f *engineFleet) cachePrefix(i int, session string) {
	if at := slices.Index(f.prefixCache[i], session); at >= 0 {
		f.cacheHits++
		f.prefixCache[i] = slices.Delete(f.prefixCache[i], at, at+1)
	}
	f.prefixCache[i] = slices.Insert(f.prefixCache[i], 0, session)
	f.prefixCache[i] = f.prefixCache[i][:min(len(f.prefixCache[i]), cachedPrefixes)]
}

// measurePlacement compares the policies by the 99th percentile of the waits and by cache hits, and measures the cost of a
// placement. The product's policies may wait no longer than the best simple one, and affinity has to double the hits.
func measurePlacement() ([]Line, error) {
	var lines []Line
	bestP99, hitShare := 0.0, map[string]float64{}
	for _, p := range placementPolicies {
		f := newEngineFleet()
		f.run(p)
		slices.Sort(f.waits)
		p99 := f.waits[len(f.waits)*99/100].Seconds() * 1000
		hitShare[p.name] = float64(f.cacheHits) / float64(len(f.waits))
		target := "none"
		switch p.name {
		case "two_choices", "affinity":
			target = fmt.Sprintf("<= %.4g", bestP99)
		default:
			if bestP99 == 0 || p99 < bestP99 {
				bestP99 = p99
			}
		}
		lines = append(lines, Line{"placement_wait_p99_" + p.name, p99, "ms", target})
	}
	lines = append(lines,
		Line{"placement_prefix_hits_two_choices", hitShare["two_choices"], "share", "none"},
		Line{"placement_prefix_hits_affinity", hitShare["affinity"], "share", fmt.Sprintf(">= %.4g", 2*hitShare["two_choices"])})
	return append(lines, placementCosts()...), nil
}

// minHeapEndpoints is about how many endpoints a measured heap holds, so that other allocations are negligible. A heap holds
// as many whole tables as fit, but at least one.
const minHeapEndpoints = 20_000

// placementCosts measures placements where every endpoint is in the VM's zone and serves the version, the memory of an
// endpoint's state, and the periodic work on the table. measurePlacement calls it.
func placementCosts() []Line {
	var lines []Line
	members := placementMembers()
	for _, n := range []int{20, 200, 2900} {
		before := liveHeap()
		tables := make([]*endpoint.Table, max(1, minHeapEndpoints/n))
		for i := range tables {
			tables[i] = newEndpointTable(n)
		}
		bytesEach := float64(liveHeap()-before) / float64(n*len(tables))
		table := tables[0]
		lines = append(lines, Line{fmt.Sprintf("endpoint_state_%d_endpoints", n), bytesEach, "bytes each", "<= 2000"})
		for _, q := range []endpoint.Query{{Model: "m", Version: "v1"}, {Model: "m", Version: "v1", Affinity: "session-1"}} {
			name := fmt.Sprintf("placement_choose_%d_endpoints", n)
			if q.Affinity != "" {
				name += "_affinity"
			}
			lines = append(lines, Line{name, nsPerCall(placementCalls, func(i int) {
				e, _ := table.Choose(q, placementStart, uint64(i)*7919, uint64(i)*104729)
				table.Done(endpoint.Outcome{Endpoint: e.ID}, placementStart)
			}), "ns", "<= 100000"})
		}
		intervalNs := nsPerCall(200, func(i int) {
			now := placementStart.Add(time.Duration(i) * time.Millisecond)
			table.AssignPolls("vm-0", members)
			table.DuePolls(now, 0)
			table.PeerReports(now)
		})
		lines = append(lines, Line{fmt.Sprintf("endpoint_interval_%d_endpoints", n), intervalNs / 1000, "us", "<= 2600"})
	}
	return lines
}

// placementMembers returns 460 VMs in 15 availability zones of 7 regions.
func placementMembers() []peer.Member {
	var members []peer.Member
	for i := range 460 {
		zone := i % 15
		members = append(members, peer.Member{
			VM: "vm-" + strconv.Itoa(i), Region: "r" + strconv.Itoa(zone%7), Zone: "z" + strconv.Itoa(zone), Health: peer.Alive,
		})
	}
	return members
}

// newEndpointTable returns a table of n endpoints in the VM's own zone; one poll of each succeeded and reported 3 running
// runs. placementCosts calls it for each table that it measures.
func newEndpointTable(n int) *endpoint.Table {
	table := endpoint.NewTable(endpoint.Location{Region: "r1", Zone: "z1"})
	var list []consul.Instance
	for i := range n {
		list = append(list, consul.Instance{
			ID: "engine-" + strconv.Itoa(i), Address: "127.0.0.1", Port: 1,
			Meta: map[string]string{"region": "r1", "zone": "z1"},
		})
	}
	table.ApplyList(list, placementStart)
	for _, i := range list {
		table.ApplyReport(i.ID, endpoint.Report{Incarnation: 1, Running: 3, Versions: []string{placementVersion}}, nil, placementStart)
	}
	return table
}

// nsPerCall calls f n times and returns the mean time of a call in nanoseconds.
func nsPerCall(n int, f func(i int)) float64 {
	start := time.Now()
	for i := range n {
		f(i)
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}
