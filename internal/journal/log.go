package journal

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"cornelmux/pkg/result"
)

// ErrStale reports a head that is older than what was read before.
var ErrStale = errors.New("stale head")

// Head is the value of a partition's head key, which is never deleted.
type Head struct {
	// Sequence numbers the batch that Entries will be sealed as.
	Sequence uint64 `json:"sequence"`
	// Live is the first sealed batch that may hold an entry of the resend window; Floor is the first that is kept.
	Live  uint64 `json:"live"`
	Floor uint64 `json:"floor"`
	// Base counts the entries of all sealed batches.
	Base    uint64  `json:"base"`
	Entries []Entry `json:"entries,omitempty"`
}

func (h Head) length() uint64 { return h.Base + uint64(len(h.Entries)) }

func (h Head) bytes() int {
	n := 0
	for _, e := range h.Entries {
		n += e.bytes()
	}
	return n
}

// Batch is a sealed part of a log. Base counts the entries before it.
type Batch struct {
	Base    uint64  `json:"base"`
	Entries []Entry `json:"entries"`
}

// Record is what the log says of a request.
type Record struct {
	Holder Holder
	Billed bool
	UnixMs int64
}

type agedEntry struct {
	id     string
	key    Key
	unixMs int64
}

type sealedBatch struct {
	sequence uint64
	newestMs int64
}

// Log is a VM's view of one partition. It only ever moves forward.
type Log struct {
	head    Head
	window  time.Duration
	applied uint64
	records map[Key]Record
	ids     map[string]struct{}
	order   []agedEntry
	sealed  []sealedBatch
}

// NewLog makes an empty view. Entries count for window after they were made.
func NewLog(window time.Duration) *Log {
	return &Log{window: window, records: map[Key]Record{}, ids: map[string]struct{}{}}
}

// Missing returns the range of sealed batches that have to be read before Apply(h).
func (l *Log) Missing(h Head) (from, to uint64) {
	return min(max(h.Live, l.head.Sequence), h.Sequence), h.Sequence
}

// Apply takes in a head and the sealed batches that Missing asked for.
func (l *Log) Apply(h Head, batches []Batch) error {
	if h.length() < l.applied || h.Sequence < l.head.Sequence {
		return ErrStale
	}
	sequence := h.Sequence - uint64(len(batches))
	for i, b := range batches {
		l.take(b.Base, b.Entries)
		l.sealed = append(l.sealed, sealedBatch{sequence + uint64(i), newest(b.Entries)})
	}
	l.take(h.Base, h.Entries)
	l.head = h
	return nil
}

func (l *Log) take(base uint64, entries []Entry) {
	l.applied = max(l.applied, base)
	for i, e := range entries {
		if base+uint64(i) < l.applied {
			continue
		}
		l.applied++
		l.ids[e.ID] = struct{}{}
		l.records[e.Key] = follow(l.records[e.Key], e)
		l.order = append(l.order, agedEntry{e.ID, e.Key, e.UnixMs})
	}
}

// follow returns the record once e stands in the log.
func follow(r Record, e Entry) Record {
	r.UnixMs = max(r.UnixMs, e.UnixMs)
	switch e.Kind {
	case EntryStarted:
		r.Holder = Holder{e.ID, e.VM, e.Address, e.Fingerprint}
	case EntryReleased:
		if r.Holder.ID == e.Claim {
			r.Holder = Holder{}
		}
	case EntryBilled:
		r.Billed = true
	}
	return r
}

// Expire forgets what is older than the resend window.
func (l *Log) Expire(nowMs int64) {
	for len(l.order) > 0 && l.expired(l.order[0].unixMs, nowMs) {
		old := l.order[0]
		l.order = l.order[1:]
		delete(l.ids, old.id)
		if l.expired(l.records[old.key].UnixMs, nowMs) {
			delete(l.records, old.key)
		}
	}
	for len(l.sealed) > 0 && l.expired(l.sealed[0].newestMs, nowMs) {
		l.sealed = l.sealed[1:]
	}
}

func (l *Log) expired(unixMs, nowMs int64) bool { return nowMs-unixMs > l.window.Milliseconds() }

// Decide says what becomes of the entries, in order, and which of them have to be appended.
func (l *Log) Decide(entries []Entry, nowMs int64) (outcomes []Outcome, add []Entry) {
	d := draft{log: l, records: map[Key]Record{}, ids: map[string]struct{}{}}
	for _, e := range entries {
		o := d.admit(e, nowMs)
		if o.Appended && !d.has(e.ID) {
			d.ids[e.ID] = struct{}{}
			d.records[e.Key] = follow(d.record(e.Key), e)
			add = append(add, e)
		}
		outcomes = append(outcomes, o)
	}
	return outcomes, add
}

