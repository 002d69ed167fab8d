package fleet

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/standin"
)

func TestVMStartsFromItsPeersWhileThePlatformIsDown(t *testing.T) {
	s := newSite(t)
	out, err := s.operate(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1")
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	s.until("vm-2 moved", func() error { return s.moved(s.vms[1]) })
	s.faults(standin.PlatformFaults{Down: true})
	s.kill("vm-1")
	s.startVM(s.vms[0])
	s.wait(s.vms[0].control)
	s.until("vm-1 has the configuration with the withdrawal", func() error {
		out, err := s.operate(s.vms[0], "", "get")
		if err == nil && !strings.Contains(out, `"withdrawals"`) {
			err = fmt.Errorf("%s", out)
		}
		return err
	})
}

func TestWithdrawalReachesAVMThatIsCutFromThePlatform(t *testing.T) {
	s := newSite(t)
	s.relays["platform of vm-2"].set(relayRefuse)
	out, err := s.operate(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1")
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	s.until("vm-2 moved", func() error { return s.moved(s.vms[1]) })
}

func TestWithdrawalIsAcceptedThoughItsAnswerIsLost(t *testing.T) {
	s := newSite(t)
	s.faults(standin.PlatformFaults{LoseAnswers: "cornelmux/configuration/"})
	_, err := s.operate(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1", "--change-id", "w-1")
	s.faults(standin.PlatformFaults{})
	if err != nil {
		out, err := s.operate(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1", "--change-id", "w-1")
		s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	}
	for _, v := range s.vms {
		s.until(v.name+" moved", func() error { return s.moved(v) })
	}
}

func (s *site) moved(v *vm) error {
	got, err := s.send(v, chat("", "s", "composer", "hello"))
	if err == nil && got.version != "composer/v2" {
		err = fmt.Errorf("%d %s", got.status, got.version)
	}
	return err
}
