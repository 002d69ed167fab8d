package journal

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFoldChargesTheClientAccountOnce(t *testing.T) {
	k := Key{Account: "a", Request: "r"}
	run := func(endpoint string, operator bool) Run { return Run{Endpoint: endpoint, OperatorCost: operator} }
	bill := func(id string, runs ...Run) Entry { return Entry{ID: id, Kind: EntryBilled, Key: k, Runs: runs} }
	rows := []struct {
		name    string
		entries []Entry
		want    []Run
	}{
		{"one bill", []Entry{bill("1", run("e1", false))}, []Run{run("e1", false)}},
		{"the same bill again", []Entry{bill("1", run("e1", false)), bill("1", run("e1", false))}, []Run{run("e1", false)}},
		{"resent after it was billed", []Entry{bill("1", run("e1", false)), bill("2", run("e2", false))}, []Run{run("e1", false), run("e2", true)}},
		{"resent after it failed", []Entry{bill("1", run("e1", true)), bill("2", run("e2", false))}, []Run{run("e1", true), run("e2", false)}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(Fold(row.entries), qt.DeepEquals, []Bill{{Key: k, Runs: row.want}})
		})
	}
}

func TestDrop(t *testing.T) {
	rows := []struct {
		name              string
		floor, live, read uint64
		want              uint64
	}{
		{"all read and past the window", 2, 5, 5, 5},
		{"read within the window", 2, 5, 9, 5},
		{"not read yet", 2, 5, 4, 4},
		{"read before the last drain", 3, 5, 1, 3},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			qt.Assert(t, Drop(Head{Floor: row.floor, Live: row.live, Sequence: 9}, row.read).Floor, qt.Equals, row.want)
		})
	}
}
