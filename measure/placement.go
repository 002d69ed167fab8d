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
	placementSeed  = 20261204
	engines        = 20
	engineSlots    = 8
	entryVMs       = 6
	meanService    = 200 * time.Millisecond
	utilisation    = 0.7
	placementTime  = 60 * time.Second
	slowFrom       = 20 * time.Second
	slowUntil      = 40 * time.Second
	slowFactor     = 10
	reportLag      = time.Second
	reportInterval = 500 * time.Millisecond
	affineSessions = 2000
	cachedPrefixes = 150
	choices        = 20_000
	placementVer   = "m/v1"
)

var placementStart = time.Unix(1_000_000, 0)

// placementPolicy chooses an engine for a run; turn counts the runs of its VM.
type placementPolicy struct {
	name   string
	choose func(r *rand.Rand, view []*endpoint.Endpoint, turn int, session string, now time.Time) int
}

var placementPolicies = []placementPolicy{
	{"round_robin", func(_ *rand.Rand, view []*endpoint.Endpoint, turn int, _ string, _ time.Time) int {
		return turn % len(view)
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

func leastReported(_ *rand.Rand, view []*endpoint.Endpoint, _ int, _ string, _ time.Time) int {
	best := 0
	for i, e := range view {
		if e.Running < view[best].Running {
			best = i
		}
	}
	return best
}

// job is a run on a simulated engine.
type job struct {
	engine int
	vm     int
	arrive time.Duration
	finish time.Duration
}

type jobHeap []job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].finish < h[j].finish }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fleet simulates engines with slots and first-in-first-out queues, and VMs that see their load late.
type fleet struct {
	r     *rand.Rand
	free  [engines][engineSlots]time.Duration
	views [entryVMs][]*endpoint.Endpoint
	ends  jobHeap
	jobs  []job
	turns [entryVMs]int
	waits []time.Duration
	cache [engines][]string
	hits  int
}

func newFleet() *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(placementSeed, 1))}
	for v := range f.views {
		for i := range engines {
			f.views[v] = append(f.views[v], &endpoint.Endpoint{ID: "engine-" + strconv.Itoa(i), ReportedAt: placementStart})
		}
	}
	return f
}

func (f *fleet) run(p placementPolicy) {
	gap := float64(meanService) / (engines * engineSlots * utilisation)
	nextReport := time.Duration(0)
	for now := time.Duration(0); now < placementTime; now += time.Duration(f.r.ExpFloat64() * gap) {
		for ; nextReport <= now; nextReport += reportInterval {
			f.report(nextReport)
		}
		for len(f.ends) > 0 && f.ends[0].finish <= now {
			j := heap.Pop(&f.ends).(job)
			f.views[j.vm][j.engine].InFlight--
		}
		f.place(p, now)
	}
}

// report shows every VM the load of reportLag ago.
func (f *fleet) report(now time.Duration) {
	at := now - reportLag
	var running [engines]int
	f.jobs = slices.DeleteFunc(f.jobs, func(j job) bool { return j.finish <= at })
	for _, j := range f.jobs {
		if j.arrive <= at {
			running[j.engine]++
		}
	}
	for _, view := range f.views {
		for i, e := range view {
			e.Running, e.ReportedAt = running[i], placementStart.Add(max(at, 0))
		}
	}
}

func (f *fleet) place(p placementPolicy, now time.Duration) {
	vm := f.r.IntN(entryVMs)
	session := "session-" + strconv.Itoa(int(float64(affineSessions)*f.r.Float64()*f.r.Float64()))
	i := p.choose(f.r, f.views[vm], f.turns[vm], session, placementStart.Add(now))
	f.turns[vm]++
	service := time.Duration(f.r.ExpFloat64() * float64(meanService))
	if i == 0 && now >= slowFrom && now < slowUntil {
		service *= slowFactor
	}
	slot := 0
	for s, at := range f.free[i] {
		if at < f.free[i][slot] {
			slot = s
		}
	}
	start := max(now, f.free[i][slot])
	j := job{engine: i, vm: vm, arrive: now, finish: start + service}
	f.free[i][slot] = j.finish
	f.waits = append(f.waits, start-now)
	f.views[vm][i].InFlight++
	heap.Push(&f.ends, j)
	f.jobs = append(f.jobs, j)
	f.touch(i, session)
}

