package entry

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/standin"
	"cornelmux/pkg/catalog"
)

// chatURL is the path of chat completions.
const chatURL = "/v1/chat/completions"

func chatBody(model, text string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, text)
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }

func freeAddress(c *qt.C) string {
	address, err := standin.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

// TestRequestEndToEnd sends requests through a VM to engines and a service. Rows run in order: some repeat an earlier request ID.
func TestRequestEndToEnd(t *testing.T) {
	s := newSite(t)
	s.configure()
	long := strings.Repeat("word ", 20)
	rows := []struct {
		name    string
		call    call
		status  int
		version string
		parts   []string
	}{
		{"plain chat", call{"POST", chatURL, "r1", "s1", chatBody("composer", "hello", false)}, 200, "composer/v1", []string{"[composer/v1] hello", "total_tokens"}},
		{"streamed chat", call{"POST", chatURL, "r2", "s1", chatBody("composer", "hello", true)}, 200, "composer/v1", []string{" hello", "[DONE]"}},
		{"cascade escalates after a bad rating", call{"POST", chatURL, "r3", "s1", chatBody("draft", "hello", false)}, 200, "composer/v1", []string{"[composer/v1] hello"}},
		{"broken stream is resumed", call{"POST", chatURL, "r4", "s1", chatBody("composer", long+standin.FaultBreak, false)}, 200, "composer/v1", []string{long + standin.FaultBreak}},
		{"answer to another run is dropped and the right one resumed", call{"POST", chatURL, "r5", "s1", chatBody("composer", standin.FaultForeign, false)}, 200, "composer/v1", []string{"[composer/v1] " + standin.FaultForeign}},
		{"model not granted", call{"POST", chatURL, "r6", "s1", chatBody("secret", "hello", false)}, 403, "", []string{`"code":2002`, `"run":"not_run"`}},
		{"broken JSON", call{"POST", chatURL, "r7", "s1", `{"model":`}, 400, "", []string{`"code":1001`, `"run":"not_run"`}},
		{"no such route", call{"POST", "/v2/other", "r8", "s1", "{}"}, 404, "", []string{`"code":1003`}},
		{"service route", call{"POST", "/services/reminders/send", "r9", "", `{"a":1}`}, 200, "", []string{`"call":1`}},
		{"retry with the same request ID", call{"POST", "/services/reminders/send", "r9", "", `{"a":1}`}, 200, "", []string{`"call":1`}},
		{"same request ID with another body", call{"POST", "/services/reminders/send", "r9", "", `{"a":2}`}, 422, "", []string{`"code":1004`}},
		{"service route not listed", call{"DELETE", "/services/reminders/send", "r10", "", ""}, 403, "", []string{`"code":2004`}},
	}
	for _, row := range rows {
		s.c.Run(row.name, func(c *qt.C) {
			got := s.send(1, row.call)
			c.Assert(got.status, qt.Equals, row.status, qt.Commentf("%s", got.body))
			c.Assert(got.version, qt.Equals, row.version)
			for _, part := range row.parts {
				c.Assert(got.body, qt.Contains, part)
			}
		})
	}
}

// TestWithdrawnVersionGetsNoNewRequests checks that a session bound to a withdrawn version moves to another on every VM.
func TestWithdrawnVersionGetsNoNewRequests(t *testing.T) {
	s := newSite(t)
	s.configure()
	before := s.send(0, call{"POST", chatURL, "", "s1", chatBody("composer", "hello", false)})
	s.c.Assert(before.version, qt.Equals, "composer/v1")
	s.submitAndWait("withdraw", catalog.Change{Set: catalog.Configuration{Withdrawals: []catalog.Withdrawal{{Model: "composer", Version: "v1"}}}})
	for vm := range s.vms {
		after := s.send(vm, call{"POST", chatURL, "", "s1", chatBody("composer", "hello", false)})
		s.c.Assert(after.status, qt.Equals, http.StatusOK)
		s.c.Assert(after.version, qt.Equals, "composer/v2")
	}
}

// TestVMsDiscoverEachOther checks that each VM finds the other through the platform and hears from it.
func TestVMsDiscoverEachOther(t *testing.T) {
	s := newSite(t)
	for _, vm := range s.vms {
		s.waitFor(func() error {
			members, err := vm.peers.Members(t.Context())
			if err == nil && (len(members) != 2 || members[1].HeardAt.IsZero() || members[1].ControlAddress == "") {
				err = fmt.Errorf("members %+v", members)
			}
			return err
		}, "the other VM was heard from")
	}
}
