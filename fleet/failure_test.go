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
	// Each of callers callers makes requestsPerCaller bookings, one after the other.
	callers           = 8
	requestsPerCaller = 25
	// maxAttempts is how often one request is sent at most until it is settled.
	maxAttempts = 400
	// notRunField, unknownField and ranField are parts of an error reply that say whether the request ran.
	notRunField  = `"run":"not_run"`
	unknownField = `"run":"unknown"`
	ranField     = `"run":"ran"`
	// journalKeyPrefix begins the platform keys of the journal.
	journalKeyPrefix = "cornelmux/journal/"
)

// callerResult is how a request ended for its caller. At most one of answered, unknown and ran is true.
type callerResult struct {
	id       string
	answered bool
	unknown  bool
	// ran says that the request ran, but its answer is lost with the VM that kept it.
	ran bool
	// lastReply is the last reply to a request for which none of the three is true.
	lastReply string
}

// callUntilSettled sends a booking up to maxAttempts times, alternating between the VMs from VM n on, until it is answered
// or a reply says that it ran or that its outcome is unknown.
func callUntilSettled(s *site, id string, n int) callerResult {
	lastReply := ""
	for attempt := range maxAttempts {
		got, err := s.send(s.vms[(n+attempt)%len(s.vms)], bookingCall(id))
		lastReply = fmt.Sprintf("%s %v", got.body, err)
		switch {
		case err != nil || strings.Contains(got.body, notRunField):
			task.Sleep(context.Background(), pollInterval)
		case got.status == http.StatusOK:
			return callerResult{id: id, answered: true}
		case strings.Contains(got.body, unknownField):
			return callerResult{id: id, unknown: true}
		case strings.Contains(got.body, ranField):
			return callerResult{id: id, ran: true}
		}
	}
	return callerResult{id: id, lastReply: lastReply}
}

// Callers retry bookings while vm-1 is killed and restarted after a quarter of the results. No booking may run twice, one
// that was answered ran once, and each caller loses at most one answer on average.
func TestBookingsRunOnceWhileAVMIsKilledAndRestarted(t *testing.T) {
	s := newSite(t)
	results := make(chan callerResult, callers*requestsPerCaller)
	for n := range callers {
		go func() {
			for i := range requestsPerCaller {
				results <- callUntilSettled(s, fmt.Sprintf("booking-%d-%d", n, i), n)
			}
		}()
	}
	var all []callerResult
	for len(all) < callers*requestsPerCaller {
		all = append(all, <-results)
		if len(all) == callers*requestsPerCaller/4 {
			s.kill("vm-1")
			s.startVM(s.vms[0])
		}
	}
	counts := s.requestCounts()
	lostAnswers := 0
	for _, r := range all {
		s.c.Check(r.answered || r.unknown || r.ran, qt.IsTrue, qt.Commentf("%s was never settled: %s", r.id, r.lastReply))
		s.c.Check(counts[r.id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", r.id, counts[r.id]))
		if r.answered || r.ran {
			s.c.Check(counts[r.id], qt.Equals, 1, qt.Commentf("%s", r.id))
		}
		if r.unknown || r.ran {
			lostAnswers++
		}
	}
	s.c.Check(lostAnswers <= callers, qt.IsTrue, qt.Commentf("%d answers lost, over one a caller", lostAnswers))
	t.Logf("%d requests, %d answers lost", len(all), lostAnswers)
}

// sendAsync sends a call in a goroutine of its own. The channel gets the reply, or one with status 0 if the call failed.
func sendAsync(s *site, v *vm, r call) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		rep, err := s.send(v, r)
		if err != nil {
			rep = reply{}
		}
		replies <- rep
	}()
	return replies
}

// waitForClaim waits until the journal holds a claim of the request.
func (s *site) waitForClaim(id string) {
	s.waitUntil("the journal has a claim of "+id, func() error {
		resp, err := http.Get(s.platformURL + "/v1/kv/" + journalKeyPrefix + "?recurse=true")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		return hasClaim(resp.Body, id)
	})
}

