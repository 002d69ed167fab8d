package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"cornelmux/internal/task"
)

// Words in a prompt that ask an engine for a fault; a service looks for some of them in the request body.
const (
	// FaultBreak cuts the connection, on an engine in the middle of the stream.
	FaultBreak = "fault:break"
	// FaultSilent sends nothing more and keeps the connection open.
	FaultSilent = "fault:silent"
	// FaultForeign sends the answer of another request.
	FaultForeign = "fault:foreign"
	// FaultRefuse answers 503 without running the request.
	FaultRefuse = "fault:refuse"
	// FaultForget cuts the connection and drops the run, so that it can't be resumed.
	FaultForget = "fault:forget"
	// FaultCrash cuts every stream, drops all runs and changes the incarnation, as a restart does.
	FaultCrash = "fault:crash"
	// FaultReject answers 400.
	FaultReject = "fault:reject"
	// FaultFail answers 500.
	FaultFail = "fault:fail"
	// FaultEarly ends the answer before it is complete: an engine ends the stream without an error, a service sends less than
	// its Content-Length.
	FaultEarly = "fault:early"
	// FaultTwice sends each event twice.
	FaultTwice = "fault:twice"
	// FaultShuffle sends the events in reverse order.
	FaultShuffle = "fault:shuffle"
	// FaultSlow adds faultSlowDelay to a call of a service.
	FaultSlow = "fault:slow"
	// FaultOversize puts a comment of oversizeBytes into each event.
	FaultOversize = "fault:oversize"
)

// PlatformFaults are the faults of the platform stand-in, set with PUT /faults.
type PlatformFaults struct {
	// Down answers every call with status 503, except those of /faults and /counts.
	Down bool `json:"down,omitempty"`
	// DelayMs delays the same calls, in milliseconds.
	DelayMs int `json:"delay_ms,omitempty"`
	// LoseAnswers cuts the connection instead of answering a write to a key with this prefix; the write takes effect.
	LoseAnswers string `json:"lose_answers,omitempty"`
	// HoldAnswers holds back the answer to a write to a key with this prefix until the faults change or the caller
	// disconnects; the write takes effect.
	HoldAnswers string `json:"hold_answers,omitempty"`
}

type (
	setFaultsMessage struct {
		faults PlatformFaults
		reply  chan<- bool
	}
	getFaultsMessage struct{ reply chan<- faultsReply }
	faultsReply      struct {
		faults PlatformFaults
		// changed is closed when the faults are set again.
		changed <-chan struct{}
	}
)

// handle sets the faults and releases the held answers.
func (m setFaultsMessage) handle(p *Platform) {
	p.faults = m.faults
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
	m.reply <- true
}

func (m getFaultsMessage) handle(p *Platform) { m.reply <- faultsReply{p.faults, p.faultsChanged} }

// serveFaults sets the faults to those in the body.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ok, err := task.Ask(r.Context(), p.mailbox, func(reply chan<- bool) platformMessage { return setFaultsMessage{f, reply} })
	writeJSON(w, ok, err)
}

// currentFaults returns the faults; if ctx ends before, it returns an outage.
func (p *Platform) currentFaults(ctx context.Context) faultsReply {
	f, err := task.Ask(ctx, p.mailbox, func(reply chan<- faultsReply) platformMessage { return getFaultsMessage{reply} })
	if err != nil {
		return faultsReply{faults: PlatformFaults{Down: true}}
	}
	return f
}

// applyRequestFaults delays or refuses a call before it is served, and reports whether to serve it.
func (p *Platform) applyRequestFaults(w http.ResponseWriter, r *http.Request) bool {
	f := p.currentFaults(r.Context()).faults
	if f.DelayMs > 0 && !task.Sleep(r.Context(), time.Duration(f.DelayMs)*time.Millisecond) {
		return false
	}
	if f.Down {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// applyWriteFaults loses or holds back the answer to a write. serveWrite calls it after each write, also after one that
// compare-and-swap refused.
func (p *Platform) applyWriteFaults(r *http.Request, key string) {
	f := p.currentFaults(r.Context())
	if f.faults.LoseAnswers != "" && strings.HasPrefix(key, f.faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if f.faults.HoldAnswers != "" && strings.HasPrefix(key, f.faults.HoldAnswers) {
		select {
		case <-f.changed:
		case <-r.Context().Done():
		}
	}
}
