package entry

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"path"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/filter"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
	idBytes       = 16
	maxIDBytes    = 256
)

// requestFields are the header fields that a plain service gets, besides the body's type.
var requestFields = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "If-Match", "If-Modified-Since", "If-None-Match",
	"If-Range", "If-Unmodified-Since", "Range",
}

// decoder implements filter.Decoder for HTTP requests. The body is read once the client account is known.
type decoder struct {
	w         http.ResponseWriter
	r         *http.Request
	bodyBytes int
	deadline  time.Time
	body      []byte
	// id and session are set as soon as they are known; stream and usage say what the caller asked for.
	id      string
	session string
	stream  bool
	usage   bool
}

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

// Decode implements filter.Decoder.
func (d *decoder) Decode(a catalog.ClientAccount) (filter.Request, error) {
	if err := d.read(); err != nil {
		return filter.Request{}, err
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
		return d.chat(r)
	case strings.HasPrefix(rest, servicePrefix):
		name, below, _ := strings.Cut(strings.TrimPrefix(rest, servicePrefix), "/")
		r.Kind, r.Service, r.Path, r.Query = filter.KindService, name, "/"+below, d.r.URL.RawQuery
		r.Fields = endpoint.PickFields(d.r.Header, requestFields)
		return r, nil
	default:
		return r, result.Errorf(result.NoSuchRoute, "%s %s", d.r.Method, rest)
	}
}

func (d *decoder) read() error {
	var err error
	d.body, err = io.ReadAll(http.MaxBytesReader(d.w, d.r.Body, int64(d.bodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.TooLarge, "over %d bytes", d.bodyBytes)
	}
	if err != nil {
		return result.Errorf(result.BadRequest, "body: %v", err)
	}
	return nil
}

// identify finds the request ID and the session where the client account says, assigns those that are absent,
// and returns the path without them. Either may come first in the path.
func (d *decoder) identify(a catalog.ClientAccount, r *filter.Request) (string, error) {
	rest := d.r.URL.Path
	r.ID, rest = d.source(a.RequestID, rest)
	r.Session, rest = d.source(a.Session, rest)
	if r.ID == "" {
		r.ID, rest = d.source(a.RequestID, rest)
	}
	if !validID(r.ID) || !validID(r.Session) {
		return rest, result.Errorf(result.BadRequest, "a request ID or session is UTF-8 of at most %d bytes with no control characters", maxIDBytes)
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

// validID reports whether a value can stand in a header.
func validID(s string) bool {
	return len(s) <= maxIDBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}

func (d *decoder) chat(r filter.Request) (filter.Request, error) {
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
		return r, result.Errorf(result.BadRequest, "n: one answer is given for each request")
	}
	d.stream, d.usage = c.Stream, c.StreamOptions.IncludeUsage
	r.Kind, r.Model, r.Prompt = filter.KindChat, c.Model, prompt(c.Messages)
	return r, nil
}

// prompt joins the text of the messages; content that is no text stands as its JSON.
func prompt(messages []chatMessage) string {
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

// source finds a value where the client account says, and returns the path without it.
func (d *decoder) source(s catalog.Source, from string) (value, rest string) {
	switch s.Place {
	case catalog.PlaceHeader:
		return strings.TrimSpace(d.r.Header.Get(s.Name)), from
	case catalog.PlaceField:
		return strings.TrimSpace(field(d.body, s.Name)), from
	case catalog.PlacePath:
		after, found := strings.CutPrefix(from, "/"+s.Name+"/")
		if !found {
			return "", from
		}
		value, rest, _ = strings.Cut(after, "/")
		return strings.TrimSpace(value), "/" + rest
	default:
		return "", from
	}
}

// field returns a top-level string or number of a JSON object, or "". Of a field that stands twice the last one counts,
// which is also the one that the endpoint gets.
func field(body []byte, name string) string {
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

func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b) // never fails, as crypto/rand documents
	return hex.EncodeToString(b)
}
