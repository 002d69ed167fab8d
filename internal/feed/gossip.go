package feed

import (
	"context"
	"time"

	"cornelmux/internal/peer"
)

const (
	// gossipInterval is the time between two states that a VM sends.
	gossipInterval = 200 * time.Millisecond
	// collectTimeout bounds the wait for the sections of a state.
	collectTimeout = 50 * time.Millisecond
	// remoteFanout is the number of VMs of other zones that receive each state, in turn.
	remoteFanout = 2
	// maxRemoteStart bounds the number at which a VM starts to take the VMs of other zones in turn; it is more than there are.
	maxRemoteStart = 1 << 20
)

// maxClockDrift is the greatest difference that the monotonic clocks of two VMs gather, as a share of the time.
const maxClockDrift = 0.001

// stateID identifies the newest state that was received of a VM.
type stateID struct {
	incarnation uint64 // start of the VM's process, in Unix nanoseconds
	sequence    uint64 // number of the state in that incarnation
}

// transit tells how long the states of a VM take, on two clocks of which only the difference of differences counts.
type transit struct {
	shortest time.Duration
	readAt   time.Time
}

// delay returns how much longer a state took than the fastest one, and notes it. A VM that was paused reads states late.
func (t *transit) delay(took time.Duration, now time.Time) time.Duration {
	drift := time.Duration(maxClockDrift * float64(now.Sub(t.readAt)))
	if t.readAt.IsZero() || took < t.shortest+drift {
		t.shortest = took
	} else {
		t.shortest += drift
	}
	t.readAt = now
	return took - t.shortest
}

// gossip sends the state of the sections to the other VMs of the zone. Evidence, crashes, endpoints that are leaving and what is known of
// prompt blocks matter in every zone, so states with these also go to some VMs of other zones, as do the mean loads of the zone. Run calls
// it at each tick; it sends every gossipInterval, and nothing that is empty. A section that fails is left out.
func (c *Controller) gossip(ctx context.Context, now time.Time) {
	if now.Before(c.nextGossip) || len(c.secret) == 0 || len(c.sections) == 0 {
		return
	}
	c.nextGossip = now.Add(gossipInterval)
	self := c.opts.Self
	if len(c.members) < 2 {
		return
	}
	c.sequence++
	s := peer.State{VM: self.VM, Incarnation: c.incarnation, Sequence: c.sequence, Zone: self.Zone, PeerAddress: self.Address, SentAt: time.Since(c.started)}
	limited, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	for _, section := range c.sections {
		if err := section.Collect(limited, &s); err != nil {
			c.log.V(1).Info("state section not collected", "error", err.Error())
		}
	}
	remote := remoteReports(s.Endpoints)
	forAllZones := len(remote) > 0 || len(s.Evidence) > 0 || len(s.Crashes) > 0 || len(s.LostRuns) > 0 || len(s.Clearances) > 0 || len(s.BlockQuarantines) > 0
	zoneLoads := s.ZoneLoads
	s.ZoneLoads = nil // the VMs of the zone know more
	if len(s.Endpoints) > 0 || forAllZones {
		c.sendState(s, ZonePeers(self.VM, self.Zone, c.members))
	}
	if forAllZones || len(zoneLoads) > 0 {
		s.Endpoints, s.ZoneLoads = remote, zoneLoads // single loads matter only in their own zone
		c.sendState(s, c.nextRemotePeers())
	}
}

// slowReported is the slowness from which an endpoint is reported to other zones.
const slowReported = 2

// remoteReports returns what concerns VMs of other zones: the endpoints that are leaving, and those that are slow, without their loads.
// gossip calls it.
func remoteReports(reports []peer.EndpointReport) (out []peer.EndpointReport) {
	for _, e := range reports {
		r := peer.EndpointReport{Endpoint: e.Endpoint, Incarnation: e.Incarnation, Leaving: e.Leaving}
		if e.Slowness >= slowReported {
			r.Slowness = e.Slowness
		}
		if r.Leaving || r.Slowness > 0 {
			out = append(out, r)
		}
	}
	return out
}

// sendState sends a state to the addresses, in one datagram each. gossip calls it. A failure is only logged.
func (c *Controller) sendState(s peer.State, addresses []string) {
	packet, _, err := c.cursor.Encode(c.secret, peer.Packet{State: s})
	if err != nil {
		c.log.Info("state not sent", "error", err.Error())
		return
	}
	for _, address := range addresses {
		if err := c.transport.Send(address, packet); err != nil {
			c.log.V(1).Info("state not sent", "to", address, "error", err.Error())
		}
	}
}

// nextRemotePeers returns the next remoteFanout VMs of other zones in turn, or all of them if there are fewer.
func (c *Controller) nextRemotePeers() []string {
	all := RemotePeers(c.opts.Self.Zone, c.members)
	var out []string
	for range min(remoteFanout, len(all)) {
		c.nextRemote++
		out = append(out, all[c.nextRemote%len(all)])
	}
	return out
}

// receiveState passes a peer's state to the sections, unless the same or a newer one of that VM came before, its MAC is
// wrong or there is no secret yet. It is called for each datagram with a state.
func (c *Controller) receiveState(ctx context.Context, data []byte) {
	p, err := peer.Decode(c.secret, data)
	if err != nil || len(c.secret) == 0 {
		c.rejected++
		c.log.V(1).Info("state rejected", "refused", c.rejected)
		return
	}
	last := c.lastStates[p.VM]
	if p.Incarnation < last.incarnation || (p.Incarnation == last.incarnation && p.Sequence <= last.sequence) {
		return
	}
	if p.Incarnation != last.incarnation {
		c.transits[p.VM] = &transit{}
	}
	c.lastStates[p.VM] = stateID{p.Incarnation, p.Sequence}
	if p.SentAt > 0 {
		now := time.Now()
		p.Delay = c.transits[p.VM].delay(now.Sub(c.started)-p.SentAt, now)
	}
	for _, section := range c.sections {
		if err := section.Receive(ctx, p.State); err != nil {
			c.log.V(1).Info("state not applied", "vm", p.VM, "error", err.Error())
		}
	}
}
