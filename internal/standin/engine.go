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
	// engineMailboxSize is the maximum number of messages that wait for an Engine; a call fails beyond it.
	engineMailboxSize = 1024
	// maxRuns is how many runs an engine keeps for resuming.
	maxRuns = 10_000
	// maxBodyBytes bounds what is read of a request body.
	maxBodyBytes = 8 << 20
	// oversizeBytes is the length of the comment that FaultOversize puts into each event.
	oversizeBytes = 2 << 20
)

// Engine is a stand-in of a model engine. It streams chat completions as server-sent events, resumes a run by
// Last-Event-ID, reports its load, announces that it leaves and accepts orders. Words in the prompt (Fault...) ask for
// faults. Run owns the state; ServeHTTP reaches it through the mailbox.
type Engine struct {
	mailbox chan engineMessage
	// incarnation is the start time in Unix nanoseconds; FaultCrash raises it by one.
	incarnation uint64
	// versions are the loaded model versions, each as model/version.
	versions []string
	// tokenInterval is the time before each event.
	tokenInterval time.Duration
	// running is the number of open streams.
	running int
	leaving bool
	role    string
	// checksFence says whether orders with a fencing number below highestFence are refused.
	checksFence  bool
	highestFence uint64
	// runs holds the newest maxRuns runs by run ID (header X-Request-Id), runOrder their IDs from the oldest on.
	runs     map[string]*engineRun
	runOrder []string
	// runCounts counts how often each run ID was started or, under RefusedPrefix, refused.
	runCounts map[string]int
	// crashed is closed by FaultCrash and then replaced.
	crashed chan struct{}
}

// engineRun is one answer of an engine, kept so that it can be resumed.
type engineRun struct {
	model string
	// tokens are the words of the answer, one for each event.
	tokens []string
	// crashed is closed when the engine crashes.
	crashed <-chan struct{}
}

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

// RefusedPrefix stands before the run IDs under which an engine counts refused runs.
const RefusedPrefix = "refused "

// engineMessage is a message to the goroutine that owns an engine's state.
type engineMessage interface{ handle(*Engine) }

type (
	// startMessage starts a run, or is refused if the engine leaves or hasn't loaded the model version.
	startMessage struct {
		id     string
		model  string
		prompt string
		reply  chan<- startReply
	}
	// startReply holds the run; ok is false if the run was refused.
	startReply struct {
		run   *engineRun
		known bool
		ok    bool
	}
	// resumeMessage asks for a kept run; the reply is nil if there is none.
	resumeMessage struct {
		id    string
		reply chan<- *engineRun
	}
	// streamEndedMessage follows each startMessage and resumeMessage that got a run.
	streamEndedMessage struct{}
	// dropRunMessage drops a run, or with crash all of them and every open stream.
	dropRunMessage struct {
		id    string
		crash bool
	}
	reportMessage    struct{ reply chan<- endpoint.Report }
	leaveMessage     struct{ reply chan<- bool }
	runCountsMessage struct{ reply chan<- map[string]int }
)

// NewEngine returns an engine that has loaded the versions, each given as model/version.
func NewEngine(versions []string, interval time.Duration) *Engine {
	return &Engine{
		mailbox: make(chan engineMessage, engineMailboxSize), incarnation: uint64(time.Now().UnixNano()),
		versions: versions, tokenInterval: interval, runs: map[string]*engineRun{}, runCounts: map[string]int{}, crashed: make(chan struct{}), checksFence: true,
	}
}

// IgnoreFences makes the engine accept orders whatever their fencing number. It must be called before Run.
func (e *Engine) IgnoreFences() { e.checksFence = false }

// Run owns the state and handles messages until ctx ends.
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

