package soak

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/standin"
	"cornelmux/internal/task"
	platformstandin "cornelmux/platform/standin"
)

// zonesOf sends some calls to a VM and returns how many runs they caused in each zone.
func (s *site) zonesOf(ctx context.Context, v *vm, id string) map[string]int {
	for n := range 10 {
		call := platformstandin.Call{ID: fmt.Sprint(id, "-", v.name, "-", n), Path: platformstandin.IdempotentPrefix + "x", Key: callerKey}
		_, _ = platformstandin.Send(ctx, s.client, v.callerAddress, call) // only the runs count
	}
	zones := map[string]int{}
	for {
		select {
		case run := <-s.runs:
			for _, r := range s.runners {
				if r.ID == run.Runner {
					zones[r.zone]++
				}
			}
		default:
			return zones
		}
	}
}

// waitZones waits until the calls to a VM run in the zone alone, or if away isn't empty, until none runs in that.
func (s *site) waitZones(ctx context.Context, v *vm, id, zone, away string) {
	for n := 0; ; n++ {
		zones := s.zonesOf(ctx, v, fmt.Sprint(id, n))
		if zones[zone] > 0 && zones[away] == 0 {
			return
		}
		if !task.Sleep(ctx, 100*time.Millisecond) {
			s.c.Fatalf("%s: %s runs in %v", id, v.name, zones)
		}
	}
}

// TestEvacuation empties a zone and gives it back while the store refuses half of the VMs, and restarts VMs meanwhile, all of them at
// last. It guards against a process that never learns of either, or that serves before it knows.
func TestEvacuation(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	s := newSite(ctx, c, 1)
	defer func() {
		s.stop(cancel)
		if t.Failed() {
			s.printLogs()
		}
	}()
	refused := map[string]bool{"vm-1": true, "vm-2": true, "vm-4": true} // of five; vm-0 is the only other one of their zone
	task.Sleep(ctx, recoveryTimeout/2)                                   // the VMs learn of each other
	for _, v := range s.vms {
		if refused[v.name] {
			v.relay.Set(standin.RelayRefuse)
		}
	}
	key := "op/evacuate/a"
	c.Assert(s.store.Put(ctx, key, map[string]any{}), qt.IsNil)
	for _, v := range s.vms {
		s.waitZones(ctx, v, "evacuated", "b", "a")
		c.Check(s.zonesOf(ctx, v, "later")["a"], qt.Equals, 0, qt.Commentf(v.name))
	}
	s.store.Delete(ctx, key)
	for _, v := range s.vms {
		if v.name != "vm-3" { // that one is in zone b
			s.waitZones(ctx, v, "taken back", "a", "")
		}
	}
	c.Assert(s.store.Put(ctx, key, map[string]any{}), qt.IsNil)
	s.endFaults(ctx)
	for _, v := range s.vms {
		v.signalAndWait(syscall.SIGKILL)
	}
	for _, v := range s.vms {
		s.start(v)
	}
	c.Assert(s.waitRecovered(ctx), qt.IsNil)
	for _, v := range s.vms {
		c.Check(s.zonesOf(ctx, v, "restarted")["a"], qt.Equals, 0, qt.Commentf(v.name))
	}
}
