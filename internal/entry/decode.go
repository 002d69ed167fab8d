package entry

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

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

// decoder implements filter.Decoder for HTTP requests.
type decoder struct {
	r        *http.Request
	body     []byte
	deadline time.Time
	stream   bool
	session  string
}

type chatRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Decode implements filter.Decoder.
func (d *decoder) Decode(a catalog.ClientAccount) (filter.Request, error) {
	path := d.r.URL.Path
	var id, session string
	id, path = d.source(a.RequestID, path)
	session, path = d.source(a.Session, path)
	if len(id) > maxIDBytes || len(session) > maxIDBytes {
		return filter.Request{}, result.Errorf(result.BadRequest, "a request ID or session has at most %d bytes", maxIDBytes)
	}
	r := filter.Request{ID: id, Session: session, Deadline: d.deadline, Method: d.r.Method, Body: d.body}
	r.ContentType = d.r.Header.Get("Content-Type")
	if r.ID == "" {
		r.ID, r.Assigned = newID(), true
	}
	if r.Session == "" {
		r.Session, r.Transient = newID(), true
	}
	d.session = r.Session
	switch {
	case path == chatPath && d.r.Method == http.MethodPost:
		return d.chat(r)
	case strings.HasPrefix(path, servicePrefix):
		name, rest, _ := strings.Cut(strings.TrimPrefix(path, servicePrefix), "/")
		r.Kind, r.Service, r.Path = filter.KindService, name, "/"+rest
		if d.r.URL.RawQuery != "" {
			r.Query = d.r.URL.RawQuery
		}
		return r, nil
	default:
		return r, result.Errorf(result.NoSuchRoute, "%s %s", d.r.Method, path)
	}
}

func (d *decoder) chat(r filter.Request) (filter.Request, error) {
	var c chatRequest
	if err := json.Unmarshal(d.body, &c); err != nil {
		return r, result.Errorf(result.BadRequest, "body: %v", err)
	}
	if c.Model == "" || len(c.Messages) == 0 {
		return r, result.Errorf(result.BadRequest, "a chat request needs model and messages")
	}
	var prompt strings.Builder
	for _, m := range c.Messages {
		var text string
		if json.Unmarshal(m.Content, &text) == nil {
			prompt.WriteString(text + "\n")
			continue
		}
		prompt.Write(m.Content)
	}
	d.stream = c.Stream
	r.Kind, r.Model, r.Prompt = filter.KindChat, c.Model, prompt.String()
	return r, nil
}

// source finds a value where the client account says, and returns the path without it.
func (d *decoder) source(s catalog.Source, path string) (value, rest string) {
	switch s.Place {
	case catalog.PlaceHeader:
		return d.r.Header.Get(s.Name), path
	case catalog.PlaceField:
		return field(d.body, s.Name), path
	case catalog.PlacePath:
		after, found := strings.CutPrefix(path, "/"+s.Name+"/")
		if !found {
			return "", path
		}
		value, rest, _ = strings.Cut(after, "/")
		return value, "/" + rest
	default:
		return "", path
	}
}

// field returns a top-level string or number of a JSON object, or "".
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