// handle starts and counts a run, and drops the oldest one over maxRuns. serveChat sends the message.
func (m startMessage) handle(e *Engine) {
	if e.leaving || !slices.Contains(e.versions, m.model) {
		e.runCounts[RefusedPrefix+m.id]++
		m.reply <- startReply{}
		return
	}
	e.runCounts[m.id]++
	e.running++
	run := &engineRun{model: m.model, tokens: answerTokens(m.model, m.prompt), crashed: e.crashed}
	e.runs[m.id] = run
	e.runOrder = append(e.runOrder, m.id)
	if len(e.runOrder) > maxRuns {
		delete(e.runs, e.runOrder[0])
		e.runOrder = e.runOrder[1:]
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

func (streamEndedMessage) handle(e *Engine) { e.running-- }

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

func (m runCountsMessage) handle(e *Engine) {
	counts := make(map[string]int, len(e.runCounts))
	for k, n := range e.runCounts {
		counts[k] = n
	}
	m.reply <- counts
}

// answerTokens returns the tokens of an answer: the model version in brackets, then the words of the prompt.
func answerTokens(model, prompt string) []string {
	tokens := []string{"[" + model + "]"}
	for _, w := range strings.Fields(prompt) {
		tokens = append(tokens, " "+w)
	}
	return tokens
}

// ServeHTTP serves chat completions, orders, the load report, the leave command and the run counts.
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
		counts, err := task.Ask(r.Context(), e.mailbox, func(reply chan<- map[string]int) engineMessage { return runCountsMessage{reply} })
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

// serveChat starts or resumes a run and streams it. A prompt that asks for a refusal gets that instead. ServeHTTP calls it.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	var req engineRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var prompt strings.Builder
	for _, m := range req.Messages {
		prompt.WriteString(m.Content + " ")
	}
	if lastEventID := r.Header.Get("Last-Event-ID"); lastEventID != "" {
		e.serveResume(w, r, id, lastEventID)
		return
	}
	if status := refusalStatus(prompt.String()); status != 0 {
		http.Error(w, "fault requested by the prompt", status)
		return
	}
	started, err := task.Ask(r.Context(), e.mailbox, func(reply chan<- startReply) engineMessage {
		return startMessage{id, req.Model, prompt.String(), reply}
	})
	if err != nil || !started.ok {
		http.Error(w, "the engine does not serve this model version", http.StatusServiceUnavailable)
		return
	}
	e.stream(w, r, id, started.run, 0, prompt.String())
}

// serveResume streams what follows the event ID in the header Last-Event-ID, or answers 410 if the run isn't kept. serveChat
// calls it.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, id, lastEventID string) {
	offset, err := strconv.Atoi(lastEventID[strings.LastIndexByte(lastEventID, '#')+1:])
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

// refusalStatus returns the error status that a prompt asks for, or 0, for serveChat, which then starts no run.
func refusalStatus(prompt string) int {
	switch {
	case strings.Contains(prompt, FaultRefuse):
		return http.StatusServiceUnavailable
	case strings.Contains(prompt, FaultReject):
		return http.StatusBadRequest
	case strings.Contains(prompt, FaultFail):
		return http.StatusInternalServerError
	default:
		return 0
	}
}

// stream writes the run's events from offset on, one each tokenInterval; the event after the last token holds the usage.
// Faults that end a stream take effect halfway through the tokens. serveChat and serveResume call it.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, run *engineRun, offset int, prompt string) {
	defer func() { e.mailbox <- streamEndedMessage{} }()
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := offset; i <= len(run.tokens); i++ {
		if !task.Sleep(r.Context(), e.tokenInterval) {
			return
		}
		select {
		case <-run.crashed:
			panic(http.ErrAbortHandler)
		default:
		}
		if i == len(run.tokens)/2 && e.injectFault(r, id, prompt) {
			return
		}
		if _, err := io.WriteString(w, encodeEvents(run, id, i, prompt)); err != nil {
			return
		}
		if rc.Flush() != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // an error means that the router has disconnected
}

// injectFault carries out a fault that ends the stream, halfway through the tokens, and reports whether stream returns. To
// cut the connection it panics with http.ErrAbortHandler. stream calls it.
func (e *Engine) injectFault(r *http.Request, id, prompt string) bool {
	switch {
	case strings.Contains(prompt, FaultForget), strings.Contains(prompt, FaultCrash):
		e.mailbox <- dropRunMessage{id, strings.Contains(prompt, FaultCrash)}
		panic(http.ErrAbortHandler)
	case strings.Contains(prompt, FaultBreak):
		panic(http.ErrAbortHandler)
	case strings.Contains(prompt, FaultSilent):
		<-r.Context().Done()
		return true
	case strings.Contains(prompt, FaultEarly):
		return true
	default:
		return false
	}
}

// encodeEvents returns what the stream sends as event i, altered if the prompt asks for it. stream calls it.
func encodeEvents(run *engineRun, id string, i int, prompt string) string {
	switch {
	case strings.Contains(prompt, FaultForeign):
		other := &engineRun{model: run.model, tokens: answerTokens(run.model, strings.Repeat("foreign ", len(run.tokens)-1))}
		return encodeEvent(other, "another/"+id, i)
	case strings.Contains(prompt, FaultTwice):
		return encodeEvent(run, id, i) + encodeEvent(run, id, i)
	case strings.Contains(prompt, FaultShuffle):
		return encodeEvent(run, id, len(run.tokens)-i)
	case strings.Contains(prompt, FaultOversize):
		return ": " + strings.Repeat("x", oversizeBytes) + "\n" + encodeEvent(run, id, i)
	default:
		return encodeEvent(run, id, i)
	}
}

// encodeEvent encodes event i as a server-sent event; its ID is the run ID, "#" and i.
func encodeEvent(run *engineRun, id string, i int) string {
	return fmt.Sprintf("id: %s#%d\ndata: %s\n\n", id, i, eventData(run, i))
}

// chunkEvent is a chunk of a chat completion, as JSON in the data of an event.
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

// eventData returns the JSON of token i, or of the usage after the last token. encodeEvent calls it.
func eventData(run *engineRun, i int) string {
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
