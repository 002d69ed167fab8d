package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
)

const (
	engineMailbox = 1024
	maxRuns       = 10_000
	maxBodyBytes  = 8 << 20
	oversizeBytes = 2 << 20
)

// Engine is a stand-in of a model engine: it streams chat completions as server-sent events, resumes a run by
// Last-Event-ID, reports its load and announces its leaving. Faults are asked for by words in the prompt.
type Engine struct {
	mailbox     chan engineMessage
	incarnation uint64
	versions    []string
	// interval is the time between tokens.
	interval time.Duration
	running  int
	leaving  bool
	role     string
	// checksFence says whether orders with an old number are refused; fence is the highest number taken.
	checksFence bool
	fence       uint64
	runs        map[string]*engineRun
	order       []string
	counts      map[string]int
	crashed     chan struct{}
}

type engineRun struct {
	model  string
	tokens []string
	// crashed is closed when the engine crashes.
	crashed <-chan struct{}
}

// Words in a prompt that ask an engine for a fault.
const (
	FaultBreak   = "fault:break"
	FaultSilent  = "fault:silent"
	FaultForeign = "fault:foreign"
	FaultRefuse  = "fault:refuse"
	// FaultForget breaks the stream and forgets the run.
	FaultForget = "fault:forget"
	// FaultCrash ends every stream and starts the engine anew, with another incarnation and no runs.
	FaultCrash = "fault:crash"
	// FaultReject answers that the request is bad.
	FaultReject = "fault:reject"
	// FaultFail answers with an internal error.
	FaultFail = "fault:fail"
	// FaultEarly ends the stream before its last event.
	FaultEarly = "fault:early"
	// FaultTwice sends each event twice.
	FaultTwice = "fault:twice"
	// FaultShuffle sends the events in reverse order.
	FaultShuffle = "fault:shuffle"
	// FaultSlow makes a service take its time.
	FaultSlow = "fault:slow"
	// FaultOversize sends an event over every limit.
	FaultOversize = "fault:oversize"
)

// RefusedPrefix stands before the run IDs that an engine counts as refused.
const RefusedPrefix = "refused "

type engineMessage interface{ handle(*Engine) }

type (
	startMessage struct {
		id    string
		model string
		text  string
		reply chan<- startReply
	}
	startReply struct {
		run   *engineRun
		known bool
		ok    bool
	}
	resumeMessage struct {
		id    string
		reply chan<- *engineRun
	}
	endMessage     struct{}
	dropRunMessage struct {
		id    string
		crash bool
	}
	reportMessage struct{ reply chan<- endpoint.Report }
	leaveMessage  struct{ reply chan<- bool }
	runsMessage   struct{ reply chan<- map[string]int }
)

// NewEngine makes an engine that has the versions, each as model/version, loaded.
func NewEngine(versions []string, interval time.Duration) *Engine {
	return &Engine{
		mailbox: make(chan engineMessage, engineMailbox), incarnation: uint64(time.Now().UnixNano()),
		versions: versions, interval: interval, runs: map[string]*engineRun{}, counts: map[string]int{}, crashed: make(chan struct{}), checksFence: true,
	}
}

// IgnoreFences makes the engine take orders whatever their number. It has to be called before Run.
func (e *Engine) IgnoreFences() { e.checksFence = false }

// Run owns the state until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	for {
		select {
		case m := <-e.mailbox:
			m.handle(e)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m startMessage) handle(e *Engine) {
	if e.leaving || !slices.Contains(e.versions, m.model) {
		e.counts[RefusedPrefix+m.id]++
		m.reply <- startReply{}
		return
	}
	e.counts[m.id]++
	e.running++
	run := &engineRun{model: m.model, tokens: answerTokens(m.model, m.text), crashed: e.crashed}
	e.runs[m.id] = run
	e.order = append(e.order, m.id)
	if len(e.order) > maxRuns {
		delete(e.runs, e.order[0])
		e.order = e.order[1:]
	}
	m.reply <- startReply{run: run, ok: true}
}

func (m resumeMessage) handle(e *Engine) {
	run := e.runs[m.id]
	if run != nil {
		e.running++
	}
	m.reply <- run
}

func (endMessage) handle(e *Engine) { e.running-- }

func (m dropRunMessage) handle(e *Engine) {
	delete(e.runs, m.id)
	if m.crash {
		e.incarnation++
		clear(e.runs)
		close(e.crashed)
		e.crashed = make(chan struct{})
	}
}

func (m reportMessage) handle(e *Engine) {
	m.reply <- endpoint.Report{Incarnation: e.incarnation, Running: e.running, Leaving: e.leaving, Versions: e.versions, Role: e.role}
}

func (m leaveMessage) handle(e *Engine) {
	e.leaving = true
	m.reply <- true
}

func (m runsMessage) handle(e *Engine) {
	counts := make(map[string]int, len(e.counts))
	for k, n := range e.counts {
		counts[k] = n
	}
	m.reply <- counts
}

// answerTokens makes the answer: what runs it, then the words of the prompt.
func answerTokens(model, text string) []string {
	tokens := []string{"[" + model + "]"}
	for _, w := range strings.Fields(text) {
		tokens = append(tokens, " "+w)
	}
	return tokens
}

