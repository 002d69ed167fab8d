package filter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"cornelmux/internal/configuration"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/internal/standin"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	// testSilence is the silence timeout of connections, testRunID the run ID of the requests of sendExchange.
	testSilence = 100 * time.Millisecond
	testRunID   = "parish/r1/0"
)

// fixedConfiguration is a Configurations that always returns the same snapshot.
type fixedConfiguration struct{ snapshot configuration.Snapshot }

func (f fixedConfiguration) Current(context.Context) (configuration.Snapshot, error) {
	return f.snapshot, nil
}

func testSnapshot(withdrawals ...catalog.Withdrawal) configuration.Snapshot {
	return configuration.NewSnapshot(1, catalog.Configuration{
		Accounts: []catalog.ClientAccount{{Name: "parish", Grants: []catalog.Grant{{Model: "composer"}}, Services: []string{"reminders"}}},
		Services: []catalog.Service{{Name: "reminders", Routes: []catalog.Route{{Method: "POST", Path: "/send"}}}}, Withdrawals: withdrawals,
	}, time.Time{})
}

// callerSink records the answer. If gone is set, it is called with the first chunk, as if the caller disconnected.
type callerSink struct {
	head Head
	text strings.Builder
	last bool
	gone context.CancelFunc
}

func (s *callerSink) Begin(_ context.Context, h Head) error {
	s.head = h
	return nil
}

func (s *callerSink) Chunk(_ context.Context, p endpoint.Chunk) error {
	if s.gone != nil {
		s.gone()
	}
	if p.Text == "" && s.head.Version == "" {
		s.text.Write(p.Data)
	}
	s.text.WriteString(p.Content())
	s.last = p.Last
	return nil
}

// runnableHandler is a stand-in for an endpoint, with its task.
type runnableHandler interface {
	http.Handler
	Run(ctx context.Context) error
}

// startServer serves p until the test ends and returns its address.
func startServer(c *qt.C, p runnableHandler) string {
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 1)
	task.Start(ctx, "stand-in", ends, p.Run)
	server := httptest.NewServer(p)
	c.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		c.Check(task.Stop(cancel, ends, 1), qt.IsNil)
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// sendExchange returns a request that is placed on the endpoint at address.
func sendExchange(sink Sink, address string, kind Kind, idempotent bool, text string) *Exchange {
	x := &Exchange{
		Account: catalog.ClientAccount{Name: "parish"}, Sink: sink, Idempotent: idempotent,
		Claim:   journal.Claim{Until: time.Now().Add(time.Hour)},
		Request: Request{ID: "r1", Kind: kind, Model: "composer", Deadline: time.Now().Add(20 * time.Second), Body: []byte(`{"messages":[{"content":"` + text + `"}]}`)},
		Attempt: Attempt{Model: "composer", Version: "v1", Endpoint: endpoint.Endpoint{ID: "e1", Address: address}},
	}
	if kind == KindService {
		x.Request.Service, x.Request.Method, x.Request.Path = "reminders", "POST", "/send"
		x.Attempt.Model, x.Attempt.Version = "", ""
	}
	return x
}

// TestSendUnderFaults sends requests to a stand-in that fails in the given way, and checks the answer, the error and
// that the endpoint started the run at most once. It guards against broken streams that run twice or reach the caller
// garbled.
func TestSendUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	whole := "[composer/v1] one two three four five six "
	rows := []struct {
		name       string
		kind       Kind
		idempotent bool
		fault      string
		code       result.Code
		run        result.Run
		status     int
		sent       bool
		// starts is how often the endpoint started the run.
		starts int
	}{
		{"no fault", KindChat, true, "", result.OK, "", 200, true, 1},
		{"stream breaks", KindChat, false, standin.FaultBreak, result.OK, "", 200, true, 1},
		{"stream goes silent", KindChat, false, standin.FaultSilent, result.OK, "", 200, true, 1},
		{"stream ends early", KindChat, true, standin.FaultEarly, result.OK, "", 200, true, 1},
		{"events come twice", KindChat, true, standin.FaultTwice, result.OK, "", 200, true, 1},
		{"events come in reverse", KindChat, true, standin.FaultShuffle, result.OK, "", 200, true, 1},
		{"events of another run", KindChat, true, standin.FaultForeign, result.OK, "", 200, true, 1},
		{"event over the size limit", KindChat, true, standin.FaultOversize, result.OK, "", 200, true, 1},
		{"run forgotten", KindChat, true, standin.FaultForget, result.AnswerBroken, result.Unknown, 200, true, 1},
		{"run forgotten, not idempotent", KindChat, false, standin.FaultForget, result.AnswerBroken, result.Unknown, 200, true, 1},
		{"engine crashes", KindChat, false, standin.FaultCrash, result.AnswerBroken, result.Unknown, 200, true, 1},
		{"engine refuses", KindChat, false, standin.FaultRefuse, result.QueueFull, result.NotRun, 0, false, 0},
		{"engine rejects", KindChat, false, standin.FaultReject, result.OK, "", 400, true, 0},
		{"engine fails", KindChat, false, standin.FaultFail, result.EndpointFailed, result.Unknown, 0, true, 0},
		{"service answers", KindService, false, "", result.OK, "", 200, true, 1},
		{"service fails", KindService, false, standin.FaultFail, result.OK, "", 500, true, 1},
		{"idempotent service fails", KindService, true, standin.FaultFail, result.EndpointFailed, result.Unknown, 0, true, 1},
		{"service breaks", KindService, false, standin.FaultBreak, result.EndpointFailed, result.Unknown, 0, true, 1},
		{"service goes silent", KindService, false, standin.FaultSilent, result.EndpointFailed, result.Unknown, 0, true, 1},
		{"service answers another run", KindService, false, standin.FaultForeign, result.EndpointFailed, result.Unknown, 0, true, 1},
		{"service's answer is truncated", KindService, false, standin.FaultEarly, result.EndpointFailed, result.Unknown, 0, true, 1},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			var p runnableHandler = standin.NewEngine([]string{"composer/v1"}, time.Millisecond)
			if row.kind == KindService {
				p = standin.NewService("reminders", time.Millisecond)
			}
			address := startServer(c, p)
			client := endpoint.NewClient(time.Second, testSilence)
			defer client.Close()
			sink := &callerSink{}
			x := sendExchange(sink, address, row.kind, row.idempotent, "one two three four five six "+row.fault)
			f := Send{Configurations: fixedConfiguration{testSnapshot()}, Sender: client, MaxResumes: 2}
			err := f.Handle(context.Background(), x, nil)
			if row.code == result.OK {
				c.Assert(err, qt.IsNil)
				c.Assert(sink.last, qt.IsTrue)
				c.Assert(len(x.Runs), qt.Equals, 1)
			} else {
				e := result.From(err)
				c.Assert(e.Code, qt.Equals, row.code, qt.Commentf("%v", err))
				c.Assert(e.Run, qt.Equals, row.run)
				c.Assert(sink.last, qt.IsFalse)
			}
			c.Assert(sink.head.Status, qt.Equals, row.status)
			c.Assert(x.Sent, qt.Equals, row.sent)
			if row.kind == KindChat && row.code == result.OK && row.status == http.StatusOK {
				c.Assert(sink.text.String(), qt.Equals, strings.TrimRight(whole+row.fault, " "))
			}
			c.Assert(startsOf(c, p)[testRunID], qt.Equals, row.starts)
		})
	}
}

