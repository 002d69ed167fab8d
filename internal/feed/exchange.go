package feed

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"cornelmux/internal/peer"
)

const (
	// resendWindow bounds the age of the oldest update whose changes are sent again, for VMs that missed a datagram.
	resendWindow = 6 * time.Second
	// maxResendBytes bounds the keys and values of an update that repeats earlier changes.
	maxResendBytes = 6 << 10
	// requestInterval is the shortest time between two requests of a VM for missing changes.
	requestInterval = 200 * time.Millisecond
	// partTimeout is the time without a further datagram after which the missing ones of an update are requested.
	partTimeout = 150 * time.Millisecond
	// maxPartRequests is the number of requests for the datagrams of one update; after them the VM reads the store.
	maxPartRequests = 3
	// maxReassemblers is the maximum number of incomplete updates; when it is reached, all of them are dropped.
	maxReassemblers = 64
)

// forwardedRevision notes that the changes after revision were sent at a time.
type forwardedRevision struct {
	revision uint64
	at       time.Time
}

// forward sends the changes after the revision to the other VMs of the zone, if this VM is the reader or a backup reader.
// The changes of earlier updates are sent again with them, back to where the oldest update of the last resendWindow began,
// if they fit maxResendBytes. It is called after each watch, and by sendWaiting: while an earlier update is still being sent,
// the changes wait, and are sent as one. If the replica no longer has all the changes, nothing is sent, and the other VMs watch
// the store after their silence timeout.
func (c *Controller) forward(from uint64, now time.Time) {
	if c.zoneRank > rankLastBackup {
		return
	}
	peers := ZonePeers(c.opts.Self.VM, c.opts.Self.Zone, c.members)
	if len(peers) == 0 || len(c.secret) == 0 {
		return
	}
	from, ready := c.outbox.Collect(from)
	if !ready {
		return
	}
	items, complete := c.replica.Since(from)
	if !complete {
		return
	}
	for len(c.forwarded) > 0 && now.Sub(c.forwarded[0].at) > resendWindow {
		c.forwarded = c.forwarded[1:]
	}
	if len(c.forwarded) > 0 {
		if resend, ok := c.replica.Since(c.forwarded[0].revision); ok && totalBytes(resend) <= maxResendBytes {
			from, items = c.forwarded[0].revision, resend
		}
	}
	c.forwarded = append(c.forwarded, forwardedRevision{from, now})
	c.send(Update{From: from, To: c.revision, Items: items}, peers...)
}

// totalBytes returns the size of the items' keys and values.
func totalBytes(items []Item) int {
	n := 0
	for _, i := range items {
		n += len(i.Key) + len(i.Value)
	}
	return n
}

// send sends an update or a request to the addresses; a VM that misses an update asks for the changes later. forward and the
// requests call it. Failures are only logged; without a secret nothing is sent.
func (c *Controller) send(u Update, addresses ...string) {
	if m, ok := c.encode(u); ok {
		c.outbox.Add(m, addresses...)
		c.outbox.Flush(c.transport, c.log)
	}
}

// encode returns the next message, with the update. It fails without a secret, and for an update that is too large.
func (c *Controller) encode(u Update) (SentMessage, bool) {
	if len(c.secret) == 0 {
		return SentMessage{}, false
	}
	c.messageNumber++
	u.VM, u.Address, u.Era = c.opts.Self.VM, c.opts.Self.Address, c.era
	packets, err := Encode(c.secret, c.messageNumber, u)
	if err != nil {
		c.log.Info("update not sent", "error", err.Error())
		return SentMessage{}, false
	}
	return SentMessage{c.messageNumber, u.From, u.To, packets}, true
}

// handle applies a peer's state or update, or replies to its request. The first byte of a datagram tells a state from an
// update. Updates are ignored before the first full scan, requests until it is complete. After a full scan, an update may
// bring the changes since then in place of the watch, which the store may refuse. An update that ends before the replica's
// revision, or of an earlier era, is dropped. The transport delivers one message for each datagram.
func (m packetMessage) handle(ctx context.Context, c *Controller) {
	if len(m.data) > 0 && m.data[0] == peer.FormatVersion {
		c.receiveState(ctx, m.data)
		return
	}
	u, ok := c.reassemble(m.data)
	if ok && c.era == 0 {
		c.era = u.Era
	}
	switch {
	case ok && u.Request && len(u.Parts) > 0:
		c.resendParts(u)
	case !ok || (!c.completed && c.scanKeys == nil):
	case u.Request && u.WantsKept:
		c.replyKept(u)
	case u.Request:
		if c.completed && c.scanKeys == nil {
			c.reply(u)
		}
	case u.Era < c.era:
		c.log.V(1).Info("update of an earlier era dropped", "vm", u.VM, "era", u.Era)
	case u.Era > c.era:
		c.followEra(ctx, u)
	case len(u.Kept) > 0:
		c.noteApplied(u.Number)
		c.adoptKept(ctx, u.Kept)
	case u.From > c.revision:
		c.requestMissing(ctx, u)
	case u.To >= c.revision:
		c.noteApplied(u.Number)
		c.apply(ctx, u.Items)
		c.revision = u.To
		if len(u.Keys) > 0 {
			c.scanKeys = u.Keys
		}
		if c.scanKeys != nil {
			c.finishScan(ctx, u.Items)
		}
		c.markCurrent(ctx)
	}
}

