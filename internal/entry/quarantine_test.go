package entry

import (
	"fmt"
	"net/http"
	"testing"

	"cornelmux/internal/standin"
)

// TestCrashingRequestIsQuarantinedOnEveryVM sends a request that crashes endpoints until each VM refuses it, and checks that other
// requests are still answered.
func TestCrashingRequestIsQuarantinedOnEveryVM(t *testing.T) {
	s := newSite(t)
	s.configure()
	crashingBody := chatBody("composer", "one two three "+standin.FaultCrash, false)
	sends := 0
	for vm := range s.vms {
		s.waitFor(func() error {
			got := s.send(vm, call{"POST", chatURL, "", "", crashingBody})
			if got.status != http.StatusUnprocessableEntity {
				sends++
				return fmt.Errorf("status %d: %s", got.status, got.body)
			}
			return nil
		}, "the request is quarantined")
	}
	for vm := range s.vms {
		s.waitFor(func() error {
			got := s.send(vm, call{"POST", chatURL, "", "", chatBody("composer", "hello", false)})
			if got.status != http.StatusOK {
				return fmt.Errorf("status %d: %s", got.status, got.body)
			}
			return nil
		}, "other requests are answered")
	}
	s.c.Logf("%d sends before the quarantine was known everywhere", sends)
}
