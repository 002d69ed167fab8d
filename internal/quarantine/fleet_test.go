package quarantine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	// fleetStep is the time between two steps of a fleetSim, gossipSteps the number of steps between two states.
	fleetStep   = 20 * time.Millisecond
	gossipSteps = 10
	// fleetTime is how long a fleetSim plays.
	fleetTime = 15 * time.Second
	// restartTime is how long an endpoint is away after a crash.
	restartTime = 3 * time.Second
	// learnTime is the time after the fifth crash by which every VM must know the block, maxLater the number of runs with it
	// that may begin later.
	learnTime = 4 * time.Second
	maxLater  = 3
	// spreadTime is the time in which all VMs hear of an answer that came whole.
	spreadTime = 2 * time.Second
	// maxSends is how often a request may be sent.
	maxSends = 3
	// firstBlocks and subjects are the numbers of sound blocks that begin a prompt, and that follow.
	firstBlocks = 4
	subjects    = 60
)

// simRequest is a request that waits to be sent, or a run of it.
type simRequest struct {
	id     uint64
	vm     int
	blocks []uint64
	sends  int
	// endpoint, startsAt and endsAt are those of its run, sentAt is when that was sent.
	endpoint                 int
	sentAt, startsAt, endsAt time.Time
	// survived says that its VM knows that its endpoint outlived its start.
	survived bool
}

// simEndpoint is an endpoint; its incarnation grows with each crash.
type simEndpoint struct {
	incarnation uint64
	upAt        time.Time
	runs        []*simRequest
}

// fleetSim is a fleet of VMs with endpoints, some of which crash, and blocks that crash the endpoints that begin an answer.
type fleetSim struct {
	rand      *rand.Rand
	vms       *vms
	zones     int
	endpoints []simEndpoint
	// deadly holds the deadly blocks and when they become so.
	deadly map[uint64]time.Time
	// crashes, fifth and later are the crashes by each deadly block, the time of the fifth, and the runs with it that began
	// later than learnTime after that.
	crashes map[uint64]int
	fifth   map[uint64]time.Time
	later   map[uint64]int
	// whole holds when the first answer with a block came whole. sound counts the requests whose blocks all were in such answers
	// spreadTime before, refused those of them that were refused.
	whole   map[uint64]time.Time
	refused int
	sound   int
	nextID  uint64
}

// choose returns whether something of the given chance in 1,000 happens.
func (f *fleetSim) choose(permille int) bool { return f.rand.IntN(1000) < permille }

// pick returns a number below n.
func (f *fleetSim) pick(n int) int { return f.rand.IntN(n) }

// holds returns the deadly block of a prompt, if it has one that is deadly at the time.
func (f *fleetSim) holds(blocks []uint64, now time.Time) (uint64, bool) {
	for _, b := range blocks {
		if at, ok := f.deadly[b]; ok && !now.Before(at) {
			return b, true
		}
	}
	return 0, false
}

// knownSound reports whether none of the blocks is deadly and answers with each came whole spreadTime ago.
func (f *fleetSim) knownSound(blocks []uint64) bool {
	_, bad := f.holds(blocks, f.vms.now)
	return !bad && !slices.ContainsFunc(blocks, func(b uint64) bool {
		return f.whole[b].IsZero() || f.vms.now.Sub(f.whole[b]) < spreadTime
	})
}

