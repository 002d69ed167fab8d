package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBlockIsReleasedWhenItsEndpointsLive guards against the refusal of a sound block for all of Duration: three endpoints reset
// runs with it, and answers that they began later come whole only after the verdict.
func TestBlockIsReleasedWhenItsEndpointsLive(t *testing.T) {
	c := qt.New(t)
	f := newVMs(c, 3)
	losses := []time.Time{}
	for i := range 3 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.blocks[i].AddLostRun(LostRun{uint64(i + 1), uint64(1001 + i), []uint64{uint64(i), 90}, f.now}, f.now)
		losses = append(losses, f.now)
		f.exchange(1, none)
	}
	f.exchange(3, none)
	c.Assert(f.quarantined(90), qt.HasLen, 3)
	for i := range 3 {
		f.blocks[i].AddSurvival([]uint64{50}, uint64(1001+i), losses[i].Add(100*time.Millisecond))
	}
	f.exchange(10, none)
	c.Check(f.quarantined(90), qt.HasLen, 0)
}

// TestBurstsOfCrashes guards against a block that crashes endpoints in bursts, each shorter than an occasion.
func TestBurstsOfCrashes(t *testing.T) {
	tests := []struct {
		name   string
		vms    int
		size   int
		gap    time.Duration
		bursts int
		shared []uint64 // the first block of each burst's prompts
	}{
		{"five at once, one VM", 1, 5, 5 * time.Second, 2, nil},
		{"five at once, six VMs", 6, 5, 5 * time.Second, 2, nil},
		{"two at a time", 6, 2, 4 * time.Second, 4, nil},
		{"companion changes", 6, 4, 5 * time.Second, 3, []uint64{7, 7, 8, 9}},
	}
	for _, test := range tests {
		qt.New(t).Run(test.name, func(c *qt.C) {
			f := newVMs(c, test.vms)
			id, later := 0, 0
			var fifth time.Time
			for burst := range test.bursts {
				for k := range test.size {
					id++
					first := uint64(id)
					if test.shared != nil {
						first = test.shared[burst]
					}
					prompt := []uint64{90, first}
					at := f.now.Add(time.Duration(k*20) * time.Millisecond)
					b := f.blocks[id%test.vms]
					if _, remaining := b.Quarantined(prompt, at); remaining > 0 {
						continue
					}
					if !fifth.IsZero() && at.Sub(fifth) > learnTime {
						later++
					}
					b.AddLostRun(LostRun{uint64(id), uint64(1000 + id), prompt, at}, at)
					if id == 5 {
						fifth = at
					}
				}
				f.exchange(int(test.gap/(200*time.Millisecond)), none)
			}
			c.Check(later <= maxLater, qt.IsTrue, qt.Commentf("%d later", later))
		})
	}
}

// TestBadVersionDoesntAccuseBlocks guards against the refusal of a popular block because half of its runs go to a version that crashes
// on everything, while the others come whole after a while.
func TestBadVersionDoesntAccuseBlocks(t *testing.T) {
	for _, answerTime := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		qt.New(t).Run(answerTime.String(), func(c *qt.C) {
			const asked, versionStarts = 200, 60
			b := NewBlocks()
			var sent []time.Time // of the runs that will come whole
			now, refused := start, 0
			for i := range asked {
				now = now.Add(100 * time.Millisecond)
				for len(sent) > 0 && now.Sub(sent[0]) >= answerTime {
					b.AddSurvival([]uint64{1, 2}, 77, sent[0])
					sent = sent[1:]
				}
				_, remaining := b.Quarantined([]uint64{1, 2, uint64(100 + i)}, now)
				switch {
				case remaining > 0:
					refused++
				case i < versionStarts || i%2 == 0:
					sent = append(sent, now)
				default:
					b.AddLostRun(LostRun{uint64(i), uint64(5000 + i), []uint64{1, 2}, now}, now)
				}
			}
			c.Check(refused*10 <= asked, qt.IsTrue, qt.Commentf("%d of %d refused", refused, asked))
		})
	}
}
