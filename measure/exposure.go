package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"cornelmux/internal/rollout"
)

const (
	exposureSeed = 20261204
	exposureRuns = 100
	// requestsPerVM is the rate of one model at one VM at the planned peak: 17,000/s over 460 VMs and 26 models.
	requestsPerVM  = 17_000.0 / 460 / 26
	gossipFanout   = 5
	gossipRelayed  = 10
	goodRate       = 0.01
	badRate        = 0.2
	goodSeconds    = 120
	longestSeconds = 1800
	exposureTarget = "< 200"

	falseHaltRuns    = 1000
	falseHaltAnswers = 20_000
	falseHaltBatch   = 50
)

var exposureRun = rollout.Run{Model: "m", Version: "v2", StartedAt: 1}

var stableRun = rollout.Run{Model: "m", Version: "v1", StartedAt: 1}

// exposedVM is one VM of the simulated fleet.
type exposedVM struct {
	tally    *rollout.Tally
	detector rollout.Detector
	halted   bool
	// newest is the newest counts that the VM heard of each VM, itself included.
	newest []heard
}

type heard struct {
	second  int
	passed  int
	version rollout.Evidence
	stable  rollout.Evidence
}

// exposedFleet counts the answers of a version that turns bad until the last VM has halted it.
type exposedFleet struct {
	r       *rand.Rand
	vms     []*exposedVM
	rate    float64
	share   float64
	exposed int
}

func newExposedFleet(seed uint64, vms int, rate, share float64) *exposedFleet {
	f := &exposedFleet{r: rand.New(rand.NewPCG(exposureSeed, seed)), rate: rate, share: share}
	for range vms {
		f.vms = append(f.vms, &exposedVM{tally: rollout.NewTally(), newest: make([]heard, vms)})
	}
	return f
}

// run returns the answers of the bad version, or -1 where a good version was halted.
func (f *exposedFleet) run() int {
	for second := range longestSeconds {
		f.serve(second >= goodSeconds)
		f.gossip(second)
		halted := f.check()
		if halted > 0 && second < goodSeconds {
			return -1
		}
		if halted == len(f.vms) {
			return f.exposed
		}
	}
	return f.exposed
}

// serve answers the requests of one second.
func (f *exposedFleet) serve(bad bool) {
	for i, vm := range f.vms {
		for range f.poisson(f.rate) {
			moved := f.r.Float64() < f.share && !vm.halted
			failRate := goodRate
			if moved && bad {
				failRate = badRate
				f.exposed++
			}
			n := rollout.Evidence{Answers: 1}
			if f.r.Float64() < failRate {
				n.Failures = 1
			}
			if moved {
				vm.tally.Add(exposureRun, n)
				vm.newest[i].version = vm.tally.Local()[exposureRun]
			} else {
				vm.tally.Add(stableRun, n)
				vm.newest[i].stable = vm.tally.Local()[stableRun]
			}
		}
	}
}

func (f *exposedFleet) poisson(mean float64) int {
	n := 0
	for sum := f.r.ExpFloat64(); sum < mean; sum += f.r.ExpFloat64() {
		n++
	}
	return n
}

func (f *exposedFleet) check() int {
	halted := 0
	for _, vm := range f.vms {
		if !vm.halted {
			var reason string
			vm.detector, reason = vm.detector.Update(vm.tally.Sum(exposureRun), vm.tally.Sum(stableRun))
			vm.halted = reason != ""
		}
		if vm.halted {
			halted++
		}
	}
	return halted
}

// gossip sends a datagram from each VM to a few others: its own counts, some that it heard, and its halt.
func (f *exposedFleet) gossip(second int) {
	for i, vm := range f.vms {
		vm.newest[i].second = second + 1
		news := vm.news()
		for n := range min(gossipFanout, len(f.vms)-1) {
			to := f.vms[f.r.IntN(len(f.vms))]
			to.halted = to.halted || vm.halted
			f.tell(to, i, vm.newest[i])
			for _, about := range news[min(n*gossipRelayed, len(news)):min((n+1)*gossipRelayed, len(news))] {
				f.tell(to, about, vm.newest[about])
				vm.newest[about].passed++
			}
		}
	}
}

// news returns the VMs whose counts were passed on least often, the newest first.
func (vm *exposedVM) news() []int {
	var list []int
	for i, h := range vm.newest {
		if h.second > 0 {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b int) int {
		return cmp.Or(cmp.Compare(vm.newest[a].passed, vm.newest[b].passed), cmp.Compare(vm.newest[b].second, vm.newest[a].second))
	})
	return list
}

func (f *exposedFleet) tell(to *exposedVM, about int, h heard) {
	if f.vms[about] == to || h.second <= to.newest[about].second {
		return
	}
	h.passed = 0
	to.newest[about] = h
	name := fmt.Sprint(about)
	to.tally.Receive(name, 1, exposureRun, h.version)
	to.tally.Receive(name, 1, stableRun, h.stable)
}

func measureExposure() ([]Line, error) {
	var lines []Line
	for _, vms := range []int{1, 6, 100} {
		runs := exposureRuns
		if vms == 100 {
			runs /= 10
		}
		for _, share := range []float64{0.01, 0.05, 0.25} {
			worst, sum, falseHalts := 0, 0, 0
			for seed := range runs {
				n := newExposedFleet(uint64(seed), vms, requestsPerVM, share).run()
				if n < 0 {
					falseHalts++
					continue
				}
				worst = max(worst, n)
				sum += n
			}
			name := fmt.Sprintf("exposure_%d_vms_share_%g", vms, share*100)
			lines = append(lines,
				Line{name + "_mean", float64(sum) / float64(runs), "answers", exposureTarget},
				Line{name + "_worst", float64(worst), "answers", exposureTarget},
				Line{name + "_false_halts", float64(falseHalts), "halts", "< 1"},
			)
		}
	}
	for _, rate := range []float64{0, 0.01, 0.05, 0.3} {
		name := fmt.Sprintf("false_halts_at_%g_failures_of_%d_roll_outs", rate, falseHaltRuns)
		lines = append(lines, Line{name, float64(falseHalts(rate)), "roll-outs", "< 1"})
	}
	return lines, nil
}

// falseHalts counts the roll-outs that halt though their version is as good as the stable one.
func falseHalts(rate float64) int {
	halts := 0
	for seed := range falseHaltRuns {
		r := rand.New(rand.NewPCG(exposureSeed, uint64(seed)))
		var d rollout.Detector
		var version, stable rollout.Evidence
		for range falseHaltAnswers / falseHaltBatch {
			for range falseHaltBatch {
				add(r, &version, rate)
				add(r, &stable, rate)
			}
			var reason string
			if d, reason = d.Update(version, stable); reason != "" {
				halts++
				break
			}
		}
	}
	return halts
}

func add(r *rand.Rand, c *rollout.Evidence, rate float64) {
	c.Answers++
	if r.Float64() < rate {
		c.Failures++
	}
	c.Rated, c.RatedBad = c.Answers, c.Failures
}
