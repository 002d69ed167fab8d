package entry

import (
	"cmp"
	"encoding/json"
	"errors"
	"strings"

	"cornelmux/internal/filter"
)

// Names of fields in a delta and in a message.
const (
	fieldRole         = "role"
	fieldContent      = "content"
	fieldToolCalls    = "tool_calls"
	fieldFunctionCall = "function_call"
)

// maxJoinedBytes bounds the data of the events of one joined completion.
const maxJoinedBytes = 64 << 20

// errJoinedTooLong reports events without end.
var errJoinedTooLong = errors.New("the completion is too long to be joined")

// streamChunk is the data of one event of a streamed chat completion.
type streamChunk struct {
	ID                string          `json:"id"`
	Created           json.RawMessage `json:"created"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint"`
	Choices           []streamChoice  `json:"choices"`
	Usage             json.RawMessage `json:"usage"`
}

// streamChoice is one choice of a streamChunk; Delta is what the event adds to the message.
type streamChoice struct {
	Index        int                        `json:"index"`
	Delta        map[string]json.RawMessage `json:"delta"`
	FinishReason string                     `json:"finish_reason"`
	Logprobs     *logprobs                  `json:"logprobs"`
}

type logprobs struct {
	Content []json.RawMessage `json:"content"`
	Refusal []json.RawMessage `json:"refusal,omitempty"`
}

// toolCall is a tool call that the model requests. In a stream, deltas with the same index add to its arguments.
type toolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function functionCall `json:"function"`
}

type functionCall struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// appendPart adds the part of a function call in a delta.
func (f *functionCall) appendPart(part functionCall) {
	if part.Name != "" {
		f.Name = part.Name
	}
	f.Arguments += part.Arguments
}

// completion is a chat completion for a caller that didn't ask for a stream.
type completion struct {
	ID                string             `json:"id"`
	Object            string             `json:"object"`
	Created           json.RawMessage    `json:"created,omitempty"`
	Model             string             `json:"model"`
	SystemFingerprint json.RawMessage    `json:"system_fingerprint,omitempty"`
	Choices           []completionChoice `json:"choices"`
	Usage             json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                        `json:"index"`
	Message      map[string]json.RawMessage `json:"message"`
	FinishReason string                     `json:"finish_reason"`
	Logprobs     *logprobs                  `json:"logprobs,omitempty"`
}

// joiner joins the events of a streamed completion to one completion. Only the first choice counts.
type joiner struct {
	// bytes counts the data of the events so far.
	bytes       int
	id          string
	created     json.RawMessage
	fingerprint json.RawMessage
	usage       json.RawMessage
	finish      string
	logprobs    *logprobs
	// text holds the concatenated strings by field.
	text     map[string]*strings.Builder
	calls    []toolCall
	function *functionCall
	// other holds the latest value of every field that is neither text nor a call.
	other map[string]json.RawMessage
}

func newJoiner() *joiner {
	return &joiner{text: map[string]*strings.Builder{}, other: map[string]json.RawMessage{}}
}

// addChunk adds the data of the next event; sink.joinChunk calls it for each.
func (j *joiner) addChunk(data []byte) error {
	j.bytes += len(data)
	if j.bytes > maxJoinedBytes {
		return errJoinedTooLong
	}
	var c streamChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	for _, choice := range c.Choices {
		if choice.Index == 0 {
			j.addChoice(choice)
		}
	}
	j.id = cmp.Or(j.id, c.ID)
	j.created = latest(j.created, c.Created)
	j.fingerprint = latest(j.fingerprint, c.SystemFingerprint)
	j.usage = latest(j.usage, c.Usage)
	return nil
}

// latest returns value, or old if value is absent or null.
func latest(old, value json.RawMessage) json.RawMessage {
	if len(value) == 0 || string(value) == "null" {
		return old
	}
	return value
}

