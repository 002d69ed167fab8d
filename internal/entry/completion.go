package entry

import (
	"cmp"
	"encoding/json"
	"strings"

	"cornelmux/internal/filter"
)

// Fields of a delta that are not joined as text.
const (
	fieldRole         = "role"
	fieldContent      = "content"
	fieldToolCalls    = "tool_calls"
	fieldFunctionCall = "function_call"
)

// streamChunk is one event of a streamed chat completion.
type streamChunk struct {
	ID                string          `json:"id"`
	Created           json.RawMessage `json:"created"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint"`
	Choices           []streamChoice  `json:"choices"`
	Usage             json.RawMessage `json:"usage"`
}

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

// toolCall is a call that the model asks for; in deltas its arguments come in parts.
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

func (f *functionCall) join(part functionCall) {
	if part.Name != "" {
		f.Name = part.Name
	}
	f.Arguments += part.Arguments
}

// completion is a whole chat completion, as a caller gets it that asked for no stream.
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

// joiner puts the chunks of a streamed completion together.
type joiner struct {
	id          string
	created     json.RawMessage
	fingerprint json.RawMessage
	usage       json.RawMessage
	finish      string
	logprobs    *logprobs
	text        map[string]*strings.Builder
	calls       []toolCall
	function    *functionCall
	// other holds the newest value of every field that is neither text nor a call.
	other map[string]json.RawMessage
}

func newJoiner() *joiner {
	return &joiner{text: map[string]*strings.Builder{}, other: map[string]json.RawMessage{}}
}

// add takes in the next chunk.
func (j *joiner) add(data []byte) error {
	var c streamChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	for _, choice := range c.Choices {
		if choice.Index == 0 {
			j.choice(choice)
		}
	}
	j.id = cmp.Or(j.id, c.ID)
	j.created = newest(j.created, c.Created)
	j.fingerprint = newest(j.fingerprint, c.SystemFingerprint)
	j.usage = newest(j.usage, c.Usage)
	return nil
}

func newest(old, value json.RawMessage) json.RawMessage {
	if len(value) == 0 || string(value) == "null" {
		return old
	}
	return value
}

func (j *joiner) choice(c streamChoice) {
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
		j.field(name, value)
	}
}

func (j *joiner) field(name string, value json.RawMessage) {
	var text string
	switch {
	case string(value) == "null":
	case name == fieldToolCalls:
		j.toolCalls(value)
	case name == fieldFunctionCall:
		j.functionCall(value)
	case name != fieldRole && json.Unmarshal(value, &text) == nil:
		if j.text[name] == nil {
			j.text[name] = &strings.Builder{}
		}
		j.text[name].WriteString(text)
	default:
		j.other[name] = value
	}
}

func (j *joiner) toolCalls(value json.RawMessage) {
	var parts []toolCall
	if json.Unmarshal(value, &parts) != nil {
		j.other[fieldToolCalls] = value
		return
	}
	for _, part := range parts {
		i := j.call(part.Index)
		if part.ID != "" {
			j.calls[i].ID = part.ID
		}
		if part.Type != "" {
			j.calls[i].Type = part.Type
		}
		j.calls[i].Function.join(part.Function)
	}
}

// call returns the place of the call with the index, which it adds if it is new.
func (j *joiner) call(index int) int {
	for i := range j.calls {
		if j.calls[i].Index == index {
			return i
		}
	}
	j.calls = append(j.calls, toolCall{Index: index, Type: "function"})
	return len(j.calls) - 1
}

func (j *joiner) functionCall(value json.RawMessage) {
	var part functionCall
	if json.Unmarshal(value, &part) != nil {
		return
	}
	if j.function == nil {
		j.function = &functionCall{}
	}
	j.function.join(part)
}

// whole returns the completion once every chunk was added.
func (j *joiner) whole(h filter.Head) (completion, error) {
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
