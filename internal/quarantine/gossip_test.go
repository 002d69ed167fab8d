package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMassCrashHidesNoDeadlyBlock guards against evidence that never reaches the other VMs because each of them also names many
// runs that were lost at one moment. No VM saw more than one crash by the deadly block 900, or two.
func TestMassCrashHidesNoDeadlyBlock(t *testing.T) {
	const knownBlocks = 7
	tests := []struct {
		vms int
		// others is the number of runs that each VM lost at one moment.
		others int
		// answered says that the blocks of these were in whole answers shortly before, soundUntilNow that 900 was too.
		answered      bool
		soundUntilNow bool
		crashes       int
	}{
		{66, 0, false, false, 5},
		{66, 1, true, false, 5},
		{66, 4, false, false, 5},
		{66, 4, true, false, 5},
		{66, 4, true, true, 9},
		{84, 4, true, true, 9},
		{195, 0, true, true, 9},
		{195, 4, true, true, 9},
	}
	for _, test := range tests {
		qt.New(t).Run(fmt.Sprintf("%+v", test), func(c *qt.C) {
			f := &fleetSim{rand: rand.New(rand.NewPCG(1, 2)), vms: newVMs(c, test.vms), zones: 3}
			id := uint64(0)
			for _, b := range f.vms.blocks {
				for block := range uint64(knownBlocks) {
					if test.answered {
						b.AddSurvival([]uint64{1 + block}, 7, f.vms.now.Add(-time.Second))
					}
				}
				if test.soundUntilNow {
					b.AddSurvival([]uint64{900}, 7, f.vms.now.Add(-time.Second))
				}
				for range test.others {
					id++
					b.AddLostRun(LostRun{id, 1<<40 + id%20, []uint64{1 + id%knownBlocks, 1000 + id}, f.vms.now}, f.vms.now)
				}
			}
			for i := range test.crashes {
				id++
				f.vms.now = f.vms.now.Add(150 * time.Millisecond)
				b := f.vms.blocks[i*test.vms/test.crashes]
				b.AddLostRun(LostRun{id, 1<<41 + id, []uint64{900, 1 + uint64(i%4), 5000 + id}, f.vms.now}, f.vms.now)
			}
			for range int(learnTime / 2 / (gossipSteps * fleetStep)) {
				f.vms.now = f.vms.now.Add(gossipSteps * fleetStep)
				f.gossip()
			}
			c.Check(f.vms.quarantined(900, 6, 9), qt.HasLen, test.vms)
		})
	}
}
