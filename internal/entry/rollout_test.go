package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
)

// rolloutChange returns a change that sets the rollout of composer/v2 to a state.
func rolloutChange(state catalog.RollOutState) catalog.Change {
	return catalog.Change{Set: catalog.Configuration{RollOuts: []catalog.RollOut{{
		Model: "composer", Version: "v2", Share: 1, State: state, StartedAt: 1,
	}}}}
}

// disconnectPlatform makes the platform refuse connections and closes the open ones. Server.Close would wait for pending watches.
func (s *site) disconnectPlatform() {
	s.c.Assert(s.platform.Listener.Close(), qt.IsNil)
	s.platform.CloseClientConnections()
}

// TestVMStartsFromPeers starts a VM while the platform is down. It refuses requests until it hears of a peer, and then gets the
// configuration from that.
func TestVMStartsFromPeers(t *testing.T) {
	s := newSite(t)
	s.configure()
	cfg := s.settings(3, "")
	s.disconnectPlatform()
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 1)
	vm := New(cfg, ThisMachine(), logr.Discard())
	task.Start(ctx, "vm", ends, vm.Run)
	s.urls = append(s.urls, "http://"+cfg.Listen.Callers)
	s.waitFor(func() error { return s.checkHealth(2) }, "VM 3 is up")
	early := s.send(2, call{"POST", chatURL, "", "s1", chatBody("composer", "hello", false)})
	s.c.Assert(early.body, qt.Contains, `"code":3005`)
	s.c.Assert(early.body, qt.Contains, `"run":"not_run"`)
	s.c.Assert(vm.configurations.Receive(ctx, peer.State{
		VM: "vm-1", Zone: "zone-1", Revision: 1, ControlAddress: s.vms[0].cfg.Listen.Control,
	}), qt.IsNil)
	s.waitFor(func() error {
		now, err := vm.configurations.Current(ctx)
		if err == nil && now.Revision == 0 {
			err = errors.New("no configuration")
		}
		return err
	}, "VM 3 has the configuration of VM 1")
	s.c.Assert(task.Stop(cancel, ends, 1), qt.IsNil)
}

// TestRollOutIsHalted counts failures of a version at one VM and expects the halt on every VM, in the configuration and in the audit
// trail.
func TestRollOutIsHalted(t *testing.T) {
	s := newSite(t)
	s.configure()
	s.submitAndWait("start", rolloutChange(catalog.RollOutRunning))
	for n := range 10_000 {
		s.vms[0].rollouts.CountAnswer("composer", "v2", n%5 == 0)
	}
	for _, vm := range s.vms {
		s.waitFor(func() error {
			now, err := vm.configurations.Current(context.Background())
			r, _ := now.Catalog.FindRollOut("composer")
			if err == nil && r.State != catalog.RollOutHalted {
				err = fmt.Errorf("the rollout is %s", r.State)
			}
			return err
		}, "the halt is in force")
	}
	for i := range s.vms {
		answer := s.send(i, call{"POST", chatURL, "", fmt.Sprint("new", i), chatBody("composer", "hello", false)})
		s.c.Assert(answer.version, qt.Equals, "composer/v1")
	}
	trail, err := s.vms[1].configurations.AuditTrail(context.Background(), 0, 10)
	s.c.Assert(err, qt.IsNil)
	last := trail[len(trail)-1]
	s.c.Assert(strings.HasPrefix(last.ChangeID, "rollout-composer-v2-1-halted"), qt.IsTrue, qt.Commentf("%s", last.ChangeID))
	s.c.Assert(string(last.Objects[0].Before), qt.Contains, "running")
	s.c.Assert(string(last.Objects[0].After), qt.Contains, "requests failed")
}

// TestNewVersionNeedsConfirmedConfiguration checks that new sessions get the new version of a running rollout only while the
// configuration is confirmed as the newest. After the platform is gone they get the stable version; bound sessions keep theirs.
func TestNewVersionNeedsConfirmedConfiguration(t *testing.T) {
	s := newSite(t)
	s.configure()
	s.submitAndWait("start", rolloutChange(catalog.RollOutRunning))
	waitForVersion := func(prefix, want string) string {
		n := 0
		s.waitFor(func() error {
			n++
			got := s.send(1, call{"POST", chatURL, "", fmt.Sprint(prefix, n), chatBody("composer", "hello", false)})
			if got.version != want {
				return fmt.Errorf("version %s", got.version)
			}
			return nil
		}, "a new session gets "+want)
		return fmt.Sprint(prefix, n)
	}
	boundSession := waitForVersion("fresh", "composer/v2")
	s.disconnectPlatform()
	waitForVersion("stale", "composer/v1")
	kept := s.send(1, call{"POST", chatURL, "", boundSession, chatBody("composer", "hello", false)})
	s.c.Assert(kept.version, qt.Equals, "composer/v2")
}

// TestSummarizeZones checks which members make a zone confirm revision 5.
func TestSummarizeZones(t *testing.T) {
	rows := []struct {
		name    string
		members []MemberStatus
		want    bool
	}{
		{"all have it", []MemberStatus{{Zone: "z", Revision: 5}, {Zone: "z", Revision: 6}}, true},
		{"one is behind", []MemberStatus{{Zone: "z", Revision: 5}, {Zone: "z", Revision: 4}}, false},
		{"one is unresponsive", []MemberStatus{{Zone: "z", Revision: 5}, {Zone: "z", Revision: 5, Unresponsive: true}}, false},
		{"first is unresponsive", []MemberStatus{{Zone: "z", Unresponsive: true}, {Zone: "z", Revision: 5}}, false},
		{"one behind is leaving", []MemberStatus{{Zone: "z", Revision: 5}, {Zone: "z", Revision: 4, Leaving: true}}, true},
		{"no member", []MemberStatus{{Zone: "z", Leaving: true}}, false},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			zones := SummarizeZones(row.members, nil)
			c.Assert(len(zones) == 1 && zones[0].Confirms(5), qt.Equals, row.want)
		})
	}
}