// vm-1 has committed a claim to the journal and is killed or frozen before it sends the request. The other VM must report
// the outcome as unknown, and vm-1 must not send once its claim has expired.
func TestVMKilledOrFrozenBetweenCommitAndSend(t *testing.T) {
	rows := []struct {
		name   string
		freeze bool
	}{{"killed", false}, {"frozen past its claim and thawed", true}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, setting{"limits", "claim_for", "2s"}, setting{"reach", "platform_timeout", "1s"})
			s.setFaults(standin.PlatformFaults{HoldAnswers: journalKeyPrefix})
			first := sendAsync(s, s.vms[0], bookingCall("b-1"))
			s.waitForClaim("b-1")
			if row.freeze {
				s.freeze("vm-1")
			} else {
				s.kill("vm-1")
			}
			s.setFaults(standin.PlatformFaults{})
			got, err := s.send(s.vms[1], bookingCall("b-1"))
			s.c.Assert(err, qt.IsNil)
			s.c.Check(got.body, qt.Contains, unknownField)
			s.c.Check(s.requestCounts()["b-1"], qt.Equals, 0)
			if row.freeze {
				task.Sleep(context.Background(), 3*time.Second)
				s.signal("vm-1", syscall.SIGCONT)
			}
			rep := <-first
			s.c.Check(rep.status != http.StatusOK, qt.IsTrue, qt.Commentf("%s", rep.body))
			s.c.Check(s.requestCounts()["b-1"], qt.Equals, 0)
		})
	}
}

// vm-1 is killed or frozen while the service runs its request. The other VM must report the outcome as unknown and not
// send again; a VM that is thawed returns the answer.
func TestVMKilledOrFrozenBetweenSendAndAnswer(t *testing.T) {
	rows := []struct {
		name   string
		freeze bool
	}{{"killed", false}, {"frozen and thawed", true}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, setting{"reach", "silence", "10s"})
			s.kill("service-1")
			address := strings.TrimPrefix(s.serviceURL, "http://")
			s.start("service-1", "standin", "service", "--listen", address, "--name", "reminders", "--delay", "1s")
			s.waitListening(address)
			s.waitServing(s.vms[0])
			first := sendAsync(s, s.vms[0], bookingCall("b-1"))
			s.waitUntil("the service runs b-1", func() error {
				if s.requestCounts()["b-1"] != 1 {
					return fmt.Errorf("not yet")
				}
				return nil
			})
			if row.freeze {
				s.freeze("vm-1")
			} else {
				s.kill("vm-1")
			}
			got, err := s.send(s.vms[1], bookingCall("b-1"))
			s.c.Assert(err, qt.IsNil)
			s.c.Check(got.body, qt.Contains, unknownField)
			if row.freeze {
				s.signal("vm-1", syscall.SIGCONT)
				s.c.Check((<-first).status, qt.Equals, http.StatusOK)
			}
			s.c.Check(s.requestCounts()["b-1"], qt.Equals, 1)
		})
	}
}

// Non-idempotent requests are refused without running during an outage of the platform, and run once after it.
func TestPlatformOutage(t *testing.T) {
	s := newSite(t)
	s.setFaults(standin.PlatformFaults{Down: true})
	for _, v := range s.vms {
		got, err := s.send(v, bookingCall("b-"+v.name))
		s.c.Assert(err, qt.IsNil)
		s.c.Check(got.body, qt.Contains, notRunField)
		s.c.Check(s.requestCounts()["b-"+v.name], qt.Equals, 0)
	}
	s.setFaults(standin.PlatformFaults{})
	for _, v := range s.vms {
		result := callUntilSettled(s, "b-"+v.name, 0)
		s.c.Check(result.answered, qt.IsTrue)
		s.c.Check(s.requestCounts()["b-"+v.name], qt.Equals, 1)
	}
}

// The answers to writes of the journal are lost, though the writes take effect. The request must not run twice, and ran
// once if it was answered.
func TestLostAnswersOfJournalWrites(t *testing.T) {
	s := newSite(t)
	s.setFaults(standin.PlatformFaults{LoseAnswers: journalKeyPrefix})
	first := sendAsync(s, s.vms[0], bookingCall("b-1"))
	rep := <-first
	s.setFaults(standin.PlatformFaults{})
	result := callUntilSettled(s, "b-1", 1)
	s.c.Check(result.answered || result.unknown, qt.IsTrue)
	n := s.requestCounts()["b-1"]
	s.c.Check(n <= 1, qt.IsTrue)
	if rep.status == http.StatusOK || result.answered {
		s.c.Check(n, qt.Equals, 1)
	}
}

