package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/entry"
	"cornelmux/internal/standin"
	"cornelmux/internal/task"
)

const (
	callers          = 8
	requestsEach     = 25
	maxTries         = 400
	notRun           = `"run":"not_run"`
	unknown          = `"run":"unknown"`
	ran              = `"run":"ran"`
	journalKeyPrefix = "cornelmux/journal/"
)

// callerResult is how one request ended for its caller.
type callerResult struct {
	id       string
	answered bool
	unknown  bool
	// ran says that the request ran but the VM that kept the answer is gone.
	ran bool
	// last is the last reply to a request that was never settled.
	last string
}

// callUntilSettled sends a request again, at the other VM each time, until it is answered or its outcome is unknown.
func callUntilSettled(s *site, id string, n int) callerResult {
	last := ""
	for try := range maxTries {
		got, err := s.send(s.vms[(n+try)%len(s.vms)], booking(id))
		last = fmt.Sprintf("%s %v", got.body, err)
		switch {
		case err != nil || strings.Contains(got.body, notRun):
			task.Sleep(context.Background(), pause)
		case got.status == http.StatusOK:
			return callerResult{id: id, answered: true}
		case strings.Contains(got.body, unknown):
			return callerResult{id: id, unknown: true}
		case strings.Contains(got.body, ran):
			return callerResult{id: id, ran: true}
		}
	}
	return callerResult{id: id, last: last}
}

func TestBookingsRunOnceWhileAVMIsKilledAndRestarted(t *testing.T) {
	s := newSite(t)
	results := make(chan callerResult, callers*requestsEach)
	for n := range callers {
		go func() {
			for i := range requestsEach {
				results <- callUntilSettled(s, fmt.Sprintf("booking-%d-%d", n, i), n)
			}
		}()
	}
	var all []callerResult
	for len(all) < callers*requestsEach {
		all = append(all, <-results)
		if len(all) == callers*requestsEach/4 {
			s.kill("vm-1")
			s.startVM(s.vms[0])
		}
	}
	counts := s.serviceCounts()
	unknowns := 0
	for _, r := range all {
		s.c.Check(r.answered || r.unknown || r.ran, qt.IsTrue, qt.Commentf("%s was never settled: %s", r.id, r.last))
		s.c.Check(counts[r.id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", r.id, counts[r.id]))
		if r.answered || r.ran {
			s.c.Check(counts[r.id], qt.Equals, 1, qt.Commentf("%s", r.id))
		}
		if r.unknown || r.ran {
			unknowns++
		}
	}
	s.c.Check(unknowns <= callers, qt.IsTrue, qt.Commentf("%d answers lost, over one a caller", unknowns))
	t.Logf("%d requests, %d answers lost", len(all), unknowns)
}

// sendAsync sends in a goroutine of its own; the channel gets the reply, or one with status 0 if there was none.
func sendAsync(s *site, v *vm, r call) <-chan reply {
	got := make(chan reply, 1)
	go func() {
		rep, err := s.send(v, r)
		if err != nil {
			rep = reply{}
		}
		got <- rep
	}()
	return got
}

func (s *site) journalHas(id string) {
	s.until("the journal has "+id, func() error {
		resp, err := http.Get(s.platform + "/v1/kv/" + journalKeyPrefix + "?recurse=true")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		return journalContains(resp.Body, id)
	})
}

func TestVMKilledOrFrozenBetweenCommitAndSend(t *testing.T) {
	rows := []struct {
		name   string
		freeze bool
	}{{"killed", false}, {"frozen past its claim and thawed", true}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, option{"limits", "claim_for", "2s"}, option{"reach", "platform_timeout", "1s"})
			s.faults(standin.PlatformFaults{HoldAnswers: journalKeyPrefix})
			first := sendAsync(s, s.vms[0], booking("b-1"))
			s.journalHas("b-1")
			if row.freeze {
				s.signal("vm-1", syscall.SIGSTOP)
			} else {
				s.kill("vm-1")
			}
			s.faults(standin.PlatformFaults{})
			got, err := s.send(s.vms[1], booking("b-1"))
			s.c.Assert(err, qt.IsNil)
			s.c.Check(got.body, qt.Contains, unknown)
			s.c.Check(s.serviceCounts()["b-1"], qt.Equals, 0)
			if row.freeze {
				task.Sleep(context.Background(), 3*time.Second)
				s.signal("vm-1", syscall.SIGCONT)
			}
			rep := <-first
			s.c.Check(rep.status != http.StatusOK, qt.IsTrue, qt.Commentf("%s", rep.body))
			s.c.Check(s.serviceCounts()["b-1"], qt.Equals, 0)
		})
	}
}

