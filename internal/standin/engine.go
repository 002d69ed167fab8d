package standin

import (
	"context"
	"maps"
	"net/http"
	"slices"
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
func (e *Engine) Run(ctx context.Context) error { return handleAll(ctx, e.mailbox, e) }

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
	m.reply <- maps.Clone(e.runCounts)
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