// A VM that drains after SIGTERM refuses new requests, completes the one in flight and exits without an error.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	s := newSite(t)
	long := strings.Repeat("word ", 50)
	first := sendAsync(s, s.vms[0], chatCall("c-1", "s", "composer", long))
	s.waitUntil("the request is in flight", func() error {
		out, err := s.runOperator(s.vms[0], "", "status")
		if err == nil && !strings.Contains(out, `"in_flight":1`) {
			err = fmt.Errorf("%s", out)
		}
		return err
	})
	s.signal("vm-1", syscall.SIGTERM)
	s.waitUntil("new work is refused", func() error {
		got, err := s.send(s.vms[0], chatCall("c-2", "s", "composer", "hello"))
		if err == nil && !strings.Contains(got.body, notRunField) {
			err = fmt.Errorf("%s", got.body)
		}
		return err
	})
	rep := <-first
	s.c.Check(rep.status, qt.Equals, http.StatusOK)
	s.c.Check(rep.body, qt.Contains, strings.TrimSpace(long))
	s.c.Check(s.procs["vm-1"].Wait(), qt.IsNil)
}

// The connection to the engine fails in the middle of a chat answer. The caller gets the whole answer, no word twice.
func TestEndpointFailsInMidAnswer(t *testing.T) {
	long := strings.Repeat("word ", 50)
	rows := []struct {
		name        string
		injectFault func(s *site)
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
			first := sendAsync(s, s.vms[0], chatCall("c-1", "s", "composer", long))
			task.Sleep(context.Background(), 300*time.Millisecond)
			row.injectFault(s)
			rep := <-first
			s.c.Check(rep.status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.body))
			s.c.Check(rep.body, qt.Contains, strings.TrimSpace(long))
			s.c.Check(strings.Count(rep.body, "word"), qt.Equals, 50)
		})
	}
}

// Chat requests succeed on the other engine right after one was killed.
func TestEngineKilledBeforeItsAnswer(t *testing.T) {
	s := newSite(t)
	s.kill("engine-1")
	for i := range 5 {
		got, err := s.send(s.vms[0], chatCall(fmt.Sprintf("c-%d", i), "s", "composer", "hello"))
		s.c.Assert(err, qt.IsNil)
		s.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
}

// Every VM moves its traffic off a withdrawn version.
func TestWithdrawalReachesEveryVM(t *testing.T) {
	s := newSite(t)
	out, err := s.runOperator(s.vms[0], "", "withdraw", "--model", "composer", "--version", "v1")
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	for _, v := range s.vms {
		s.waitUntil(v.name+" serves composer/v2", func() error {
			got, err := s.send(v, chatCall("", "s", "composer", "hello"))
			if err == nil && got.version != "composer/v2" {
				err = fmt.Errorf("%d %s", got.status, got.version)
			}
			return err
		})
	}
}

// Idempotent chat requests need no write to the platform.
func TestChatIsServedDuringAPlatformOutage(t *testing.T) {
	s := newSite(t)
	s.setFaults(standin.PlatformFaults{Down: true})
	for _, v := range s.vms {
		got, err := s.send(v, chatCall("c-"+v.name, "s", "composer", "hello"))
		s.c.Assert(err, qt.IsNil)
		s.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
}

// VMs learn from the engine's load report that it leaves, and send it no new requests.
func TestLeavingEndpointGetsNoNewWorkWhileThePlatformIsDown(t *testing.T) {
	s := newSite(t)
	s.setFaults(standin.PlatformFaults{Down: true})
	s.put(s.engineURLs["engine-2"]+"/leave", "")
	for _, v := range s.vms {
		s.waitUntil(v.name+" knows that engine-2 leaves", func() error { return s.showsLeaving(v, "engine-2") })
	}
	before := len(s.runCounts(s.engineURLs["engine-2"]))
	const requests = 20
	for i := range requests {
		got, err := s.send(s.vms[i%2], chatCall("", fmt.Sprintf("s-%d", i), "composer", "hello"))
		s.c.Assert(err, qt.IsNil)
		s.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
	s.c.Check(len(s.runCounts(s.engineURLs["engine-2"])), qt.Equals, before)
}

// showsLeaving returns an error unless the VM's status shows the endpoint as leaving.
func (s *site) showsLeaving(v *vm, endpoint string) error {
	out, err := s.runOperator(v, "", "status")
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