// send sends a request to an endpoint that is up, if the VM's Blocks allow it.
func (f *fleetSim) send(r *simRequest) {
	b := f.vms.blocks[r.vm]
	if f.knownSound(r.blocks) {
		f.sound++
	}
	_, remaining := b.Quarantined(r.blocks, f.vms.now)
	if remaining > 0 || (r.sends > 0 && b.HoldsBack(r.id, r.blocks)) {
		if remaining > 0 && f.knownSound(r.blocks) {
			f.refused++
		}
		return
	}
	e := f.pick(len(f.endpoints))
	if f.vms.now.Before(f.endpoints[e].upAt) || r.sends >= maxSends {
		return
	}
	r.sends++
	r.endpoint, r.sentAt, r.survived = e, f.vms.now, false
	r.startsAt = f.vms.now.Add(time.Duration(f.pick(200)) * time.Millisecond)
	r.endsAt = r.startsAt.Add(time.Duration(100+f.pick(900)) * time.Millisecond)
	f.endpoints[e].runs = append(f.endpoints[e].runs, r)
	if bad, ok := f.holds(r.blocks, f.vms.now); ok && !f.fifth[bad].IsZero() && f.vms.now.Sub(f.fifth[bad]) > learnTime {
		f.later[bad]++
	}
}

// lose ends a run with its connection.
func (f *fleetSim) lose(r *simRequest) {
	if !r.survived {
		b := f.vms.blocks[r.vm]
		b.AddLostRun(LostRun{r.id, f.endpointKey(r.endpoint), r.blocks, f.vms.now}, f.vms.now)
	}
	f.send(r)
}

// survive notes that the endpoint outlived the start of a run.
func (f *fleetSim) survive(r *simRequest) {
	if r.survived {
		return
	}
	r.survived = true
	f.vms.blocks[r.vm].AddSurvival(r.blocks, f.endpointKey(r.endpoint), r.sentAt)
	for _, b := range r.blocks {
		if f.whole[b].IsZero() {
			f.whole[b] = f.vms.now
		}
	}
}

// endpointKey returns the key of the endpoint's present incarnation.
func (f *fleetSim) endpointKey(e int) uint64 {
	return 1<<40 + uint64(e)<<20 + f.endpoints[e].incarnation
}

// crash ends an endpoint and all its runs.
func (f *fleetSim) crash(e int) {
	runs := f.endpoints[e].runs
	f.endpoints[e].runs = nil
	f.endpoints[e].upAt = f.vms.now.Add(restartTime)
	for _, r := range runs {
		f.lose(r)
	}
	f.endpoints[e].incarnation++
}

// step lets runs begin and end.
func (f *fleetSim) step(lostPermille int) {
	for e := range f.endpoints {
		var bad uint64
		down := false
		for _, r := range f.endpoints[e].runs {
			if b, ok := f.holds(r.blocks, r.startsAt); ok && !f.vms.now.Before(r.startsAt) {
				bad, down = b, true
			}
		}
		if down {
			if f.crashes[bad]++; f.crashes[bad] == 5 {
				f.fifth[bad] = f.vms.now
			}
			f.crash(e)
			continue
		}
		runs := f.endpoints[e].runs
		f.endpoints[e].runs = nil
		for _, r := range runs {
			switch {
			case !f.vms.now.Before(r.endsAt):
				f.survive(r)
			case !f.vms.now.Before(r.startsAt) && f.choose(lostPermille):
				f.lose(r)
			default:
				if f.vms.now.Sub(r.startsAt) >= StartTime {
					f.survive(r)
				}
				f.endpoints[e].runs = append(f.endpoints[e].runs, r)
			}
		}
	}
}

// gossip sends the state of each VM to the others of its zone and to two elsewhere; one in ten datagrams is lost.
func (f *fleetSim) gossip() {
	n := len(f.vms.blocks)
	for from, b := range f.vms.blocks {
		b.Decide(f.vms.now)
		s := f.vms.collect(from)
		if len(s.LostRuns)+len(s.Clearances)+len(s.BlockQuarantines) == 0 {
			continue
		}
		far := []int{f.pick(n), f.pick(n)}
		for to, other := range f.vms.blocks {
			if to != from && (to%f.zones == from%f.zones || slices.Contains(far, to)) && !f.choose(100) {
				other.Receive(s, f.vms.now)
			}
		}
	}
}

// prompt draws the blocks of a sound request: few beginnings, and many subjects of which some are asked for far more often.
func (f *fleetSim) prompt() []uint64 {
	subject := f.pick(subjects)
	if f.choose(500) {
		subject /= 10
	}
	return []uint64{uint64(1 + f.pick(firstBlocks)), uint64(100 + subject)}
}