// draft is a log with the entries of a batch that is not written yet.
type draft struct {
	log     *Log
	records map[Key]Record
	ids     map[string]struct{}
}

func (d *draft) has(id string) bool {
	if _, ok := d.ids[id]; ok {
		return true
	}
	_, ok := d.log.ids[id]
	return ok
}

func (d *draft) record(k Key) Record {
	if r, ok := d.records[k]; ok {
		return r
	}
	return d.log.records[k]
}

func (d *draft) admit(e Entry, nowMs int64) Outcome {
	if e.Kind != EntryStarted {
		return Outcome{Appended: true}
	}
	if d.has(releaseID(e.ID)) {
		return Outcome{Code: result.JournalUnavailable, Detail: "the claim was released before it was recorded"}
	}
	if d.has(e.ID) {
		return Outcome{Appended: true}
	}
	if d.log.expired(e.UnixMs, nowMs) {
		return Outcome{Code: result.JournalUnavailable, Detail: "the claim is older than the resend window"}
	}
	r := d.record(e.Key)
	switch {
	case r.Holder.ID == "":
		return Outcome{Appended: true}
	case r.Holder.Fingerprint != e.Fingerprint:
		return Outcome{Code: result.RequestIDReused, Detail: fmt.Sprintf("request ID %q", e.Key.Request)}
	default:
		detail := fmt.Sprintf("request %q was recorded by VM %s and has no answer here", e.Key.Request, r.Holder.VM)
		return Outcome{Code: result.OutcomeUnknown, Detail: detail, Holder: r.Holder, Billed: r.Billed}
	}
}

func releaseID(claim string) string { return "release/" + claim }

// Full reports whether the inline entries have to be sealed before more are appended.
func (l *Log) Full() bool { return l.head.bytes() > sealBytes }

// Inline returns the inline entries as the batch that they are sealed as.
func (l *Log) Inline() Batch { return Batch{l.head.Base, l.head.Entries} }

// Next returns the head with the entries appended.
func (l *Log) Next(add []Entry) Head {
	h := l.head
	h.Entries = append(append([]Entry{}, h.Entries...), add...)
	return h
}

// Cut moves the entries that were sealed out of h. Another VM may have sealed fewer than stand in the head now;
// if it sealed others, this view is stale.
func (l *Log) Cut(h Head, sealed Batch) (Head, error) {
	if sealed.Base != h.Base || len(sealed.Entries) > len(h.Entries) {
		return h, fmt.Errorf("%w: sealed batch %d goes further", ErrStale, h.Sequence)
	}
	for i, e := range sealed.Entries {
		if h.Entries[i].ID != e.ID {
			return h, fmt.Errorf("%w: sealed batch %d differs", ErrStale, h.Sequence)
		}
	}
	live := h.Sequence
	if len(l.sealed) > 0 {
		live = l.sealed[0].sequence
	}
	h.Live = max(h.Live, live)
	h.Base += uint64(len(sealed.Entries))
	h.Entries = h.Entries[len(sealed.Entries):]
	h.Sequence++
	return h, nil
}

// Written takes in a head that this VM wrote; sealed is the batch that was cut from it, or nil.
func (l *Log) Written(h Head, sealed *Batch) error {
	if sealed == nil {
		return l.Apply(h, nil)
	}
	return l.Apply(h, []Batch{*sealed})
}

func newest(entries []Entry) int64 {
	n := int64(0)
	for _, e := range entries {
		n = max(n, e.UnixMs)
	}
	return n
}

// Fold makes one bill of each request from entries in the order of their log. The first bill with a run at the client
// account's cost counts; the runs of any later one were done again, at the operator's cost.
func Fold(entries []Entry) []Bill {
	var bills []Bill
	at := map[Key]int{}
	seen := map[string]struct{}{}
	for _, e := range entries {
		_, again := seen[e.ID]
		if e.Kind != EntryBilled || again {
			continue
		}
		seen[e.ID] = struct{}{}
		i, ok := at[e.Key]
		if !ok {
			at[e.Key] = len(bills)
			bills = append(bills, Bill{Key: e.Key, Runs: e.Runs})
			continue
		}
		paid := slices.ContainsFunc(bills[i].Runs, func(r Run) bool { return !r.OperatorCost })
		bills[i].Runs = append([]Run{}, bills[i].Runs...)
		for _, r := range e.Runs {
			r.OperatorCost = r.OperatorCost || paid
			bills[i].Runs = append(bills[i].Runs, r)
		}
	}
	return bills
}
