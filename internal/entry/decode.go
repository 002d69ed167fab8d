package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/filter"
	"cornelmux/internal/memory"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	// chatPath is the path of chat completions; servicePrefix, the service's name and a path at the service make up the path of
	// a request to a plain service.
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
	// idBytes is the size of assigned IDs before hexadecimal encoding.
	idBytes = 16
	// maxIDBytes is the maximum length of a request ID or session that a caller sends.
	maxIDBytes = 256
	// chatCopies is how many times a chat request takes its body's memory.
	chatCopies = 3
	// lingerTime is how long the rest of a refused body is still read, so that its caller gets the answer.
	lingerTime = 200 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests whose bodies got no memory.
	memoryRetryAfter = time.Second
)

// forwardedFields are the header fields that are forwarded to a plain service, besides the content type.
var forwardedFields = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "If-Match", "If-Modified-Since", "If-None-Match",
	"If-Range", "If-Unmodified-Since", "Range",
}

// decoder decodes one HTTP request. The body is read once the client account is known. It implements filter.Decoder.
type decoder struct {
	w            http.ResponseWriter
	r            *http.Request
	maxBodyBytes int
	// deadline is when the request has to have ended; body is set once it is read, into memory of room.
	deadline time.Time
	room     room
	body     []byte
	// id and session are set as soon as they are known; stream and includeUsage are the caller's choices.
	id           string
	session      string
	stream       bool
	includeUsage bool
}

// room is the memory that a request's body holds.
type room interface {
	memory.Room
	// Release gives back all of it.
	Release()
}

// chatRequest holds the fields of a chat completion request that the router reads.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	N             *int          `json:"n"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Decode implements filter.Decoder. The path selects a chat completion or a plain service; the rest of a service's path and the
// query go to the service unchanged.
func (d *decoder) Decode(a catalog.ClientAccount) (filter.Request, error) {
	if err := d.readBody(); err != nil {
		return filter.Request{}, err
	}
	if !task.Received(d.r.Context()) {
		return filter.Request{}, result.Errorf(result.BadRequest, "the connection was closed for others")
	}
	r := filter.Request{Deadline: d.deadline, Method: d.r.Method, Body: d.body, ContentType: d.r.Header.Get("Content-Type")}
	rest, err := d.identify(a, &r)
	if err != nil {
		return r, err
	}
	switch {
	case path.Clean(rest) != strings.TrimSuffix(rest, "/"):
		return r, result.Errorf(result.NoSuchRoute, "path %q has empty or dot segments", rest)
	case rest == chatPath && d.r.Method == http.MethodPost:
		return d.decodeChat(r)
	case strings.HasPrefix(rest, servicePrefix):
		name, below, _ := strings.Cut(strings.TrimPrefix(rest, servicePrefix), "/")
		r.Kind, r.Service, r.Path, r.Query = filter.KindService, name, "/"+below, d.r.URL.RawQuery
		r.Fields = endpoint.PickFields(d.r.Header, forwardedFields)
		return r, nil
	default:
		return r, result.Errorf(result.NoSuchRoute, "%s %s", d.r.Method, rest)
	}
}

// readBody reads the request's body, up to maxBodyBytes, into memory that it reserves, for Decode. A longer body is refused, and so is
// one that gets no memory or hasn't ended by the deadline; the rest of these isn't waited for.
func (d *decoder) readBody() error {
	if d.r.ContentLength == 0 {
		return nil
	}
	_ = d.control().SetReadDeadline(d.deadline) // fails only without a connection; net/http ends it with the body
	var err error
	body := memory.Body{
		Reader: d.r.Body, Length: d.r.ContentLength, Limit: int64(d.maxBodyBytes), Granted: func() { task.Widen(d.r.Context()) },
	}
	d.body, err = memory.Receive(d.r.Context(), body, copied{d.room, d.copies()})
	if err == nil {
		return nil
	}
	task.Narrow(d.r.Context())
	_ = d.control().SetReadDeadline(time.Now().Add(lingerTime))
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return result.Errorf(result.TooLarge, "body exceeds %d bytes", d.maxBodyBytes)
	case errors.Is(err, memory.ErrFull):
		return result.Errorf(result.QueueFull, "read the body: %v", err).WithRetryAfter(memoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Errorf(result.DeadlinePassed, "the body hasn't ended by the deadline")
	default:
		return result.Errorf(result.BadRequest, "body: %v", err)
	}
}

