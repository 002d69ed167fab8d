package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/journal"
	"cornelmux/internal/wire"
	"cornelmux/internal/wire/wireconnect"
)

// TestRetryAtAnotherVMIsBilledOnce checks that a retry at another VM gets the stored answer, that a request ID reused with another
// body is refused, and that there is one bill with one run, also after bills were drained.
func TestRetryAtAnotherVMIsBilledOnce(t *testing.T) {
	s := newSite(t)
	s.configure()
	request := call{"POST", "/services/reminders/send", "b1", "", `{"a":1}`}
	first, again := s.send(0, request), s.send(1, request)
	s.c.Assert(first.status, qt.Equals, http.StatusOK, qt.Commentf("%s", first.body))
	s.c.Assert(again, qt.Equals, first)
	reused := request
	reused.body = `{"a":2}`
	s.c.Assert(s.send(1, reused).body, qt.Contains, `"code":1004`)

	operator := &http.Client{Transport: fleetTransport{"secret", &http.Transport{DisableKeepAlives: true}}}
	client := wireconnect.NewControlServiceClient(operator, "http://"+s.vms[1].cfg.Listen.Control)
	rows := []struct {
		name     string
		account  string
		bills    int
		wantRead bool
	}{
		{"all client accounts", "", 1, true},
		{"the client account", "parish", 1, false},
		{"the client account again", "parish", 1, false},
		{"another client account", "nobody", 0, false},
	}
	for _, row := range rows {
		s.c.Run(row.name, func(c *qt.C) {
			r, err := client.Bills(context.Background(), &wire.BillsRequest{Account: row.account})
			c.Assert(err, qt.IsNil)
			c.Assert(r.Bills, qt.HasLen, row.bills)
			c.Assert(len(r.Read) > 0, qt.Equals, row.wantRead)
			if row.bills == 0 {
				return
			}
			var b journal.Bill
			c.Assert(json.Unmarshal(r.Bills[0], &b), qt.IsNil)
			c.Assert(b.Key, qt.Equals, journal.Key{Region: "region-1", Account: "parish", Request: "b1"})
			c.Assert(b.Runs, qt.HasLen, 1)
			c.Assert(b.Runs[0].OperatorCost, qt.IsFalse)
			_, err = client.Bills(context.Background(), &wire.BillsRequest{Drained: r.Read})
			c.Assert(err, qt.IsNil)
		})
	}
}
