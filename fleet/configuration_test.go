package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/standin"
)

// A VM that restarts during an outage of the platform gets the current configuration from its peer.
func TestVMStartsFromItsPeersWhileThePlatformIsDown(t *testing.T) {
	s := newSite(t)
	out, err := s.runOperator(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1")
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	s.waitUntil("vm-2 serves composer/v2", func() error { return s.servesV2(s.vms[1]) })
	s.setFaults(standin.PlatformFaults{Down: true})
	s.kill("vm-1")
	s.startVM(s.vms[0])
	s.waitListening(s.vms[0].controlAddress)
	s.waitUntil("vm-1 has the configuration with the withdrawal", func() error {
		out, err := s.runOperator(s.vms[0], "", "get")
		if err == nil && !strings.Contains(out, `"withdrawals"`) {
			err = fmt.Errorf("%s", out)
		}
		return err
	})
}

// A VM without a connection to the platform learns of a withdrawal from its peer.
func TestWithdrawalReachesAVMThatIsCutFromThePlatform(t *testing.T) {
	s := newSite(t)
	s.relays["platform of vm-2"].Set(standin.RelayRefuse)
	out, err := s.runOperator(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1")
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	s.waitUntil("vm-2 serves composer/v2", func() error { return s.servesV2(s.vms[1]) })
}

// The answers to the writes of a withdrawal are lost, though the writes take effect. The withdrawal takes effect; if it is
// reported as failed, the operator's retry with the same change ID succeeds.
func TestWithdrawalIsAcceptedThoughItsAnswerIsLost(t *testing.T) {
	s := newSite(t)
	s.setFaults(standin.PlatformFaults{LoseAnswers: "cornelmux/configuration/"})
	_, err := s.runOperator(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1", "--change-id", "w-1")
	s.setFaults(standin.PlatformFaults{})
	if err != nil {
		out, err := s.runOperator(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1", "--change-id", "w-1")
		s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	}
	for _, v := range s.vms {
		s.waitUntil(v.name+" serves composer/v2", func() error { return s.servesV2(v) })
	}
}

// Applying the current configuration once more creates neither a revision nor a record in the audit trail.
func TestApplyOfCurrentConfigurationChangesNothing(t *testing.T) {
	s := newSite(t)
	file, err := s.runOperator(s.vms[0], "", "get")
	s.c.Assert(err, qt.IsNil)
	out, err := s.runOperator(s.vms[0], file, "apply", "--change-id", "again")
	s.c.Assert(err, qt.IsNil)
	s.c.Check(out, qt.Equals, "nothing to change at revision 1\n")
	auditTrail, err := s.runOperator(s.vms[0], "", "audit")
	s.c.Assert(err, qt.IsNil)
	s.c.Check(auditTrail, qt.Not(qt.Contains), "again")
}

// servesV2 returns an error unless the VM answers a chat request with version v2 of composer.
func (s *site) servesV2(v *vm) error {
	got, err := s.send(v, chatCall("", "s", "composer", "hello"))
	if err == nil && got.version != "composer/v2" {
		err = fmt.Errorf("%d %s", got.status, got.version)
	}
	return err
}

// servedVersion returns the version that answers a session at the VM. It waits while none does.
func (s *site) servedVersion(v *vm, session string) string {
	version := ""
	s.waitUntil(v.name+" answers "+session, func() error {
		got, err := s.send(v, chatCall("", session, "composer", "hello"))
		if err == nil && got.status != http.StatusOK {
			err = fmt.Errorf("%d %s", got.status, got.body)
		}
		version = got.version
		return err
	})
	return version
}

// restartVM ends a VM with the signal, starts it again and waits until it reports ready and serves requests.
func (s *site) restartVM(v *vm, sig syscall.Signal) {
	s.signal(v.name, sig)
	_ = s.procs[v.name].Wait()
	s.startVM(v)
	s.waitListening(v.controlAddress)
	s.waitUntil(v.name+" is ready", func() error {
		got, err := s.send(v, call{method: "GET", path: "/healthz"})
		if err == nil && got.status != http.StatusOK {
			err = fmt.Errorf("%s", got.body)
		}
		return err
	})
	s.waitServing(v)
}

// A rollout moves new sessions to the new version. Running sessions stay on the old one, also at the other VM and after
// both VMs have restarted.
func TestSessionsKeepTheirVersionThroughARollOutAndRestarts(t *testing.T) {
	rows := []struct {
		name string
		sig  syscall.Signal
	}{{"killed", syscall.SIGKILL}, {"stopped", syscall.SIGTERM}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t)
			const sessions = 20
			before := map[string]string{}
			for i := range sessions {
				name := fmt.Sprintf("session-%d", i)
				before[name] = s.servedVersion(s.vms[i%2], name)
				s.c.Assert(before[name], qt.Equals, "composer/v1")
			}
			out, err := s.runOperator(s.vms[0], "", "rollout", "start", "--model", "composer", "--version", "v2", "--step", "0.9", "--step-seconds", "0")
			s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
			s.waitUntil("new sessions go to the new version", func() error { return s.newSessionServedBy("composer/v2") })
			for i := range sessions {
				name := fmt.Sprintf("session-%d", i)
				s.c.Check(s.servedVersion(s.vms[(i+1)%2], name), qt.Equals, before[name], qt.Commentf("%s at the other VM", name))
			}
			s.restartVM(s.vms[0], row.sig)
			s.restartVM(s.vms[1], row.sig)
			for i := range sessions {
				name := fmt.Sprintf("session-%d", i)
				s.c.Check(s.servedVersion(s.vms[i%2], name), qt.Equals, before[name], qt.Commentf("%s after the restarts", name))
			}
		})
	}
}

// newSessionServedBy starts a few sessions and returns an error unless one of them runs on the version.
func (s *site) newSessionServedBy(version string) error {
	const tries = 4
	for i := range tries {
		s.sessionCount++
		got, err := s.send(s.vms[i%2], chatCall("", fmt.Sprintf("new-%d", s.sessionCount), "composer", "hello"))
		if err != nil {
			return err
		}
		if got.version == version {
			return nil
		}
	}
	return fmt.Errorf("no new session on %s", version)
}
