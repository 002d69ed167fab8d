package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cornelmux/internal/standin"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
)

const (
	// Each of trafficCallers callers sends trafficPerCaller bookings, chat requests and cascades.
	trafficCallers   = 4
	trafficPerCaller = 6
	// faultDuration is how long a process is frozen, cut off or down.
	faultDuration = 1500 * time.Millisecond
)

// chatUntilAnswered sends a chat request up to maxAttempts times, alternating between the VMs from VM n on, until it is
// answered. It returns an error for a wrong answer and for a refusal that doesn't say whether the request ran.
func chatUntilAnswered(s *site, model, id string, n int) error {
	text := "text of " + id
	for attempt := range maxAttempts {
		got, err := s.send(s.vms[(n+attempt)%len(s.vms)], chatCall(id, "session-"+id, model, text))
		switch {
		case err != nil:
		case got.status == http.StatusOK && strings.Contains(got.body, text) && strings.HasPrefix(got.version, "composer/"):
			return nil
		case got.status == http.StatusOK:
			return fmt.Errorf("%s: answered %s %s", id, got.version, got.body)
		case !strings.Contains(got.body, `"run":`):
			return fmt.Errorf("%s: refused without run: %d %s", id, got.status, got.body)
		}
		task.Sleep(context.Background(), pollInterval)
	}
	return fmt.Errorf("%s was never answered", id)
}

// runCaller sends bookings, chat requests and cascades one after the other, each until it is settled.
func runCaller(s *site, n int, bookings chan<- callerResult, chats chan<- error) {
	for i := range trafficPerCaller {
		bookings <- callUntilSettled(s, fmt.Sprintf("b-%d-%d", n, i), n)
		chats <- chatUntilAnswered(s, "composer", fmt.Sprintf("c-%d-%d", n, i), n)
		chats <- chatUntilAnswered(s, "draft", fmt.Sprintf("d-%d-%d", n, i), n)
	}
}

// One process fails and recovers under traffic. Every request is settled, chats and cascades get the right answer, and no
// booking runs twice.
func TestTrafficWhileOneProcessFails(t *testing.T) {
	freeze := func(name string) func(s *site) {
		return func(s *site) {
			s.freeze(name)
			task.Sleep(context.Background(), faultDuration)
			s.signal(name, syscall.SIGCONT)
		}
	}
	cut := func(name string) func(s *site) {
		return func(s *site) {
			s.relays[name].Set(standin.RelayRefuse)
			task.Sleep(context.Background(), faultDuration)
			s.relays[name].Set(standin.RelayPass)
		}
	}
	restart := func(name string) func(s *site) {
		return func(s *site) {
			args := s.procs[name].Args
			s.kill(name)
			task.Sleep(context.Background(), faultDuration)
			s.start(name, args[0], args[1:]...)
		}
	}
	rows := []struct {
		name        string
		injectFault func(s *site)
	}{
		{"entry VM killed and restarted", restart("vm-1")},
		{"entry VM frozen", freeze("vm-1")},
		{"entry VM cut from the platform", cut("platform of vm-1")},
		{"platform frozen", freeze("platform")},
		{"engine killed and restarted", restart("engine-1")},
		{"engine frozen", freeze("engine-1")},
		{"engine cut off", cut("engine-1")},
		{"service frozen", freeze("service-1")},
		{"service cut off", cut("service-1")},
		{"rating service killed and restarted", restart("rating")},
		{"rating service frozen", freeze("rating")},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t)
			bookings := make(chan callerResult, trafficCallers*trafficPerCaller)
			chats := make(chan error, 2*trafficCallers*trafficPerCaller)
			for n := range trafficCallers {
				go runCaller(s, n, bookings, chats)
			}
			results := []callerResult{<-bookings}
			row.injectFault(s)
			for len(results) < trafficCallers*trafficPerCaller {
				results = append(results, <-bookings)
			}
			for range 2 * trafficCallers * trafficPerCaller {
				s.c.Check(<-chats, qt.IsNil)
			}
			counts := s.requestCounts()
			for _, r := range results {
				s.c.Check(r.answered || r.unknown || r.ran, qt.IsTrue, qt.Commentf("%s was never settled: %s", r.id, r.lastReply))
				s.c.Check(counts[r.id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", r.id, counts[r.id]))
				if r.answered || r.ran {
					s.c.Check(counts[r.id], qt.Equals, 1, qt.Commentf("%s", r.id))
				}
			}
		})
	}
}