func TestVMKilledOrFrozenBetweenSendAndAnswer(t *testing.T) {
	rows := []struct {
		name   string
		freeze bool
	}{{"killed", false}, {"frozen and thawed", true}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, option{"reach", "silence", "10s"})
			s.kill("service-1")
			address := strings.TrimPrefix(s.service, "http://")
			s.start("service-1", "standin", "service", "--listen", address, "--name", "reminders", "--delay", "1s")
			s.wait(address)
			s.warm(s.vms[0])
			first := sendAsync(s, s.vms[0], booking("b-1"))
			s.until("the service runs b-1", func() error {
				if s.serviceCounts()["b-1"] != 1 {
					return fmt.Errorf("not yet")
				}
				return nil
			})
			if row.freeze {
				s.signal("vm-1", syscall.SIGSTOP)
			} else {
				s.kill("vm-1")
			}
			got, err := s.send(s.vms[1], booking("b-1"))
			s.c.Assert(err, qt.IsNil)
			s.c.Check(got.body, qt.Contains, unknown)
			if row.freeze {
				s.signal("vm-1", syscall.SIGCONT)
				s.c.Check((<-first).status, qt.Equals, http.StatusOK)
			}
			s.c.Check(s.serviceCounts()["b-1"], qt.Equals, 1)
		})
	}
}

func TestPlatformOutage(t *testing.T) {
	s := newSite(t)
	s.faults(standin.PlatformFaults{Down: true})
	for _, v := range s.vms {
		got, err := s.send(v, booking("b-"+v.name))
		s.c.Assert(err, qt.IsNil)
		s.c.Check(got.body, qt.Contains, notRun)
		s.c.Check(s.serviceCounts()["b-"+v.name], qt.Equals, 0)
	}
	s.faults(standin.PlatformFaults{})
	for _, v := range s.vms {
		result := callUntilSettled(s, "b-"+v.name, 0)
		s.c.Check(result.answered, qt.IsTrue)
		s.c.Check(s.serviceCounts()["b-"+v.name], qt.Equals, 1)
	}
}

func TestLostAnswersOfJournalWrites(t *testing.T) {
	s := newSite(t)
	s.faults(standin.PlatformFaults{LoseAnswers: journalKeyPrefix})
	first := sendAsync(s, s.vms[0], booking("b-1"))
	rep := <-first
	s.faults(standin.PlatformFaults{})
	result := callUntilSettled(s, "b-1", 1)
	s.c.Check(result.answered || result.unknown, qt.IsTrue)
	n := s.serviceCounts()["b-1"]
	s.c.Check(n <= 1, qt.IsTrue)
	if rep.status == http.StatusOK || result.answered {
		s.c.Check(n, qt.Equals, 1)
	}
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	s := newSite(t)
	long := strings.Repeat("word ", 50)
	first := sendAsync(s, s.vms[0], chat("c-1", "s", "composer", long))
	s.until("the request is in flight", func() error {
		out, err := s.operate(s.vms[0], "", "status")
		if err == nil && !strings.Contains(out, `"in_flight":1`) {
			err = fmt.Errorf("%s", out)
		}
		return err
	})
	s.signal("vm-1", syscall.SIGTERM)
	s.until("new work is refused", func() error {
		got, err := s.send(s.vms[0], chat("c-2", "s", "composer", "hello"))
		if err == nil && !strings.Contains(got.body, notRun) {
			err = fmt.Errorf("%s", got.body)
		}
		return err
	})
	rep := <-first
	s.c.Check(rep.status, qt.Equals, http.StatusOK)
	s.c.Check(rep.body, qt.Contains, strings.TrimSpace(long))
	s.c.Check(s.procs["vm-1"].Wait(), qt.IsNil)
}