// insert puts a block into a prompt, anywhere.
func (f *fleetSim) insert(blocks []uint64, b uint64) []uint64 {
	return slices.Insert(blocks, f.pick(len(blocks)+1), b)
}

// TestFleetFindsDeadlyBlocks plays fleets with one or two deadly blocks, or none, beside crashes and answers that get lost. Not
// more than three runs with a deadly block may begin later than the learn time after its fifth crash. Of the requests whose
// blocks all were in answers that came whole, one in ten may be refused while the VMs don't know the same yet, and none
// later.
func TestFleetFindsDeadlyBlocks(tt *testing.T) {
	c := qt.New(tt)
	rapid.Check(tt, func(t *rapid.T) {
		f := &fleetSim{
			rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), vms: newVMs(c, rapid.IntRange(2, 18).Draw(t, "vms")), zones: rapid.IntRange(1, 5).Draw(t, "zones"),
			endpoints: make([]simEndpoint, rapid.IntRange(8, 40).Draw(t, "endpoints")), deadly: map[uint64]time.Time{},
			crashes: map[uint64]int{}, fifth: map[uint64]time.Time{}, later: map[uint64]int{}, whole: map[uint64]time.Time{},
		}
		sameCompanions := rapid.Bool().Draw(t, "same companions")
		for i := range rapid.IntRange(0, 2).Draw(t, "deadly") {
			since := rapid.IntRange(0, 4000).Draw(t, "since")
			if sameCompanions {
				since = 0
			}
			f.deadly[uint64(900+i)] = start.Add(time.Duration(since) * time.Millisecond)
		}
		perStep := rapid.IntRange(1, 3).Draw(t, "requests per step")
		share := rapid.IntRange(20, 200).Draw(t, "deadly share")
		lost := rapid.IntRange(0, 3).Draw(t, "lost answers")
		crashes := rapid.IntRange(0, 20).Draw(t, "crashes")
		fixed := [][]uint64{f.prompt(), f.prompt()}
		for i := 0; f.vms.now.Sub(start) < fleetTime; i++ {
			f.vms.now = f.vms.now.Add(fleetStep)
			for range perStep {
				r := &simRequest{id: f.nextID, vm: f.pick(len(f.vms.blocks)), blocks: f.prompt()}
				f.nextID++
				if len(f.deadly) > 0 && f.choose(share) {
					bad := f.pick(len(f.deadly))
					if sameCompanions {
						r.blocks = slices.Clone(fixed[bad])
					}
					r.blocks = f.insert(r.blocks, uint64(900+bad))
				}
				f.send(r)
			}
			if f.choose(crashes) {
				f.crash(f.pick(len(f.endpoints)))
			}
			f.step(lost)
			if i%gossipSteps == 0 {
				f.gossip()
			}
		}
		f.check(t)
	})
}

// check fails the test if a deadly block wasn't held back in time, if more than a few sound requests were refused, or if VMs
// still refuse some after they exchanged what they know.
func (f *fleetSim) check(t *rapid.T) {
	for b, n := range f.later {
		if n > maxLater {
			t.Errorf("%d runs with block %d began later than %v after its fifth crash; %d crashes", n, b, learnTime, f.crashes[b])
		}
	}
	if f.refused*10 > f.sound {
		t.Errorf("%d of %d sound requests were refused", f.refused, f.sound)
	}
	for range int(spreadTime / fleetStep / gossipSteps) {
		f.vms.now = f.vms.now.Add(gossipSteps * fleetStep)
		f.gossip()
	}
	for subject := range uint64(subjects) {
		for first := range uint64(firstBlocks) {
			prompt := []uint64{1 + first, 100 + subject}
			if list := f.vms.quarantined(prompt...); len(list) > 0 && f.knownSound(prompt) {
				t.Errorf("VMs %v still refuse prompt %v", list, prompt)
			}
		}
	}
}
