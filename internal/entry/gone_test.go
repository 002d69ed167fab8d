package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/standin"
)

// TestRetryAfterDisconnectGetsStoredAnswer disconnects while a non-idempotent request runs. The retry has to get the answer of that
// run; the service must not be called twice.
func TestRetryAfterDisconnectGetsStoredAnswer(t *testing.T) {
	s := newSite(t)
	s.configure()
	request := call{"POST", "/services/reminders/send", "gone-1", "", `{"text":"` + standin.FaultSlow + `"}`}
	for vm := range s.vms {
		request.id = fmt.Sprintf("gone-%d", vm)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, request.method, s.urls[vm]+request.path, strings.NewReader(request.body))
		s.c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("Idempotency-Key", request.id)
		_, err = http.DefaultClient.Do(req)
		cancel()
		s.c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		s.waitFor(func() error {
			got := s.send(vm, request)
			if got.status != http.StatusOK || !strings.Contains(got.body, `"call":1`) {
				return fmt.Errorf("status %d: %s", got.status, got.body)
			}
			return nil
		}, "the retry gets the stored answer")
	}
}