func TestEndpointFailsInMidAnswer(t *testing.T) {
	long := strings.Repeat("word ", 50)
	rows := []struct {
		name string
		fail func(s *site)
	}{
		{"connection goes silent", func(s *site) { s.relays["engine-1"].Set(standin.RelaySilent) }},
		{"connection is cut", func(s *site) {
			s.relays["engine-1"].Set(standin.RelayRefuse)
			s.relays["engine-1"].Set(standin.RelayPass)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t)
			first := sendAsync(s, s.vms[0], chat("c-1", "s", "composer", long))
			task.Sleep(context.Background(), 300*time.Millisecond)
			row.fail(s)
			rep := <-first
			s.c.Check(rep.status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.body))
			s.c.Check(rep.body, qt.Contains, strings.TrimSpace(long))
			s.c.Check(strings.Count(rep.body, "word"), qt.Equals, 50)
		})
	}
}

func TestEngineKilledBeforeItsAnswer(t *testing.T) {
	s := newSite(t)
	s.kill("engine-1")
	for i := range 5 {
		got, err := s.send(s.vms[0], chat(fmt.Sprintf("c-%d", i), "s", "composer", "hello"))
		s.c.Assert(err, qt.IsNil)
		s.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
}

func TestWithdrawalReachesEveryVM(t *testing.T) {
	s := newSite(t)
	out, err := s.operate(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1")
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	for _, v := range s.vms {
		s.until(v.name+" moved", func() error {
			got, err := s.send(v, chat("", "s", "composer", "hello"))
			if err == nil && got.version != "composer/v2" {
				err = fmt.Errorf("%d %s", got.status, got.version)
			}
			return err
		})
	}
}

func TestChatIsServedDuringAPlatformOutage(t *testing.T) {
	s := newSite(t)
	s.faults(standin.PlatformFaults{Down: true})
	for _, v := range s.vms {
		got, err := s.send(v, chat("c-"+v.name, "s", "composer", "hello"))
		s.c.Assert(err, qt.IsNil)
		s.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
}

func TestLeavingEndpointGetsNoNewWorkWhileThePlatformIsDown(t *testing.T) {
	s := newSite(t)
	s.faults(standin.PlatformFaults{Down: true})
	s.put(s.engines["engine-2"]+"/leave", "")
	for _, v := range s.vms {
		s.until(v.name+" knows that engine-2 leaves", func() error { return s.knowsLeaving(v, "engine-2") })
	}
	before := len(s.counts(s.engines["engine-2"]))
	const requests = 20
	for i := range requests {
		got, err := s.send(s.vms[i%2], chat("", fmt.Sprintf("s-%d", i), "composer", "hello"))
		s.c.Assert(err, qt.IsNil)
		s.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
	s.c.Check(len(s.counts(s.engines["engine-2"])), qt.Equals, before)
}

// knowsLeaving reports an error unless the VM's status shows the endpoint as leaving.
func (s *site) knowsLeaving(v *vm, endpoint string) error {
	out, err := s.operate(v, "", "status")
	if err != nil {
		return err
	}
	var status entry.Status
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		return err
	}
	for _, e := range status.Endpoints {
		if e.ID == endpoint && e.Leaving {
			return nil
		}
	}
	return fmt.Errorf("%s", out)
}
