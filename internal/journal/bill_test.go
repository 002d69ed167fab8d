package journal

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMergeBillsChargesTheClientAccountOnce checks that a repeated bill counts once and that the client account pays for
// one answer only, also if the request was sent again.
func TestMergeBillsChargesTheClientAccountOnce(t *testing.T) {
	k := Key{Account: "a", Request: "r"}
	run := func(endpoint string, operator bool) Run { return Run{Endpoint: endpoint, OperatorCost: operator} }
	bill := func(id string, runs ...Run) Entry { return Entry{ID: id, Kind: EntryBilled, Key: k, Runs: runs} }
	rows := []struct {
		name    string
		entries []Entry
		want    []Run
	}{
		{"one bill", []Entry{bill("1", run("e1", false))}, []Run{run("e1", false)}},
		{"the same entry twice", []Entry{bill("1", run("e1", false)), bill("1", run("e1", false))}, []Run{run("e1", false)}},
		{"second bill after one at the account's cost", []Entry{bill("1", run("e1", false)), bill("2", run("e2", false))}, []Run{run("e1", false), run("e2", true)}},
		{"second bill after one at the operator's cost", []Entry{bill("1", run("e1", true)), bill("2", run("e2", false))}, []Run{run("e1", true), run("e2", false)}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(MergeBills(row.entries), qt.DeepEquals, []Bill{{Key: k, Runs: row.want}})
		})
	}
}

// TestAdvanceFloor checks that a drain raises the floor up to what was read, never into the resend window and never back.
func TestAdvanceFloor(t *testing.T) {
	rows := []struct {
		name              string
		floor, live, read uint64
		want              uint64
	}{
		{"read and past the resend window", 2, 5, 5, 5},
		{"read, but within the resend window", 2, 5, 9, 5},
		{"past the resend window, but not read", 2, 5, 4, 4},
		{"read before the last drain", 3, 5, 1, 3},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			qt.Assert(t, AdvanceFloor(Head{Floor: row.floor, Live: row.live, Sequence: 9}, row.read).Floor, qt.Equals, row.want)
		})
	}
}
