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

// PlatformFaults says what the platform stand-in does wrong. It is set with PUT /faults.
type PlatformFaults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down,omitempty"`
	// DelayMs is added to every call.
	DelayMs int `json:"delay_ms,omitempty"`
	// LoseAnswers cuts the connection after a write below the prefix took effect.
	LoseAnswers string `json:"lose_answers,omitempty"`
	// HoldAnswers keeps the answers to writes below the prefix back until the faults change or the caller goes.
	HoldAnswers string `json:"hold_answers,omitempty"`
}

type (
	setFaultsMessage struct {
		faults PlatformFaults
		reply  chan<- bool
	}
	faultsMessage struct{ reply chan<- faultsReply }
	faultsReply   struct {
		faults PlatformFaults
		// changed closes when other faults are set.
		changed <-chan struct{}
	}
)

func (m setFaultsMessage) handle(p *Platform) {
	p.faults = m.faults
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
	m.reply <- true
}

func (m faultsMessage) handle(p *Platform) { m.reply <- faultsReply{p.faults, p.faultsChanged} }

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done, err := task.Ask(r.Context(), p.mailbox, func(reply chan<- bool) platformMessage { return setFaultsMessage{f, reply} })
	writeJSON(w, done, err)
}

func (p *Platform) currentFaults(ctx context.Context) faultsReply {
	f, err := task.Ask(ctx, p.mailbox, func(reply chan<- faultsReply) platformMessage { return faultsMessage{reply} })
	if err != nil {
		return faultsReply{faults: PlatformFaults{Down: true}}
	}
	return f
}

// before does what the faults ask for ahead of a call, and reports whether the call goes on.
func (p *Platform) before(w http.ResponseWriter, r *http.Request) bool {
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

// afterWrite loses or holds back the answer to a write that took effect.
func (p *Platform) afterWrite(r *http.Request, key string) {
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
