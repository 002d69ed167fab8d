package entry

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/standin"
)

// logBuffer collects what is logged, for concurrent writers and a reading test.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *logBuffer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *logBuffer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// TestLogsHoldNoPromptAndNoKey sends requests that succeed, are refused, fail or lose their endpoint, and checks that no log line at
// any level contains text of a request or a key.
func TestLogsHoldNoPromptAndNoKey(t *testing.T) {
	const marker = "parishioner-4711"
	logged := &logBuffer{}
	s := newLoggedSite(t, logr.FromSlogHandler(slog.NewJSONHandler(logged, &slog.HandlerOptions{Level: slog.Level(-100)})))
	s.configure()
	texts := []string{"", standin.FaultBreak, standin.FaultForeign, standin.FaultFail, standin.FaultReject}
	for i, text := range texts {
		for _, model := range []string{"composer", "draft", "secret"} {
			s.send(1, call{"POST", chatURL, fmt.Sprint(model, i), "s1", chatBody(model, marker+" "+text, i%2 == 0)})
		}
	}
	s.send(1, call{"POST", chatURL, "b1", "s1", `{"model":"composer","messages":"` + marker})
	s.send(1, call{"POST", "/services/reminders/send?to=" + marker, "b2", "", `{"to":"` + marker + `"}`})
	s.send(1, call{"POST", "/services/reminders/send", "b2", "", `{"to":"other ` + marker + `"}`})
	s.service.Listener.Close()
	s.service.CloseClientConnections()
	s.send(1, call{"POST", "/services/reminders/send?to=" + marker, "b3", "", `{"to":"` + marker + `"}`})
	lines := logged.String()
	s.c.Assert(lines, qt.Contains, `"request refused"`)
	for _, unwanted := range []string{marker, testKey, "Bearer", `"secret\n`} {
		s.c.Check(strings.Contains(lines, unwanted), qt.IsFalse, qt.Commentf("%s", unwanted))
	}
	for line := range strings.Lines(lines) {
		if strings.Contains(line, `"request refused"`) {
			s.c.Check(line, qt.Matches, `(?s).*"account":.*"request_id":.*"revision":.*"code":.*`)
		}
	}
}
