// Command demo sends the quick start's requests and fails if an answer is wrong.
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
	key         = "parish-demo-key"
	waitLimit   = 20 * time.Second
	waitPause   = 100 * time.Millisecond
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

type commands struct {
	Wait     waitCommand     `command:"wait"`
	Before   beforeCommand   `command:"before"`
	Versions versionsCommand `command:"versions"`
	After    afterCommand    `command:"after"`
}

// answer is what came back for a request.
type answer struct {
	status  int
	version string
	body    string
}

type request struct {
	method  string
	path    string
	id      string
	session string
	body    string
}

func send(base string, r request) (answer, error) {
	req, err := http.NewRequest(r.method, base+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
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

func chat(model, text string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, text)
}

// until repeats f until it returns nil or the wait limit passes.
func until(f func() error) error {
	deadline := time.Now().Add(waitLimit)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		<-time.After(waitPause)
	}
}

func answered(base string, r request) error {
	a, err := send(base, r)
	if err == nil && a.status != http.StatusOK {
		err = errors.New(a.body)
	}
	return err
}

func expect(what string, a answer, status int, parts ...string) error {
	fmt.Printf("%-34s %d %s %s\n", what, a.status, a.version, strings.TrimSpace(a.body))
	if a.status != status {
		return fmt.Errorf("%s: status %d instead of %d", what, a.status, status)
	}
	for _, p := range parts {
		if !strings.Contains(a.version+" "+a.body, p) {
			return fmt.Errorf("%s: %q is missing", what, p)
		}
	}
	return nil
}

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	return until(func() error {
		conn, err := net.Dial("tcp", c.Address)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// Execute implements flags.Commander.
func (c *beforeCommand) Execute([]string) error {
	ready := []request{
		{http.MethodPost, "/v1/chat/completions", "", "warm", chat("composer", "warm up", false)},
		{http.MethodPost, "/v1/chat/completions", "", "warm", chat("cheap", "warm up", false)},
		{http.MethodGet, "/services/reminders/calendar", "", "warm", ""},
	}
	for _, r := range ready {
		if err := until(func() error { return answered(c.Callers, r) }); err != nil {
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
		expect("chat, plain", plain, http.StatusOK, "composer/v1", "[composer/v1] remind the parish of the fast"),
		expect("chat, streamed", streamed, http.StatusOK, "composer/v1", "vigil", "[DONE]"),
		expect("cascade, cheap rated too low", cascade, http.StatusOK, "composer/v1", "bishop"),
		c.booking(),
	)
}

// booking sends one request twice and asks the service how often it ran.
func (c *beforeCommand) booking() error {
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
	var wrong error
	for id, n := range counts {
		fmt.Printf("%-34s %s ran %d time(s)\n", "service's own count", id, n)
		if n != 1 {
			wrong = fmt.Errorf("request %s ran %d times", id, n)
		}
	}
	return errors.Join(
		expect("reminder, first", first, http.StatusOK, `"call":1`),
		expect("reminder, same request ID again", second, http.StatusOK, `"call":1`),
		wrong,
	)
}

// Execute implements flags.Commander.
func (c *versionsCommand) Execute([]string) error {
	n, session := 0, ""
	err := until(func() error {
		n++
		session = fmt.Sprintf("new-%s-%d", c.New, n)
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
	return expect("session s-1 keeps", old, http.StatusOK, c.Old)
}

// Execute implements flags.Commander.
func (c *afterCommand) Execute([]string) error {
	session, err := os.ReadFile(c.SessionFile)
	if err != nil {
		return err
	}
	var a answer
	err = until(func() error {
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
	return expect("its session after the withdrawal", a, http.StatusOK, "composer/v1")
}

func main() {
	parser := flags.NewParser(&commands{}, flags.Default)
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
