// Command demo sends the requests of the quick start and fails if an answer is wrong; demo/run.sh runs its commands in turn.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

const (
	// accountKey is the API key of the client account in examples/tsagaan_lavra.
	accountKey = "parish-demo-key"
	// retryTimeout and retryInterval bound how long and how often retry calls its function.
	retryTimeout  = 20 * time.Second
	retryInterval = 100 * time.Millisecond
	// sendTimeout bounds one request, including reading its answer.
	sendTimeout = 10 * time.Second
)

type waitCommand struct {
	Address string `long:"address" required:"true" description:"address that has to accept connections"`
}

type beforeCommand struct {
	Callers string `long:"callers" required:"true" description:"URL of an entry VM"`
	Service string `long:"service" required:"true" description:"URL of the service stand-in"`
}

type afterCommand struct {
	Callers     string `long:"callers" required:"true" description:"URL of an entry VM"`
	SessionFile string `long:"session-file" required:"true" description:"file that names a session of the withdrawn version"`
}

type versionsCommand struct {
	Callers string `long:"callers" required:"true" description:"URL of an entry VM"`
	Old     string `long:"old" required:"true" description:"version that session s-1 keeps"`
	New     string `long:"new" required:"true" description:"version that a new session gets"`

	SessionFile string `long:"session-file" description:"file to name the new session in"`
}

// commands declares the subcommands; go-flags reads them from the struct tags.
type commands struct {
	Wait     waitCommand     `command:"wait"`
	Before   beforeCommand   `command:"before"`
	Versions versionsCommand `command:"versions"`
	After    afterCommand    `command:"after"`
}

// answer is the response to a request.
type answer struct {
	status int
	// version is the model version that answered, as model/version; empty for a plain service.
	version string
	body    string
}

// request is a request of the client account.
type request struct {
	method string
	path   string
	// id is the request ID and session the session; either may be empty.
	id      string
	session string
	body    string
}

// send sends r to the entry VM or service at the URL base and returns its answer, whatever the status. The steps of the
// demo use it.
func send(base string, r request) (answer, error) {
	req, err := http.NewRequest(r.method, base+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", r.id)
	req.Header.Set("X-Session-Id", r.session)
	client := &http.Client{Timeout: sendTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	return answer{resp.StatusCode, resp.Header.Get("X-Cornelmux-Version"), string(body)}, nil
}

// chat returns the body of a chat request.
func chat(model, text string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, text)
}

// retry calls f until it succeeds or retryTimeout has passed, and returns the last error.
func retry(f func() error) error {
	deadline := time.Now().Add(retryTimeout)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		<-time.After(retryInterval)
	}
}

// expectOK sends r and returns an error unless the status is 200. The command before calls it until every endpoint answers.
func expectOK(base string, r request) error {
	a, err := send(base, r)
	if err == nil && a.status != http.StatusOK {
		err = errors.New(a.body)
	}
	return err
}

// checkAnswer prints an answer and checks its status. Each of the substrings must occur in its version or body. The steps of
// the demo call it for the answers that they get.
func checkAnswer(label string, a answer, status int, substrings ...string) error {
	fmt.Printf("%-34s %d %s %s\n", label, a.status, a.version, strings.TrimSpace(a.body))
	if a.status != status {
		return fmt.Errorf("%s: status %d instead of %d", label, a.status, status)
	}
	for _, p := range substrings {
		if !strings.Contains(a.version+" "+a.body, p) {
			return fmt.Errorf("%s: %q is missing", label, p)
		}
	}
	return nil
}

