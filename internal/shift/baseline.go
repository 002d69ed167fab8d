package shift

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/peer"
)

const (
	// lateFactor is the multiple of the typical time to first byte above which an answer is late, lateMargin the least excess,
	// so that an answer isn't late for a few milliseconds.
	lateFactor = 3.5
	lateMargin = 150 * time.Millisecond
	// slowFactor and slowMargin are the same for the time between events, which varies less.
	slowFactor = 2.5
	slowMargin = 20 * time.Millisecond
	// baselineWeight is the weight of a new answer in the moving mean, 0 to 1.
	baselineWeight = 0.05
	// maxBaselineWeight is the number of answers from which on a VM's baseline counts no more beside those of its peers;
	// older ones have left its moving mean.
	maxBaselineWeight = 20
	// minBaselineSamples is the number of answers that the mean needs before answers are compared with it.
	minBaselineSamples = 20
	// maxLoadClass is the greatest class of load.
	maxLoadClass = 10
	// maxBaselines is the maximum number of baselines that are remembered for a service.
	maxBaselines = 1024
)

// Baseline is the moving mean of a latency of the old version.
type Baseline struct {
	Mean time.Duration
	// Count is the number of answers behind it.
	Count int
}

// Add adds the latency of an answer. The first ones weigh evenly.
func (b *Baseline) Add(latency time.Duration) {
	b.Count++
	b.Mean += time.Duration(max(baselineWeight, 1/float64(b.Count)) * float64(latency-b.Mean))
}

// merge adds another baseline. The more answers it has seen, the more it counts, up to maxBaselineWeight.
func (b Baseline) merge(o Baseline) Baseline {
	own, other := float64(min(b.Count, maxBaselineWeight)), float64(min(o.Count, maxBaselineWeight))
	if own+other == 0 {
		return b
	}
	mean := (own*float64(b.Mean) + other*float64(o.Mean)) / (own + other)
	return Baseline{Mean: time.Duration(mean), Count: b.Count + o.Count}
}

// Known reports whether there are enough answers to compare others with.
func (b Baseline) Known() bool { return b.Count >= minBaselineSamples }

// exceeds reports whether a latency is several times the baseline. It returns false until the baseline is known.
func (b Baseline) exceeds(latency time.Duration, factor float64, margin time.Duration) bool {
	return b.Known() && latency > time.Duration(factor*float64(b.Mean)) && latency-b.Mean > margin
}

// IsLate reports whether a time to first byte is several times the baseline.
func (b Baseline) IsLate(ttfb time.Duration) bool { return b.exceeds(ttfb, lateFactor, lateMargin) }

// IsSlow reports whether a time between events is several times the baseline.
func (b Baseline) IsSlow(gap time.Duration) bool { return b.exceeds(gap, slowFactor, slowMargin) }

// baselineKey identifies a baseline: what was timed, by hash, and the class of the load of the endpoint.
type baselineKey struct {
	kind uint64
	load int
}

// Baselines holds the old version's latencies at this VM and its peers, by what was timed and the load.
type Baselines struct {
	own map[baselineKey]*Baseline
	// peers has the latest of each peer, by its name.
	peers map[baselineKey]map[string]Baseline
}

// NewBaselines returns empty Baselines.
func NewBaselines() *Baselines {
	return &Baselines{own: map[baselineKey]*Baseline{}, peers: map[baselineKey]map[string]Baseline{}}
}

// kindHash identifies what was timed to the peers.
func kindHash(kind string) uint64 { return xxhash.Sum64String(kind) }

// loadClass returns the class of an endpoint's load, given the number of runs there: 0 for one, and one more for each
// doubling.
func loadClass(running int) int { return min(bits.Len(uint(max(running-1, 0))), maxLoadClass) }

// Add adds a latency at an endpoint with the number of runs. A new key beyond maxBaselines isn't remembered.
func (b *Baselines) Add(kind string, running int, latency time.Duration) {
	key := baselineKey{kindHash(kind), loadClass(running)}
	known, ok := b.own[key]
	if !ok {
		if len(b.own) >= maxBaselines {
			return
		}
		known = &Baseline{}
		b.own[key] = known
	}
	known.Add(latency)
}

// Receive remembers the latest baseline of another VM. A new key beyond maxBaselines isn't remembered.
func (b *Baselines) Receive(vm string, l peer.LatencyBaseline) {
	key := baselineKey{l.Kind, l.Load}
	vms, ok := b.peers[key]
	if !ok {
		if len(b.peers) >= maxBaselines {
			return
		}
		vms = map[string]Baseline{}
		b.peers[key] = vms
	}
	vms[vm] = Baseline{Mean: l.Mean, Count: l.Count}
}

// At returns the latency at an endpoint with the number of runs. Where too few answers are known of that load, those of
// higher loads count too, nearest first, and then those of lower ones.
func (b *Baselines) At(kind string, running int) Baseline {
	var sum Baseline
	hash, load := kindHash(kind), loadClass(running)
	for i := load; i <= maxLoadClass && !sum.Known(); i++ {
		sum = sum.merge(b.at(baselineKey{hash, i}))
	}
	for i := load - 1; i >= 0 && !sum.Known(); i-- {
		sum = sum.merge(b.at(baselineKey{hash, i}))
	}
	return sum
}

// at returns the baseline of one key, as all VMs know it.
func (b *Baselines) at(key baselineKey) Baseline {
	var sum Baseline
	if own, ok := b.own[key]; ok {
		sum = *own
	}
	for _, o := range b.peers[key] {
		sum = sum.merge(o)
	}
	return sum
}

// Report returns this VM's baselines for its peers.
func (b *Baselines) Report(service string) []peer.LatencyBaseline {
	list := make([]peer.LatencyBaseline, 0, len(b.own))
	for key, own := range b.own {
		list = append(list, peer.LatencyBaseline{Service: service, Kind: key.kind, Load: key.load, Count: own.Count, Mean: own.Mean})
	}
	return list
}

// forgetPeers drops what peers reported, since they report only while a traffic shift runs.
func (b *Baselines) forgetPeers() { clear(b.peers) }
