package feed

import (
	"slices"
	"time"

	"github.com/go-logr/logr"
)

const (
	// sendBurst is the maximum number of datagrams of updates that a VM sends between two ticks: a burst beyond the queue of its
	// link is lost, always to the same VMs.
	sendBurst = 40
	// maxWaiting is the maximum number of datagrams that wait to be sent; replies beyond it are dropped.
	maxWaiting = 4096
	// maxReplyDatagrams bounds a reply; a VM that lacks more reads the store.
	maxReplyDatagrams = 256
	// maxSentMessages is the number of messages whose datagrams are kept, to be sent again one by one.
	maxSentMessages = 8
)

// SentMessage holds the datagrams of a message, and the changes that it has.
type SentMessage struct {
	number   uint64
	from, to uint64
	packets  [][]byte
}

// outgoing is a datagram that waits to be sent.
type outgoing struct {
	address string
	packet  []byte
}

// Outbox spreads the datagrams of updates over time, and keeps those of the last messages.
type Outbox struct {
	waiting []outgoing
	// budget is how many datagrams may still be sent before the next tick.
	budget int
	// sent holds the last messages of several datagrams, oldest first.
	sent []SentMessage
	// later is set if the changes after laterFrom are to be forwarded once nothing waits.
	later     bool
	laterFrom uint64
}

// Collect returns the revision to forward from, with the changes that had to wait, and true; or false if the changes have to wait
// for earlier datagrams.
func (o *Outbox) Collect(from uint64) (uint64, bool) {
	if o.later {
		from = min(from, o.laterFrom)
	}
	o.later, o.laterFrom = len(o.waiting) > 0, from
	return from, !o.later
}

// Reset forgets the messages sent and the changes that wait, whose revisions no longer count. beginEra calls it.
func (o *Outbox) Reset() { o.sent, o.later, o.laterFrom = nil, false, 0 }

// Add queues the datagrams for each address, and remembers the message. The Controller calls Flush after it.
func (o *Outbox) Add(m SentMessage, addresses ...string) {
	if _, kept := o.message(m.number); !kept && len(m.packets) > 1 {
		o.sent = append(o.sent, m)
		o.sent = o.sent[max(len(o.sent)-maxSentMessages, 0):]
	}
	for _, address := range addresses {
		o.queue(address, m.packets)
	}
}

// AddParts queues single datagrams of a kept message, and reports whether it is still kept.
func (o *Outbox) AddParts(number uint64, parts []uint16, address string) bool {
	m, ok := o.message(number)
	if !ok {
		return false
	}
	for _, i := range parts {
		if int(i) < len(m.packets) {
			o.queue(address, m.packets[i:i+1])
		}
	}
	return true
}

// Reply returns the kept message with exactly these changes, so that it is encoded only once.
func (o *Outbox) Reply(from, to uint64) (SentMessage, bool) {
	for _, m := range o.sent {
		if m.from == from && m.to == to {
			return m, true
		}
	}
	return SentMessage{}, false
}

// WaitsFor reports whether a datagram to the address waits.
func (o *Outbox) WaitsFor(address string) bool {
	return slices.ContainsFunc(o.waiting, func(w outgoing) bool { return w.address == address })
}

// message returns the kept message of a number.
func (o *Outbox) message(number uint64) (SentMessage, bool) {
	for _, m := range o.sent {
		if m.number == number {
			return m, true
		}
	}
	return SentMessage{}, false
}

// queue adds datagrams unless maxWaiting wait already.
func (o *Outbox) queue(address string, packets [][]byte) {
	if len(o.waiting)+len(packets) > maxWaiting {
		return
	}
	for _, p := range packets {
		o.waiting = append(o.waiting, outgoing{address, p})
	}
}

// Flush sends what waits, up to the budget.
func (o *Outbox) Flush(t Transport, log logr.Logger) {
	n := min(o.budget, len(o.waiting))
	for _, w := range o.waiting[:n] {
		if err := t.Send(w.address, w.packet); err != nil {
			log.V(1).Info("update not sent", "to", w.address, "error", err.Error())
		}
	}
	o.budget -= n
	o.waiting = slices.Delete(o.waiting, 0, n)
}

// sendWaiting begins a new budget at a tick and sends what waits. Once nothing waits, it forwards the changes that came
// meanwhile.
func (c *Controller) sendWaiting(now time.Time) {
	c.outbox.budget = sendBurst
	c.outbox.Flush(c.transport, c.log)
	if len(c.outbox.waiting) == 0 && c.outbox.later {
		c.forward(c.outbox.laterFrom, now)
	}
}
