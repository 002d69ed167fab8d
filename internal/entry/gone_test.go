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

func TestCallerThatGoesGetsTheAnswerByAResend(t *testing.T) {
	s := newSite(t)
	s.configure()
	booking := call{"POST", "/services/reminders/send", "gone-1", "", `{"text":"` + standin.FaultSlow + `"}`}
	for vm := range s.vms {
		booking.id = fmt.Sprintf("gone-%d", vm)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, booking.method, s.urls[vm]+booking.path, strings.NewReader(booking.body))
		s.c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("Idempotency-Key", booking.id)
		_, err = http.DefaultClient.Do(req)
		cancel()
		s.c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		s.until(func() error {
			got := s.send(vm, booking)
			if got.status != http.StatusOK || !strings.Contains(got.body, `"call":1`) {
				return fmt.Errorf("status %d: %s", got.status, got.body)
			}
			return nil
		}, "the resend gets the kept answer")
	}
}
