package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"cornelmux/internal/rollout"
)

const (
	// exposureSeed is the seed of the random numbers.
	exposureSeed = 20261204
	// exposureRuns is the number of simulated rollouts for each fleet size and traffic share; 100 VMs get a tenth of it.
	exposureRuns = 100
	// requestsPerSecond is the rate of one model at one VM at the planned peak: 17,000/s over 460 VMs and 26 models.
	requestsPerSecond = 17_000.0 / 460 / 26
	// gossipFanout is the number of datagrams that a VM sends a second, gossipEntries that of gossiped entries in each.
	gossipFanout  = 5
	gossipEntries = 10
	// goodFailureRate and badFailureRate are the shares of failed answers, 0 to 1, of a good and of a bad version.
	goodFailureRate = 0.01
	badFailureRate  = 0.2
	// goodSeconds is how long the version is good, maxSeconds how long a rollout is simulated.
	goodSeconds = 120
	maxSeconds  = 1800
	// exposureTarget is the target for the answers of a bad version in one rollout.
	exposureTarget = "< 200"

	// For false halts, falseHaltRuns rollouts with falseHaltAnswers of each version are simulated; the detector runs after every
	// falseHaltBatch answers of each.
	falseHaltRuns    = 1000
	falseHaltAnswers = 20_000
	falseHaltBatch   = 50
)

// exposureRun is the version that is rolled out, stableRun the one that it replaces.
var exposureRun = rollout.Run{Model: "m", Version: "v2", StartedAt: 1}

var stableRun = rollout.Run{Model: "m", Version: "v1", StartedAt: 1}

// simulatedVM is one VM of the simulated fleet.
type simulatedVM struct {
	tally    *rollout.FleetEvidence
	detector rollout.Detector
	halted   bool
	// latest is the latest evidence that the VM has of each VM, itself included.
	latest []vmEvidence
}

// vmEvidence is the evidence that a VM has collected itself.
type vmEvidence struct {
	// second is when it was sent, in simulated seconds from 1 on; 0 if it was never received.
	second int
	// relayed counts how often the receiver has passed it on.
	relayed int
	version rollout.Evidence
	stable  rollout.Evidence
}

// rolloutFleet simulates a rollout of a version that turns bad, until every VM has halted it.
type rolloutFleet struct {
	random *rand.Rand
	vms    []*simulatedVM
	// requestRate is in requests a second at each VM.
	requestRate float64
	// trafficShare is the share of requests that go to the new version.
	trafficShare float64
	// exposed counts the answers of the version since it is bad.
	exposed int
}

// newRolloutFleet returns a fleet without evidence.
func newRolloutFleet(seed uint64, vms int, rate, share float64) *rolloutFleet {
	f := &rolloutFleet{random: rand.New(rand.NewPCG(exposureSeed, seed)), requestRate: rate, trafficShare: share}
	for range vms {
		f.vms = append(f.vms, &simulatedVM{tally: rollout.NewFleetEvidence(), latest: make([]vmEvidence, vms)})
	}
	return f
}

// run simulates the rollout second by second. It returns the number of answers of the bad version until every VM has halted
// it, or -1 if a VM halted it while it was good. measureExposure calls it.
func (f *rolloutFleet) run() int {
	for second := range maxSeconds {
		f.serve(second >= goodSeconds)
		f.gossip(second)
		halted := f.haltVMs()
		if halted > 0 && second < goodSeconds {
			return -1
		}
		if halted == len(f.vms) {
			return f.exposed
		}
	}
	return f.exposed
}