// copies returns how many times the request takes its body's memory: the fields and the prompt of a chat request are copies.
func (d *decoder) copies() int64 {
	if d.r.Method == http.MethodPost && strings.HasSuffix(d.r.URL.Path, chatPath) {
		return chatCopies
	}
	return 1
}

// copied is the memory of a body of which there are so many copies. It implements memory.Room.
type copied struct {
	room
	copies int64
}

// Reserve implements memory.Room.
func (c copied) Reserve(ctx context.Context, n int64) error { return c.room.Reserve(ctx, c.copies*n) }

// Shrink implements memory.Room.
func (c copied) Shrink(n int64) { c.room.Shrink(c.copies * n) }

// control returns what controls the request's connection.
func (d *decoder) control() *http.ResponseController { return http.NewResponseController(d.w) }

// identify reads the request ID and the session from where the client account configures them, assigns those that are
// absent, and returns the path without them. In the path, either may come first. Decode calls it before it looks at the
// path.
func (d *decoder) identify(a catalog.ClientAccount, r *filter.Request) (string, error) {
	rest := d.r.URL.Path
	r.ID, rest = d.extract(a.RequestID, rest)
	r.Session, rest = d.extract(a.Session, rest)
	if r.ID == "" {
		r.ID, rest = d.extract(a.RequestID, rest)
	}
	if !validID(r.ID) || !validID(r.Session) {
		return rest, result.Errorf(result.BadRequest, "request ID and session must be UTF-8 of at most %d bytes without control characters", maxIDBytes)
	}
	if r.ID == "" {
		r.ID, r.Assigned = newID(), true
	}
	if r.Session == "" {
		r.Session, r.Transient = newID(), true
	}
	d.id, d.session = r.ID, r.Session
	return rest, nil
}

// validID reports whether a request ID or session can be sent in a header field.
func validID(s string) bool {
	return len(s) <= maxIDBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}

// decodeChat decodes the body of a chat completion request. Decode calls it.
func (d *decoder) decodeChat(r filter.Request) (filter.Request, error) {
	if !utf8.Valid(d.body) {
		return r, result.Errorf(result.BadRequest, "body: invalid UTF-8")
	}
	var c chatRequest
	if err := json.Unmarshal(d.body, &c); err != nil {
		return r, result.Errorf(result.BadRequest, "body: %v", err)
	}
	if c.Model == "" || len(c.Messages) == 0 {
		return r, result.Errorf(result.BadRequest, "a chat request needs model and messages")
	}
	if c.N != nil && *c.N != 1 {
		return r, result.Errorf(result.BadRequest, "n must be 1")
	}
	d.stream, d.includeUsage = c.Stream, c.StreamOptions.IncludeUsage
	r.Kind, r.Model, r.Prompt = filter.KindChat, c.Model, promptText(c.Messages)
	return r, nil
}

// promptText concatenates the text of the messages for decodeChat; content that isn't a string is included as JSON.
func promptText(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		var text string
		if json.Unmarshal(m.Content, &text) == nil {
			b.WriteString(text + "\n")
			continue
		}
		b.Write(m.Content)
	}
	return b.String()
}

// extract returns the value at the place that the client account configures, or "", and the path without it. identify calls
// it for the request ID and for the session.
func (d *decoder) extract(s catalog.Source, urlPath string) (value, rest string) {
	switch s.Place {
	case catalog.PlaceHeader:
		return strings.TrimSpace(d.r.Header.Get(s.Name)), urlPath
	case catalog.PlaceField:
		return strings.TrimSpace(jsonField(d.body, s.Name)), urlPath
	case catalog.PlacePath:
		after, found := strings.CutPrefix(urlPath, "/"+s.Name+"/")
		if !found {
			return "", urlPath
		}
		value, rest, _ = strings.Cut(after, "/")
		return strings.TrimSpace(value), "/" + rest
	default:
		return "", urlPath
	}
}

// jsonField returns a top-level string or number of a JSON object, or "". Of duplicate fields the last one counts, as it does at
// the endpoint. extract calls it.
func jsonField(body []byte, name string) string {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(body, &fields) != nil {
		return ""
	}
	var text string
	if json.Unmarshal(fields[name], &text) == nil {
		return text
	}
	var number json.Number
	if json.Unmarshal(fields[name], &number) == nil {
		return number.String()
	}
	return ""
}

// newID returns a random ID.
func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b) // crypto/rand documents that it never fails
	return hex.EncodeToString(b)
}