// addChoice adds the first choice of an event. addChunk calls it.
func (j *joiner) addChoice(c streamChoice) {
	if c.FinishReason != "" {
		j.finish = c.FinishReason
	}
	if c.Logprobs != nil {
		if j.logprobs == nil {
			j.logprobs = &logprobs{}
		}
		j.logprobs.Content = append(j.logprobs.Content, c.Logprobs.Content...)
		j.logprobs.Refusal = append(j.logprobs.Refusal, c.Logprobs.Refusal...)
	}
	for name, value := range c.Delta {
		j.addField(name, value)
	}
}

// addField adds one field of a delta: strings other than the role are concatenated, calls joined by their parts, and of
// everything else the latest value is kept. addChoice calls it for each field.
func (j *joiner) addField(name string, value json.RawMessage) {
	var text string
	switch {
	case string(value) == "null":
	case name == fieldToolCalls:
		j.addToolCalls(value)
	case name == fieldFunctionCall:
		j.addFunctionCall(value)
	case name != fieldRole && json.Unmarshal(value, &text) == nil:
		if j.text[name] == nil {
			j.text[name] = &strings.Builder{}
		}
		j.text[name].WriteString(text)
	default:
		j.other[name] = value
	}
}

// addToolCalls adds the tool calls of a delta, for addField. A value of another form is kept as it is.
func (j *joiner) addToolCalls(value json.RawMessage) {
	var parts []toolCall
	if json.Unmarshal(value, &parts) != nil {
		j.other[fieldToolCalls] = value
		return
	}
	for _, part := range parts {
		i := j.callIndex(part.Index)
		if part.ID != "" {
			j.calls[i].ID = part.ID
		}
		if part.Type != "" {
			j.calls[i].Type = part.Type
		}
		j.calls[i].Function.appendPart(part.Function)
	}
}

// callIndex returns the position in j.calls of the tool call with the index, which it appends if it is new.
func (j *joiner) callIndex(index int) int {
	for i := range j.calls {
		if j.calls[i].Index == index {
			return i
		}
	}
	j.calls = append(j.calls, toolCall{Index: index, Type: "function"})
	return len(j.calls) - 1
}

// addFunctionCall adds the function call of a delta, the predecessor of tool calls in the API.
func (j *joiner) addFunctionCall(value json.RawMessage) {
	var part functionCall
	if json.Unmarshal(value, &part) != nil {
		return
	}
	if j.function == nil {
		j.function = &functionCall{}
	}
	j.function.appendPart(part)
}

// completion returns the joined completion; sink.joinChunk calls it after the last event.
func (j *joiner) completion(h filter.Head) (completion, error) {
	message, err := j.message()
	if err != nil {
		return completion{}, err
	}
	c := completion{
		ID: cmp.Or(j.id, h.RequestID), Object: "chat.completion", Created: j.created, Model: h.Model + "/" + h.Version,
		SystemFingerprint: j.fingerprint, Usage: j.usage,
		Choices: []completionChoice{{Message: message, FinishReason: cmp.Or(j.finish, "stop"), Logprobs: j.logprobs}},
	}
	return c, nil
}

// message returns the message's fields as JSON. Content is null if there was no text. completion calls it.
func (j *joiner) message() (map[string]json.RawMessage, error) {
	message := map[string]json.RawMessage{fieldRole: json.RawMessage(`"assistant"`), fieldContent: json.RawMessage("null")}
	for name, value := range j.other {
		message[name] = value
	}
	set := func(name string, value any) error {
		data, err := json.Marshal(value)
		message[name] = data
		return err
	}
	for name, b := range j.text {
		if err := set(name, b.String()); err != nil {
			return nil, err
		}
	}
	if j.function != nil {
		if err := set(fieldFunctionCall, j.function); err != nil {
			return nil, err
		}
	}
	if len(j.calls) == 0 {
		return message, nil
	}
	return message, set(fieldToolCalls, j.calls)
}