// startsOf returns how often the endpoint started each run.
func startsOf(c *qt.C, p runnableHandler) map[string]int {
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/counts", nil))
	counts := map[string]int{}
	c.Assert(json.Unmarshal(w.Body.Bytes(), &counts), qt.IsNil)
	return counts
}

// TestSendCheck checks that nothing is sent, and "not run" reported, if a condition fails right before the first byte.
func TestSendCheck(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	rows := []struct {
		name   string
		change func(f *Send, x *Exchange)
		code   result.Code
	}{
		{"version withdrawn", func(f *Send, _ *Exchange) {
			f.Configurations = fixedConfiguration{testSnapshot(catalog.Withdrawal{Model: "composer", Version: "v1"})}
		}, result.VersionWithdrawn},
		{"claim expired", func(_ *Send, x *Exchange) { x.Claim = journal.Claim{} }, result.DeadlinePassed},
		{"endpoint down", func(_ *Send, x *Exchange) { x.Attempt.Endpoint.Address = "127.0.0.1:1" }, result.EndpointFailed},
	}
	for _, row := range rows {
		for _, idempotent := range []bool{true, false} {
			qt.New(t).Run(row.name, func(c *qt.C) {
				if idempotent && row.name == "claim expired" {
					c.Skip("an idempotent request needs no claim")
				}
				p := standin.NewEngine([]string{"composer/v1"}, time.Millisecond)
				client := endpoint.NewClient(time.Second, testSilence)
				defer client.Close()
				x := sendExchange(&callerSink{}, startServer(c, p), KindChat, idempotent, "one")
				f := Send{Configurations: fixedConfiguration{testSnapshot()}, Sender: client, MaxResumes: 2}
				row.change(&f, x)
				e := result.From(f.Handle(context.Background(), x, nil))
				c.Assert(e.Code, qt.Equals, row.code)
				c.Assert(e.Run, qt.Equals, result.NotRun)
				c.Assert(x.Sent, qt.IsFalse)
				c.Assert(startsOf(c, p), qt.HasLen, 0)
			})
		}
	}
}

// TestSendAfterTheCallerIsGone checks that only a non-idempotent run continues to its end without its caller.
func TestSendAfterTheCallerIsGone(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	rows := []struct {
		name       string
		idempotent bool
		whole      bool
	}{
		{"idempotent run ends with its caller", true, false},
		{"non-idempotent run continues", false, true},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			p := standin.NewEngine([]string{"composer/v1"}, 20*time.Millisecond)
			client := endpoint.NewClient(time.Second, time.Second)
			defer client.Close()
			ctx, gone := context.WithCancel(context.Background())
			defer gone()
			sink := &callerSink{gone: gone}
			x := sendExchange(sink, startServer(c, p), KindChat, row.idempotent, "one two three four")
			f := Send{Configurations: fixedConfiguration{testSnapshot()}, Sender: client, MaxResumes: 2}
			err := f.Handle(ctx, x, nil)
			c.Assert(sink.last, qt.Equals, row.whole)
			if !row.whole {
				e := result.From(err)
				c.Assert(e.Code, qt.Equals, result.DeadlinePassed)
				c.Assert(e.Run, qt.Equals, result.Unknown)
			}
		})
	}
}
