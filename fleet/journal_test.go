package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/journal"
)

// storedValue is a key of the platform's store; its field names are the names in the JSON.
type storedValue struct {
	Key   string
	Value []byte
}

// hasClaim returns an error unless one of the journal's stored values, as the platform lists them, holds a claim of the
// request. Heads and sealed batches both list their entries as a batch does.
func hasClaim(r io.Reader, id string) error {
	var values []storedValue
	if err := json.NewDecoder(r).Decode(&values); err != nil {
		return err
	}
	for _, v := range values {
		var b journal.Batch
		if err := json.Unmarshal(v.Value, &b); err != nil {
			return err
		}
		for _, e := range b.Entries {
			if e.Kind == journal.EntryStarted && e.Key.Request == id {
				return nil
			}
		}
	}
	return fmt.Errorf("not in %d values", len(values))
}

// TestClaimIsNotMistakenForAnEntryID guards against tests that take the ID of another request's entry, such as
// vm-1-18ee431446d34e0b-10, for the claim of request b-1 and go on before it is in the journal.
func TestClaimIsNotMistakenForAnEntryID(t *testing.T) {
	c := qt.New(t)
	rows := []struct {
		name  string
		entry journal.Entry
		has   bool
	}{
		{"claim", journal.Entry{ID: "vm-1-0a-1", Kind: journal.EntryStarted, Key: journal.Key{Request: "b-1"}}, true},
		{"ID of another request's entry", journal.Entry{ID: "vm-1-0b-10", Kind: journal.EntryStarted, Key: journal.Key{Request: "c-1"}}, false},
		{"longer request ID", journal.Entry{ID: "vm-1-0a-1", Kind: journal.EntryStarted, Key: journal.Key{Request: "b-10"}}, false},
		{"bill", journal.Entry{ID: "vm-1-0a-2", Kind: journal.EntryBilled, Key: journal.Key{Request: "b-1"}}, false},
	}
	for _, row := range rows {
		head, err := json.Marshal(journal.Head{Entries: []journal.Entry{row.entry}})
		c.Assert(err, qt.IsNil)
		values, err := json.Marshal([]storedValue{{"cornelmux/journal/r/0/head", head}})
		c.Assert(err, qt.IsNil)
		c.Check(hasClaim(strings.NewReader(string(values)), "b-1") == nil, qt.Equals, row.has, qt.Commentf(row.name))
	}
}