// serve simulates the requests of one second at every VM and adds their answers to the evidence of the VM. run calls it.
func (f *rolloutFleet) serve(bad bool) {
	for i, vm := range f.vms {
		for range f.poisson(f.requestRate) {
			newVersion := f.random.Float64() < f.trafficShare && !vm.halted
			failRate := goodFailureRate
			if newVersion && bad {
				failRate = badFailureRate
				f.exposed++
			}
			answer := rollout.Evidence{Answers: 1}
			if f.random.Float64() < failRate {
				answer.Failures = 1
			}
			if newVersion {
				vm.tally.Add(exposureRun, answer)
				vm.latest[i].version = vm.tally.Local()[exposureRun]
			} else {
				vm.tally.Add(stableRun, answer)
				vm.latest[i].stable = vm.tally.Local()[stableRun]
			}
		}
	}
}

// poisson returns a number from the Poisson distribution with the mean.
func (f *rolloutFleet) poisson(mean float64) int {
	n := 0
	for sum := f.random.ExpFloat64(); sum < mean; sum += f.random.ExpFloat64() {
		n++
	}
	return n
}

// haltVMs runs the detector of each VM and returns how many VMs have halted the rollout. run calls it after each second.
func (f *rolloutFleet) haltVMs() int {
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

// gossip sends datagrams from each VM to random others. Each carries the VM's own evidence, its halt and some gossiped
// entries. run calls it after each second.
func (f *rolloutFleet) gossip(second int) {
	for i, vm := range f.vms {
		vm.latest[i].second = second + 1
		order := vm.gossipOrder()
		for n := range min(gossipFanout, len(f.vms)-1) {
			to := f.vms[f.random.IntN(len(f.vms))]
			to.halted = to.halted || vm.halted
			f.deliver(to, i, vm.latest[i])
			for _, about := range order[min(n*gossipEntries, len(order)):min((n+1)*gossipEntries, len(order))] {
				f.deliver(to, about, vm.latest[about])
				vm.latest[about].relayed++
			}
		}
	}
}

// gossipOrder returns the VMs whose evidence is known: first what was passed on least often, of that the newest.
// gossip sends it in this order.
func (vm *simulatedVM) gossipOrder() []int {
	var list []int
	for i, e := range vm.latest {
		if e.second > 0 {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b int) int {
		return cmp.Or(cmp.Compare(vm.latest[a].relayed, vm.latest[b].relayed), cmp.Compare(vm.latest[b].second, vm.latest[a].second))
	})
	return list
}

// deliver gives a VM the evidence of another, unless it has the same or newer.
func (f *rolloutFleet) deliver(to *simulatedVM, about int, e vmEvidence) {
	if f.vms[about] == to || e.second <= to.latest[about].second {
		return
	}
	e.relayed = 0
	to.latest[about] = e
	vmName := fmt.Sprint(about)
	to.tally.Receive(vmName, 1, exposureRun, e.version)
	to.tally.Receive(vmName, 1, stableRun, e.stable)
}

// measureExposure measures how many callers get an answer of a bad version before every VM has halted its rollout, and how
// often a good version is halted.
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
				exposed := newRolloutFleet(uint64(seed), vms, requestsPerSecond, share).run()
				if exposed < 0 {
					falseHalts++
					continue
				}
				worst = max(worst, exposed)
				sum += exposed
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
		lines = append(lines, Line{name, float64(countFalseHalts(rate)), "roll-outs", "< 1"})
	}
	return lines, nil
}

// countFalseHalts counts the rollouts that are halted though both versions fail at the same rate. measureExposure calls it
// for each rate.
func countFalseHalts(rate float64) int {
	halts := 0
	for seed := range falseHaltRuns {
		r := rand.New(rand.NewPCG(exposureSeed, uint64(seed)))
		var d rollout.Detector
		var version, stable rollout.Evidence
		for range falseHaltAnswers / falseHaltBatch {
			for range falseHaltBatch {
				addAnswer(r, &version, rate)
				addAnswer(r, &stable, rate)
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

// addAnswer adds an answer that fails and is rated bad at the rate.
func addAnswer(r *rand.Rand, e *rollout.Evidence, rate float64) {
	e.Answers++
	if r.Float64() < rate {
		e.Failures++
	}
	e.Rated, e.RatedBad = e.Answers, e.Failures
}