// ServeHTTP serves the engine's interface.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions":
		e.serveChat(w, r)
	case "/orders":
		e.serveOrder(w, r)
	case "/load":
		report, err := task.Ask(r.Context(), e.mailbox, func(reply chan<- endpoint.Report) engineMessage { return reportMessage{reply} })
		writeJSON(w, report, err)
	case "/leave":
		left, err := task.Ask(r.Context(), e.mailbox, func(reply chan<- bool) engineMessage { return leaveMessage{reply} })
		writeJSON(w, left, err)
	case "/counts":
		counts, err := task.Ask(r.Context(), e.mailbox, func(reply chan<- map[string]int) engineMessage { return runsMessage{reply} })
		writeJSON(w, counts, err)
	default:
		http.NotFound(w, r)
	}
}

type engineRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	var req engineRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var text strings.Builder
	for _, m := range req.Messages {
		text.WriteString(m.Content + " ")
	}
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		e.serveResume(w, r, id, last)
		return
	}
	if status := refusal(text.String()); status != 0 {
		http.Error(w, "asked for by the prompt", status)
		return
	}
	started, err := task.Ask(r.Context(), e.mailbox, func(reply chan<- startReply) engineMessage {
		return startMessage{id, req.Model, text.String(), reply}
	})
	if err != nil || !started.ok {
		http.Error(w, "not served here", http.StatusServiceUnavailable)
		return
	}
	e.stream(w, r, id, started.run, 0, text.String())
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, id, last string) {
	offset, err := strconv.Atoi(last[strings.LastIndexByte(last, '#')+1:])
	if err != nil {
		http.Error(w, "bad Last-Event-ID", http.StatusBadRequest)
		return
	}
	run, err := task.Ask(r.Context(), e.mailbox, func(reply chan<- *engineRun) engineMessage { return resumeMessage{id, reply} })
	if err != nil || run == nil {
		http.Error(w, "unknown run", http.StatusGone)
		return
	}
	e.stream(w, r, id, run, offset+1, "")
}

// refusal returns the status that a prompt asks for, or 0.
func refusal(text string) int {
	switch {
	case strings.Contains(text, FaultRefuse):
		return http.StatusServiceUnavailable
	case strings.Contains(text, FaultReject):
		return http.StatusBadRequest
	case strings.Contains(text, FaultFail):
		return http.StatusInternalServerError
	default:
		return 0
	}
}

// stream writes the run's events from offset; the event after the last token holds the usage.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, run *engineRun, offset int, text string) {
	defer func() { e.mailbox <- endMessage{} }()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := offset; i <= len(run.tokens); i++ {
		if !task.Sleep(r.Context(), e.interval) {
			return
		}
		select {
		case <-run.crashed:
			panic(http.ErrAbortHandler)
		default:
		}
		if i == len(run.tokens)/2 && e.fault(r, id, text) {
			return
		}
		if _, err := io.WriteString(w, events(run, id, i, text)); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // the router is gone if this fails
}

// fault does what the prompt asks for in the middle of the stream, and reports whether the stream ends there.
func (e *Engine) fault(r *http.Request, id, text string) bool {
	switch {
	case strings.Contains(text, FaultForget), strings.Contains(text, FaultCrash):
		e.mailbox <- dropRunMessage{id, strings.Contains(text, FaultCrash)}
		panic(http.ErrAbortHandler)
	case strings.Contains(text, FaultBreak):
		panic(http.ErrAbortHandler)
	case strings.Contains(text, FaultSilent):
		<-r.Context().Done()
		return true
	case strings.Contains(text, FaultEarly):
		return true
	default:
		return false
	}
}

// events returns what the stream sends in place of event i.
func events(run *engineRun, id string, i int, text string) string {
	switch {
	case strings.Contains(text, FaultForeign):
		other := &engineRun{model: run.model, tokens: answerTokens(run.model, strings.Repeat("foreign ", len(run.tokens)-1))}
		return eventLines(other, "another/"+id, i)
	case strings.Contains(text, FaultTwice):
		return eventLines(run, id, i) + eventLines(run, id, i)
	case strings.Contains(text, FaultShuffle):
		return eventLines(run, id, len(run.tokens)-i)
	case strings.Contains(text, FaultOversize):
		return ": " + strings.Repeat("x", oversizeBytes) + "\n" + eventLines(run, id, i)
	default:
		return eventLines(run, id, i)
	}
}

func eventLines(run *engineRun, id string, i int) string {
	return fmt.Sprintf("id: %s#%d\ndata: %s\n\n", id, i, event(run, i))
}

type chunkEvent struct {
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index int        `json:"index"`
	Delta chunkDelta `json:"delta"`
}

type chunkDelta struct {
	Content string `json:"content"`
}

type chunkUsage struct {
	TotalTokens int `json:"total_tokens"`
}

func event(run *engineRun, i int) string {
	c := chunkEvent{Object: "chat.completion.chunk", Model: run.model, Choices: []chunkChoice{}}
	if i < len(run.tokens) {
		c.Choices = append(c.Choices, chunkChoice{Delta: chunkDelta{run.tokens[i]}})
	} else {
		c.Usage = &chunkUsage{len(run.tokens)}
	}
	data, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	return string(data)
}