// Execute implements flags.Commander. It waits until the address accepts connections.
func (c *waitCommand) Execute([]string) error {
	return retry(func() error {
		conn, err := net.Dial("tcp", c.Address)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// Execute implements flags.Commander. It waits until all endpoints answer, then checks chat, streaming, the cascade and
// the handling of a duplicate request. run.sh calls it before the rollout.
func (c *beforeCommand) Execute([]string) error {
	warmups := []request{
		{http.MethodPost, "/v1/chat/completions", "", "warm", chat("composer", "warm up", false)},
		{http.MethodPost, "/v1/chat/completions", "", "warm", chat("cheap", "warm up", false)},
		{http.MethodGet, "/services/reminders/calendar", "", "warm", ""},
	}
	for _, r := range warmups {
		if err := retry(func() error { return expectOK(c.Callers, r) }); err != nil {
			return err
		}
	}
	plain, err := send(c.Callers, request{http.MethodPost, "/v1/chat/completions", "d-1", "s-1", chat("composer", "remind the parish of the fast", false)})
	if err != nil {
		return err
	}
	streamed, err := send(c.Callers, request{http.MethodPost, "/v1/chat/completions", "d-2", "s-1", chat("composer", "and of the vigil", true)})
	if err != nil {
		return err
	}
	cascade, err := send(c.Callers, request{http.MethodPost, "/v1/chat/completions", "d-3", "s-2", chat("draft", "a text for the bishop", false)})
	if err != nil {
		return err
	}
	return errors.Join(
		checkAnswer("chat, plain", plain, http.StatusOK, "composer/v1", "[composer/v1] remind the parish of the fast"),
		checkAnswer("chat, streamed", streamed, http.StatusOK, "composer/v1", "vigil", "[DONE]"),
		checkAnswer("cascade, cheap rated too low", cascade, http.StatusOK, "composer/v1", "bishop"),
		c.checkDuplicate(),
	)
}

// checkDuplicate sends a non-idempotent request twice under one request ID. It checks that both answers are of the service's
// first call with the run ID ("call":1), and that the service counted no run ID more than once. Execute calls it last.
func (c *beforeCommand) checkDuplicate() error {
	r := request{http.MethodPost, "/services/reminders/send", "b-1", "", `{"parish":"Erdenet","text":"fast begins"}`}
	first, err := send(c.Callers, r)
	if err != nil {
		return err
	}
	second, err := send(c.Callers, r)
	if err != nil {
		return err
	}
	resp, err := http.Get(c.Service + "/counts")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	counts := map[string]int{}
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return err
	}
	var countErr error
	for runID, n := range counts {
		fmt.Printf("%-34s %s ran %d time(s)\n", "service's own count", runID, n)
		if n != 1 {
			countErr = fmt.Errorf("request %s ran %d times", runID, n)
		}
	}
	return errors.Join(
		checkAnswer("reminder, first", first, http.StatusOK, `"call":1`),
		checkAnswer("reminder, same request ID again", second, http.StatusOK, `"call":1`),
		countErr,
	)
}

// Execute implements flags.Commander. It waits until new sessions get the new version, then checks that session s-1 keeps
// the old one. run.sh calls it after the rollout has started and after it was halted.
func (c *versionsCommand) Execute([]string) error {
	attempt, session := 0, ""
	err := retry(func() error {
		attempt++
		session = fmt.Sprintf("new-%s-%d", c.New, attempt)
		a, err := send(c.Callers, request{http.MethodPost, "/v1/chat/completions", "", session, chat("composer", "a new session", false)})
		if err == nil && a.version != c.New {
			err = fmt.Errorf("new session on %s", a.version)
		}
		return err
	})
	if err != nil {
		return err
	}
	fmt.Printf("%-34s %s\n", "a new session gets", c.New)
	if c.SessionFile != "" {
		if err := os.WriteFile(c.SessionFile, []byte(session), 0o600); err != nil {
			return err
		}
	}
	old, err := send(c.Callers, request{http.MethodPost, "/v1/chat/completions", "", "s-1", chat("composer", "the same session", false)})
	if err != nil {
		return err
	}
	return checkAnswer("session s-1 keeps", old, http.StatusOK, c.Old)
}

// Execute implements flags.Commander. It waits until the session in the file has moved to composer/v1. run.sh calls it
// after the version that the session had was withdrawn.
func (c *afterCommand) Execute([]string) error {
	session, err := os.ReadFile(c.SessionFile)
	if err != nil {
		return err
	}
	var a answer
	err = retry(func() error {
		var err error
		a, err = send(c.Callers, request{http.MethodPost, "/v1/chat/completions", "", string(session), chat("composer", "after the withdrawal", false)})
		if err == nil && a.version != "composer/v1" {
			err = fmt.Errorf("still on %s: %d %s", a.version, a.status, a.body)
		}
		return err
	})
	if err != nil {
		return err
	}
	return checkAnswer("its session after the withdrawal", a, http.StatusOK, "composer/v1")
}

func main() {
	parser := flags.NewParser(&commands{}, flags.Default)
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