// touch counts a hit where the engine has the session's prefix cached, and moves it to the front of the cache.
func (f *fleet) touch(i int, session string) {
	if at := slices.Index(f.cache[i], session); at >= 0 {
		f.hits++
		f.cache[i] = slices.Delete(f.cache[i], at, at+1)
	}
	f.cache[i] = slices.Insert(f.cache[i], 0, session)
	f.cache[i] = f.cache[i][:min(len(f.cache[i]), cachedPrefixes)]
}

func measurePlacement() ([]Line, error) {
	var lines []Line
	best, hits := 0.0, map[string]float64{}
	for _, p := range placementPolicies {
		f := newFleet()
		f.run(p)
		slices.Sort(f.waits)
		p99 := f.waits[len(f.waits)*99/100].Seconds() * 1000
		hits[p.name] = float64(f.hits) / float64(len(f.waits))
		target := "none"
		switch p.name {
		case "two_choices", "affinity":
			target = fmt.Sprintf("<= %.4g", best)
		default:
			if best == 0 || p99 < best {
				best = p99
			}
		}
		lines = append(lines, Line{"placement_wait_p99_" + p.name, p99, "ms", target})
	}
	lines = append(lines,
		Line{"placement_prefix_hits_two_choices", hits["two_choices"], "share", "none"},
		Line{"placement_prefix_hits_affinity", hits["affinity"], "share", fmt.Sprintf(">= %.4g", 2*hits["two_choices"])})
	return append(lines, choiceCosts()...), nil
}

// heapEndpoints is how many endpoints a measured heap holds at least, so that other allocations don't count.
const heapEndpoints = 20_000

// choiceCosts measures a placement where every endpoint is in the VM's zone and serves the version.
func choiceCosts() []Line {
	var lines []Line
	members := placementMembers()
	for _, n := range []int{20, 200, 2900} {
		before := liveHeap()
		tables := make([]*endpoint.Table, max(1, heapEndpoints/n))
		for i := range tables {
			tables[i] = fullTable(n)
		}
		bytes := float64(liveHeap()-before) / float64(n*len(tables))
		table := tables[0]
		lines = append(lines, Line{fmt.Sprintf("endpoint_state_%d_endpoints", n), bytes, "bytes each", "<= 2000"})
		for _, q := range []endpoint.Query{{Model: "m", Version: "v1"}, {Model: "m", Version: "v1", Affinity: "session-1"}} {
			name := fmt.Sprintf("placement_choose_%d_endpoints", n)
			if q.Affinity != "" {
				name += "_affinity"
			}
			lines = append(lines, Line{name, costOf(choices, func(i int) {
				e, _ := table.Choose(q, placementStart, uint64(i)*7919, uint64(i)*104729)
				table.Done(endpoint.Outcome{Endpoint: e.ID}, placementStart)
			}), "ns", "<= 100000"})
		}
		interval := costOf(200, func(i int) {
			now := placementStart.Add(time.Duration(i) * time.Millisecond)
			table.AssignPolls("vm-0", members)
			table.DuePolls(now, 0)
			table.PeerReports(now)
		})
		lines = append(lines, Line{fmt.Sprintf("endpoint_interval_%d_endpoints", n), interval / 1000, "us", "<= 2600"})
	}
	return lines
}

// placementMembers returns 460 VMs in 15 zones of 7 regions.
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

func fullTable(n int) *endpoint.Table {
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
		table.ApplyReport(i.ID, endpoint.Report{Incarnation: 1, Running: 3, Versions: []string{placementVer}}, nil, placementStart)
	}
	return table
}

// costOf returns the nanoseconds of one call of f.
func costOf(n int, f func(i int)) float64 {
	started := time.Now()
	for i := range n {
		f(i)
	}
	return float64(time.Since(started).Nanoseconds()) / float64(n)
}
