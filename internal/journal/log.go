package journal

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"cornelmux/pkg/result"
)

// ErrStale reports a head that is older than one that was already applied, or a sealed batch that doesn't fit the head.
// Reading the log again resolves it.
var ErrStale = errors.New("stale journal head")

// Head is the value of a partition's head key, which is never deleted.
type Head struct {
	// Sequence is the number of the batch that Entries will be sealed as.
	Sequence uint64 `json:"sequence"`
	// Live is the first sealed batch that may hold an entry of the resend window; Floor is the first that isn't deleted.
	Live  uint64 `json:"live"`
	Floor uint64 `json:"floor"`
	// Base is the number of entries in all sealed batches.
	Base uint64 `json:"base"`
	// Entries are the inline entries: those not sealed yet.
	Entries []Entry `json:"entries,omitempty"`
}

// entryCount returns the number of entries of the whole log.
func (h Head) entryCount() uint64 { return h.Base + uint64(len(h.Entries)) }

// size estimates the length of the inline entries as JSON, in bytes.
func (h Head) size() int {
	n := 0
	for _, e := range h.Entries {
		n += e.size()
	}
	return n
}

// Batch is a sealed part of a log, which doesn't change any more.
type Batch struct {
	// Base is the number of entries before the batch.
	Base    uint64  `json:"base"`
	Entries []Entry `json:"entries"`
}

// Record is the state of a request according to the log.
type Record struct {
	// Holder is the claim in force, or zero.
	Holder Holder
	Billed bool
	// UnixMs is the time of the request's newest entry, in Unix milliseconds.
	UnixMs int64
}

// expiringEntry is what Expire needs to know about an entry; unixMs is when it was made, in Unix milliseconds.
type expiringEntry struct {
	id     string
	key    Key
	unixMs int64
}

// sealedBatch is a sealed batch that may hold an entry of the resend window.
type sealedBatch struct {
	// sequence is its number in the log.
	sequence uint64
	// newestMs is the time of its newest entry, in Unix milliseconds.
	newestMs int64
}

// Log is a VM's view of one partition's log: the requests of the resend window, and the head that was applied last. It
// decides which entries may be appended, and does no I/O. Older heads are refused, so the view never goes back.
type Log struct {
	head         Head
	resendWindow time.Duration
	// applied is the number of entries applied or skipped: the position in the log of the next entry to apply.
	applied uint64
	records map[Key]Record
	ids     map[string]struct{}
	// expiring holds the entries whose IDs are in ids, in the order of the log.
	expiring []expiringEntry
	// sealed holds the batches from which Live is derived, by rising sequence.
	sealed []sealedBatch
}

// NewLog makes an empty view. Entries are remembered for resendWindow after they were made.
func NewLog(resendWindow time.Duration) *Log {
	return &Log{resendWindow: resendWindow, records: map[Key]Record{}, ids: map[string]struct{}{}}
}

// MissingBatches returns the range from..to-1 of sealed batches that have to be read and passed to Apply together with h.
// The partition calls it after it has read a head.
func (l *Log) MissingBatches(h Head) (from, to uint64) {
	return min(max(h.Live, l.head.Sequence), h.Sequence), h.Sequence
}

// Apply updates the view with a head and the sealed batches of MissingBatches(h). It returns ErrStale if the view is already
// ahead of h. The partition calls it after each read, and ApplyWrite after each write.
func (l *Log) Apply(h Head, batches []Batch) error {
	if h.entryCount() < l.applied || h.Sequence < l.head.Sequence {
		return ErrStale
	}
	sequence := h.Sequence - uint64(len(batches))
	for i, b := range batches {
		l.applyEntries(b.Base, b.Entries)
		l.sealed = append(l.sealed, sealedBatch{sequence + uint64(i), newestMs(b.Entries)})
	}
	l.applyEntries(h.Base, h.Entries)
	l.head = h
	return nil
}

// applyEntries applies the entries that weren't applied before; base is the position of the first one in the log. Apply
// calls it for each batch and for the inline entries.
func (l *Log) applyEntries(base uint64, entries []Entry) {
	l.applied = max(l.applied, base)
	for i, e := range entries {
		if base+uint64(i) < l.applied {
			continue
		}
		l.applied++
		l.ids[e.ID] = struct{}{}
		l.records[e.Key] = applyEntry(l.records[e.Key], e)
		l.expiring = append(l.expiring, expiringEntry{e.ID, e.Key, e.UnixMs})
	}
}

