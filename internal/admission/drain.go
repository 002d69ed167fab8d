package admission

import "time"

const (
	// drainSlot is the time that one count of a drain covers, drainSlots how many are kept.
	drainSlot  = 100 * time.Millisecond
	drainSlots = 20
	// minDrainTime is how long requests must have waited before the rate is known.
	minDrainTime = 500 * time.Millisecond
	// minDrainShare is the least part of the rate, 0 to 1, that is left to what is less urgent.
	minDrainShare = 0.05
)

// drain counts the requests that leave a queue to be sent, and those that come, by urgency.
type drain struct {
	// slot is the number of the newest count, each drainSlot long; waitingSince is when the first request
	// began to wait.
	slot         int64
	waitingSince time.Time
	sends        [drainSlots]int
	arrivals     [drainSlots][maxUrgency + 1]int
}

// sent counts a request that leaves to be sent.
func (d *drain) sent(now time.Time) { d.sends[d.advance(now)]++ }

// arrived counts a request that comes.
func (d *drain) arrived(urgency int, now time.Time) { d.arrivals[d.advance(now)][urgency]++ }

// rate returns how many requests of the urgency leave in a second; false if requests haven't waited for long enough to tell. More urgent
// ones that came are taken off.
func (d *drain) rate(urgency int, now time.Time) (float64, bool) {
	d.advance(now)
	busy := min(now.Sub(d.waitingSince), drainSlots*drainSlot)
	if busy < minDrainTime {
		return 0, false
	}
	sends, urgent := 0, 0
	for i := range drainSlots {
		sends += d.sends[i]
		for _, n := range d.arrivals[i][:urgency] {
			urgent += n
		}
	}
	all := max(float64(sends), 1)
	return max(all-float64(urgent), minDrainShare*all) / busy.Seconds(), true
}

// advance clears the counts of the time since the last call, and returns the index of the current one.
func (d *drain) advance(now time.Time) int64 {
	slot := now.UnixNano() / int64(drainSlot)
	for range min(max(slot-d.slot, 0), drainSlots) {
		d.slot++
		d.sends[d.slot%drainSlots], d.arrivals[d.slot%drainSlots] = 0, [maxUrgency + 1]int{}
	}
	d.slot = max(d.slot, slot)
	return d.slot % drainSlots
}

// pace counts the requests of one client account that leave to be sent while others of it wait, since a time.
type pace struct {
	since time.Time
	sends float64
}

// sent counts a request that leaves to be sent. What is older than drainSlots counts half.
func (p *pace) sent(now time.Time) {
	p.sends++
	if elapsed := now.Sub(p.since); elapsed > drainSlots*drainSlot {
		p.since, p.sends = now.Add(-elapsed/2), p.sends/2
	}
}

// wait returns how long it takes until n requests have left; 0 if requests haven't waited for long enough to tell.
func (p *pace) wait(n int, now time.Time) time.Duration {
	elapsed := now.Sub(p.since)
	if elapsed < minDrainTime {
		return 0
	}
	return time.Duration(float64(n) / max(p.sends, 1) * float64(elapsed))
}
