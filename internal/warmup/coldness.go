package warmup

import "time"

const (
	// entryDelay is how long after an endpoint couldn't be reached its entry must be read to show that it hasn't started anew: the
	// time that an entry may be on its way, at most, to a VM that learns of changes by a reader of its zone.
	entryDelay = 2 * time.Second
	// maxDoubt bounds how long an endpoint that couldn't be reached counts as one that may have started anew.
	maxDoubt = 10 * time.Second
)

// Reason says why an endpoint counts as cold.
type Reason int

// The values of Reason; the zero value is an endpoint that isn't cold.
const (
	// ReasonEntry means that the endpoint's own entry says so.
	ReasonEntry Reason = iota + 1
	// ReasonStart is an incarnation that this VM has seen for less than the time that endpoints are cold after their start.
	ReasonStart
	// ReasonReturn is the end of an evacuation of its availability zone.
	ReasonReturn
	// ReasonDoubt is an endpoint that couldn't be reached, and may have started anew since.
	ReasonDoubt
)

// reasonNames are the values in logs.
var reasonNames = map[Reason]string{ReasonEntry: "entry", ReasonStart: "start", ReasonReturn: "return", ReasonDoubt: "doubt"}

// String implements fmt.Stringer.
func (r Reason) String() string { return reasonNames[r] }

// Knowledge is what a VM knows of the warmth of one incarnation of an endpoint. All times are the VM's own, by its monotonic clock.
type Knowledge struct {
	// entryUntil is until when the newest entry says that the endpoint is cold.
	entryUntil time.Time
	// startedAt is when this VM first saw the incarnation; zero if the endpoint ran before the VM, or its entry said later that it is
	// warm.
	startedAt time.Time
	// unreachedAt is when this VM last failed to connect to the endpoint; zero if an entry has shown since that it goes on.
	unreachedAt time.Time
}

// NewIncarnation returns what is known by the first entry of an incarnation that may have started just now. It counts as cold whatever
// that entry says.
func NewIncarnation(coldFor time.Duration, now time.Time) Knowledge {
	return Knowledge{entryUntil: now.Add(coldFor), startedAt: now}
}

// Listed returns what is known by the first entry of an incarnation that has run since before this VM started, or that this VM knew
// before.
func Listed(coldFor time.Duration, now time.Time) Knowledge {
	return Knowledge{entryUntil: now.Add(coldFor)}
}

// Update takes in a later entry of the same incarnation. An entry that was on its way is read as if it were new, so that an endpoint
// counts as cold for longer, not for less.
func (k *Knowledge) Update(coldFor time.Duration, now time.Time) {
	k.entryUntil = now.Add(coldFor)
	if coldFor <= 0 {
		k.startedAt = time.Time{}
	}
	if now.Sub(k.unreachedAt) >= entryDelay {
		k.unreachedAt = time.Time{}
	}
}

// NoteUnreached takes in that nothing listened at the endpoint's address.
func (k *Knowledge) NoteUnreached(now time.Time) { k.unreachedAt = now }

// Until returns until when the endpoint counts as cold, and why. coldTime is how long endpoints of its service are cold after their
// start; returnedAt is when the last evacuation of its availability zone ended, zero if there was none.
func (k Knowledge) Until(coldTime time.Duration, returnedAt, now time.Time) (time.Time, Reason) {
	var until time.Time
	var reason Reason
	for _, c := range []struct {
		reason Reason
		from   time.Time
		length time.Duration
	}{
		{ReasonEntry, k.entryUntil, 0},
		{ReasonStart, k.startedAt, coldTime},
		{ReasonReturn, returnedAt, coldTime},
		{ReasonDoubt, k.unreachedAt, maxDoubt},
	} {
		end := c.from.Add(c.length)
		if !c.from.IsZero() && end.After(now) && end.After(until) {
			until, reason = end, c.reason
		}
	}
	return until, reason
}