// applyEntry returns the record of a request after e was appended. applyEntries and Decide call it.
func applyEntry(r Record, e Entry) Record {
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

// Expire removes entries, records and sealed batches that are older than the resend window from the view. The partition
// calls it with each tick and before each write.
func (l *Log) Expire(nowMs int64) {
	for len(l.expiring) > 0 && l.expired(l.expiring[0].unixMs, nowMs) {
		oldest := l.expiring[0]
		l.expiring = l.expiring[1:]
		delete(l.ids, oldest.id)
		if l.expired(l.records[oldest.key].UnixMs, nowMs) {
			delete(l.records, oldest.key)
		}
	}
	for len(l.sealed) > 0 && l.expired(l.sealed[0].newestMs, nowMs) {
		l.sealed = l.sealed[1:]
	}
}

// expired reports whether something of the time unixMs is older than the resend window.
func (l *Log) expired(unixMs, nowMs int64) bool { return nowMs-unixMs > l.resendWindow.Milliseconds() }

// Decide returns the outcome of each entry, in order, and the entries that have to be appended for that. An entry that the
// log already holds is reported as appended and not added again. The outcomes are valid only once add has been written.
// The partition calls it before each write.
func (l *Log) Decide(entries []Entry, nowMs int64) (outcomes []Outcome, add []Entry) {
	pending := overlay{log: l, records: map[Key]Record{}, ids: map[string]struct{}{}}
	for _, e := range entries {
		o := pending.admit(e, nowMs)
		if o.Appended && !pending.has(e.ID) {
			pending.ids[e.ID] = struct{}{}
			pending.records[e.Key] = applyEntry(pending.record(e.Key), e)
			add = append(add, e)
		}
		outcomes = append(outcomes, o)
	}
	return outcomes, add
}

// overlay is a log plus the entries of a batch that was decided but isn't written yet.
type overlay struct {
	log     *Log
	records map[Key]Record
	ids     map[string]struct{}
}

// has reports whether the log or the batch holds the entry with the ID.
func (o *overlay) has(id string) bool {
	if _, ok := o.ids[id]; ok {
		return true
	}
	_, ok := o.log.ids[id]
	return ok
}

func (o *overlay) record(k Key) Record {
	if r, ok := o.records[k]; ok {
		return r
	}
	return o.log.records[k]
}

// admit decides on one entry for Decide. Bills and releases are always accepted. A claim is refused if its release came
// first, if it is older than the resend window (its VM may have been suspended since), or if another claim is in force.
func (o *overlay) admit(e Entry, nowMs int64) Outcome {
	if e.Kind != EntryStarted {
		return Outcome{Appended: true}
	}
	if o.has(releaseID(e.ID)) {
		return Outcome{Code: result.JournalUnavailable, Detail: "the claim was released before it was recorded"}
	}
	if o.has(e.ID) {
		return Outcome{Appended: true}
	}
	if o.log.expired(e.UnixMs, nowMs) {
		return Outcome{Code: result.JournalUnavailable, Detail: "the claim is older than the resend window"}
	}
	r := o.record(e.Key)
	switch {
	case r.Holder.ID == "":
		return Outcome{Appended: true}
	case !r.Holder.Fingerprint.matches(e.Fingerprint):
		return Outcome{Code: result.RequestIDReused, Detail: fmt.Sprintf("request ID %q", e.Key.Request)}
	default:
		detail := fmt.Sprintf("request %q was recorded by VM %s and has no answer here", e.Key.Request, r.Holder.VM)
		return Outcome{Code: result.OutcomeUnknown, Detail: detail, Holder: r.Holder, Billed: r.Billed}
	}
}

// releaseID returns the ID of the entry that releases the claim. It is derived from the claim's ID, so that a claim has
// one release only and a claim that arrives after its release is detected.
func releaseID(claim string) string { return "release/" + claim }

// NeedsSeal reports whether the inline entries have to be sealed with the next write, which keeps the head small.
func (l *Log) NeedsSeal() bool { return l.head.size() > sealThresholdBytes }

// InlineBatch returns the inline entries as the batch that they are sealed as.
func (l *Log) InlineBatch() Batch { return Batch{l.head.Base, l.head.Entries} }

// WithAppended returns a copy of the last applied head with the entries appended.
func (l *Log) WithAppended(add []Entry) Head {
	h := l.head
	h.Entries = append(append([]Entry{}, h.Entries...), add...)
	return h
}

// WithoutSealed returns h without the entries that were sealed, and with the sequence of the next batch. Another VM may
// have sealed fewer entries than are inline in h now. If it sealed others, this view is outdated and ErrStale is returned.
// The partition calls it after it has sealed a batch.
func (l *Log) WithoutSealed(h Head, sealed Batch) (Head, error) {
	if sealed.Base != h.Base || len(sealed.Entries) > len(h.Entries) {
		return h, fmt.Errorf("%w: sealed batch %d does not start at the head or is longer", ErrStale, h.Sequence)
	}
	for i, e := range sealed.Entries {
		if h.Entries[i].ID != e.ID {
			return h, fmt.Errorf("%w: sealed batch %d has other entries than the head", ErrStale, h.Sequence)
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

// ApplyWrite updates the view with a head that this VM wrote; sealed is the batch that was removed from it, or nil. The
// partition calls it after each successful write.
func (l *Log) ApplyWrite(h Head, sealed *Batch) error {
	if sealed == nil {
		return l.Apply(h, nil)
	}
	return l.Apply(h, []Batch{*sealed})
}

// newestMs returns the time of the newest entry, in Unix milliseconds.
func newestMs(entries []Entry) int64 {
	n := int64(0)
	for _, e := range entries {
		n = max(n, e.UnixMs)
	}
	return n
}

// MergeBills makes one bill for each request from entries in the order of their log. The client account pays for the first
// bill that has a run at its cost; all runs of later bills come from retries and are charged to the operator. ReadBills
// calls it for each partition.
func MergeBills(entries []Entry) []Bill {
	var bills []Bill
	index := map[Key]int{}
	seen := map[string]struct{}{}
	for _, e := range entries {
		_, duplicate := seen[e.ID]
		if e.Kind != EntryBilled || duplicate {
			continue
		}
		seen[e.ID] = struct{}{}
		i, ok := index[e.Key]
		if !ok {
			index[e.Key] = len(bills)
			bills = append(bills, Bill{Key: e.Key, Runs: e.Runs})
			continue
		}
		charged := slices.ContainsFunc(bills[i].Runs, func(r Run) bool { return !r.OperatorCost })
		bills[i].Runs = append([]Run{}, bills[i].Runs...)
		for _, r := range e.Runs {
			r.OperatorCost = r.OperatorCost || charged
			bills[i].Runs = append(bills[i].Runs, r)
		}
	}
	return bills
}
