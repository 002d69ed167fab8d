package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cornelmux/internal/task"
)

// oversizeBytes is the length of the comment that FaultOversize puts into each event.
const oversizeBytes = 2 << 20

// engineRequest is the part of a chat completion request that an engine reads.
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
