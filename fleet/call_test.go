package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	qt "github.com/frankban/quicktest"
)

// callerKey is the API key of the client account.
const callerKey = "fleet-test-key"

// call is a caller's request; id and session are sent as the headers Idempotency-Key and X-Session-Id.
type call struct {
	method  string
	path    string
	id      string
	session string
	body    string
}

// reply is what a caller got; version is the model version that answered.
type reply struct {
	status  int
	version string
	body    string
}

// chatCall returns an idempotent chat request.
func chatCall(id, session, model, text string) call {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, model, text)
	return call{"POST", "/v1/chat/completions", id, session, body}
}

// bookingCall returns a non-idempotent request to the service.
func bookingCall(id string) call {
	return call{"POST", "/services/reminders/send", id, "", `{"parish":"Erdenet"}`}
}

// send sends a call to a VM on a connection of its own and returns the reply.
func (s *site) send(v *vm, r call) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+v.callerAddress+r.path, strings.NewReader(r.body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Idempotency-Key", r.id)
	req.Header.Set("X-Session-Id", r.session)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get("X-Cornelmux-Version"), string(body)}, err
}

// runCounts returns how often the stand-in at the URL ran each run, by run ID.
func (s *site) runCounts(url string) map[string]int {
	resp, err := http.Get(url + "/counts")
	s.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	counts := map[string]int{}
	s.c.Assert(json.NewDecoder(resp.Body).Decode(&counts), qt.IsNil)
	return counts
}

// requestCounts returns how often the service ran each request, by the caller's request ID: the middle of three parts of
// the run ID.
func (s *site) requestCounts() map[string]int {
	byRequest := map[string]int{}
	for runID, n := range s.runCounts(s.serviceURL) {
		if parts := strings.Split(runID, "/"); len(parts) == 3 {
			byRequest[parts[1]] += n
		}
	}
	return byRequest
}
