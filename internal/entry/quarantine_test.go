package entry

import (
	"fmt"
	"net/http"
	"testing"

	"cornelmux/internal/standin"
)

func TestRequestThatCrashesEndpointsIsQuarantinedEverywhere(t *testing.T) {
	s := newSite(t)
	s.configure()
	poison := chatBody("composer", "one two three "+standin.FaultCrash, false)
	crashed := 0
	for vm := range s.vms {
		s.until(func() error {
			got := s.send(vm, call{"POST", chatURL, "", "", poison})
			if got.status != http.StatusUnprocessableEntity {
				crashed++
				return fmt.Errorf("status %d: %s", got.status, got.body)
			}
			return nil
		}, "the request is quarantined")
	}
	for vm := range s.vms {
		s.until(func() error {
			got := s.send(vm, call{"POST", chatURL, "", "", chatBody("composer", "hello", false)})
			if got.status != http.StatusOK {
				return fmt.Errorf("status %d: %s", got.status, got.body)
			}
			return nil
		}, "other requests are answered")
	}
	s.c.Logf("%d sends before the quarantine was known everywhere", crashed)
}