// reassemble adds a datagram to those of its update, and returns the update once it is complete. It is called for each
// datagram that isn't a state. A rejected datagram drops the parts of its update that came before.
func (c *Controller) reassemble(data []byte) (Update, bool) {
	key := string(data[min(len(data), 1+macBytes):min(len(data), 1+macBytes+numberBytes)])
	r, ok := c.reassemblers[key]
	if !ok {
		if len(key) == numberBytes && slices.Contains(c.applied, binary.BigEndian.Uint64([]byte(key))) {
			return Update{}, false
		}
		if len(c.reassemblers) >= maxReassemblers {
			c.reassemblers = map[string]*Reassembler{}
		}
		r = &Reassembler{since: time.Now()}
		c.reassemblers[key] = r
	}
	u, complete, err := r.Add(c.secret, data)
	if err != nil {
		c.rejected++
		c.log.V(1).Info("update rejected", "error", err.Error(), "refused", c.rejected)
	}
	if err != nil || complete {
		delete(c.reassemblers, key)
		return u, complete && err == nil
	}
	r.at = time.Now()
	return u, false
}

// requestParts asks the senders of incomplete updates for the datagrams that are missing, a while after the last one came. An
// update is given up after maxPartRequests, or if its sender isn't known; the store is read then. Run calls it at each tick.
func (c *Controller) requestParts(ctx context.Context, now time.Time) {
	for key, r := range c.reassemblers {
		if now.Sub(r.at) < partTimeout {
			continue
		}
		address := c.senderAddress(r.number)
		if r.requests >= maxPartRequests || address == "" || len(c.secret) == 0 {
			delete(c.reassemblers, key)
			c.readUnlessUpdated(ctx, r.since, now)
			continue
		}
		r.requests++
		r.at = now
		c.send(Update{Request: true, Number: r.number, Parts: r.Missing()}, address)
	}
}

// readUnlessUpdated has the store read unless an update was applied since a time.
func (c *Controller) readUnlessUpdated(ctx context.Context, since, now time.Time) {
	if c.lastUpdateAt.Before(since) {
		c.lastUpdateAt = time.Time{}
		c.startRead(ctx, now)
	}
}

// resendParts sends a VM the datagrams that it requested. The handler of packetMessage calls it.
func (c *Controller) resendParts(u Update) {
	if c.outbox.WaitsFor(u.Address) {
		return // they may be among those that wait
	}
	kept := c.outbox.AddParts(u.Number, u.Parts, u.Address)
	c.outbox.Flush(c.transport, c.log)
	c.log.V(1).Info("parts of an update requested", "vm", u.VM, "parts", len(u.Parts), "kept", kept)
}

// senderAddress returns the address of the zone's VM that sent a message number, or none if no member sent it.
func (c *Controller) senderAddress(number uint64) string {
	for _, m := range c.members {
		if m.VM != c.opts.Self.VM && m.Zone == c.opts.Self.Zone && messageBase(m.VM) == number&^messageCountMask {
			return m.Address
		}
	}
	return ""
}

// noteApplied notes that a message was applied, and drops the incomplete ones that its sender sent before.
func (c *Controller) noteApplied(number uint64) {
	c.applied = append(c.applied, number)
	c.applied = c.applied[max(len(c.applied)-maxSentMessages, 0):]
	for key, r := range c.reassemblers {
		if r.number&^messageCountMask == number&^messageCountMask && r.number < number {
			delete(c.reassemblers, key)
		}
	}
}

// requestMissing asks the sender of an update for the changes before it, and has the store read if no reply comes
// within requestInterval. It is called for an update that begins after the replica's revision.
func (c *Controller) requestMissing(ctx context.Context, u Update) {
	now := time.Now()
	if now.Sub(c.lastRequestAt) >= requestInterval {
		c.lastRequestAt = now
		c.send(Update{From: c.revision, Request: true}, u.Address)
	}
	c.lastUpdateAt = time.Time{}
	if c.missingSince.IsZero() {
		c.missingSince = now
		if !c.reading && !c.readFailed {
			c.nextRead = now.Add(requestInterval)
		}
	}
	c.startRead(ctx, now)
}

// reply sends a VM the changes that it requested, with all keys if deletions may be missing among them. A VM that knows another era gets
// the whole replica. If the changes are too large, that VM reads the store. The VMs that lack the same changes get the same message. The
// handler of packetMessage calls it.
func (c *Controller) reply(u Update) {
	if c.outbox.WaitsFor(u.Address) {
		return // what it asks for may wait already, and it asks again
	}
	if u.Era > c.era {
		return
	}
	from := u.From
	if u.Era != c.era {
		from = 0
	}
	m, encoded := c.outbox.Reply(from, c.revision)
	if !encoded {
		items, complete := c.replica.Since(from)
		answer := Update{From: from, To: c.revision, Items: items}
		if !complete {
			answer.Keys = c.replica.Keys()
		}
		m, encoded = c.encode(answer)
		if !encoded || len(m.packets) > maxReplyDatagrams {
			c.log.Info("update request not answered", "vm", u.VM, "from", from, "bytes", totalBytes(items), "datagrams", len(m.packets), "whole", complete)
			return
		}
	}
	c.outbox.Add(m, u.Address)
	c.outbox.Flush(c.transport, c.log)
}

// markCurrent notes that an update made the replica current. It reports the store as reachable through a peer, unless the VM
// is a reader whose own watches succeed and tell it. The handler of packetMessage calls it for each applied update.
func (c *Controller) markCurrent(ctx context.Context) {
	c.lastUpdateAt, c.missingSince = time.Now(), time.Time{}
	if c.zoneRank != rankReader || c.readFailed {
		c.receiver.SetReachable(ctx, true, nil)
	}
}
