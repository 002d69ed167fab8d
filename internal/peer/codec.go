package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"cornelmux/internal/wire"
)

const (
	// MaxPacketBytes is the size of the largest datagram that is sent; a larger one is rejected unread.
	MaxPacketBytes = 1200
	// FormatVersion is the first byte of each datagram.
	FormatVersion = 1
	versionBytes  = 1
	macBytes      = sha256.Size
	headerBytes   = versionBytes + macBytes
	// fieldBytes is the most that protobuf adds to an embedded message: two bytes of tag and two of length.
	fieldBytes = 4
	// relayedPercent is the share of a datagram's space for lists, in percent, that is reserved for states of other
	// VMs.
	relayedPercent = 40
)

// Errors of a rejected datagram.
var (
	ErrTruncated = errors.New("datagram is too short")
	ErrOversize  = errors.New("datagram is too long")
	ErrVersion   = errors.New("datagram has an unknown format version")
	ErrMAC       = errors.New("datagram has a wrong MAC")
	ErrMalformed = errors.New("datagram is malformed")
)

// Packet is the content of one datagram: the sender's own state and the relayed states of other VMs.
type Packet struct {
	State
	Relayed []State
}

// Cursor holds, for each list of a state, the index at which the next datagram starts, so that items that don't fit
// into one datagram go into a later one.
type Cursor struct{ start [listCount]int }

// Indexes of the lists in Cursor.start and in the arguments of allocate.
const (
	listHalts = iota
	listCrashes
	listSessions
	listEvidence
	listDemand
	listEndpoints
	listLatencies
	listLostRuns
	listClearances
	listBlockQuarantines
	listZoneLoads
	listRelayed
	listCount
)

// Encode returns a datagram of p with as much of its lists as fits, and the number of p.Relayed that it holds. It takes
// p.Relayed from the front; the other lists rotate from one datagram to the next. It is called for each datagram with a
// state, also by package feed, and fails if not even the names and addresses fit.
func (c *Cursor) Encode(key []byte, p Packet) ([]byte, int, error) {
	d := header(p.State)
	available := MaxPacketBytes - headerBytes - proto.Size(d)
	if available < 0 {
		return nil, 0, fmt.Errorf("%w: names and addresses alone don't fit", ErrOversize)
	}
	all := toWire(p.State)
	relayed := make([]*wire.Datagram, 0, len(p.Relayed))
	for _, s := range p.Relayed {
		relayed = append(relayed, toWire(s))
	}
	sizes := [][]int{
		sizesOf(all.Halts), sizesOf(all.Crashes), sizesOf(all.Sessions), sizesOf(all.Evidence),
		sizesOf(all.Demand), sizesOf(all.Endpoints), sizesOf(all.Latencies),
		sizesOf(all.LostRuns), sizesOf(all.Clearances), sizesOf(all.BlockQuarantines), sizesOf(all.ZoneLoads), sizesOf(relayed),
	}
	for i, list := range sizes {
		c.start[i] %= max(len(list), 1)
	}
	c.start[listRelayed] = 0
	n := allocate(available, sizes, c.start[:])
	d.Halts = rotate(all.Halts, c.start[listHalts], n[listHalts])
	d.Crashes = rotate(all.Crashes, c.start[listCrashes], n[listCrashes])
	d.Sessions = rotate(all.Sessions, c.start[listSessions], n[listSessions])
	d.Evidence = rotate(all.Evidence, c.start[listEvidence], n[listEvidence])
	d.Demand = rotate(all.Demand, c.start[listDemand], n[listDemand])
	d.Endpoints = rotate(all.Endpoints, c.start[listEndpoints], n[listEndpoints])
	d.Latencies = rotate(all.Latencies, c.start[listLatencies], n[listLatencies])
	d.LostRuns = rotate(all.LostRuns, c.start[listLostRuns], n[listLostRuns])
	d.Clearances = rotate(all.Clearances, c.start[listClearances], n[listClearances])
	d.BlockQuarantines = rotate(all.BlockQuarantines, c.start[listBlockQuarantines], n[listBlockQuarantines])
	d.ZoneLoads = rotate(all.ZoneLoads, c.start[listZoneLoads], n[listZoneLoads])
	d.Relayed = relayed[:n[listRelayed]]
	for i := range c.start {
		c.start[i] += n[i]
	}
	data, err := seal(key, d)
	return data, n[listRelayed], err
}

// allocate returns how many items of each list fit into the available bytes. It changes sizes. Relayed states get
// relayedPercent of them first, then all lists take turns for the rest. Encode calls it.
func allocate(available int, sizes [][]int, start []int) []int {
	relayed := sizes[listRelayed]
	reserved := Fill(available*relayedPercent/100, [][]int{relayed}, []int{0})[0]
	for _, size := range relayed[:reserved] {
		available -= size
	}
	sizes[listRelayed] = relayed[reserved:]
	n := Fill(available, sizes, start)
	n[listRelayed] += reserved
	return n
}

// seal marshals a datagram and adds the format version and the MAC. Encode calls it.
func seal(key []byte, d *wire.Datagram) ([]byte, error) {
	packet := make([]byte, headerBytes, MaxPacketBytes)
	packet[0] = FormatVersion
	packet, err := proto.MarshalOptions{}.MarshalAppend(packet, d)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	copy(packet[versionBytes:], mac(key, packet))
	return packet, nil
}

// mac returns the HMAC-SHA256 of a datagram without its MAC field.
func mac(key, packet []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(packet[:versionBytes])
	h.Write(packet[headerBytes:])
	return h.Sum(nil)
}

// Decode checks the MAC of a datagram and unmarshals it; the result doesn't refer to data. The Controllers of this package
// and of package feed call it for each datagram with a state. Its errors are those of a rejected datagram.
func Decode(key, data []byte) (Packet, error) {
	switch {
	case len(data) < headerBytes:
		return Packet{}, ErrTruncated
	case len(data) > MaxPacketBytes:
		return Packet{}, ErrOversize
	case data[0] != FormatVersion:
		return Packet{}, ErrVersion
	case !hmac.Equal(data[versionBytes:headerBytes], mac(key, data)):
		return Packet{}, ErrMAC
	}
	var d wire.Datagram
	if err := proto.Unmarshal(data[headerBytes:], &d); err != nil {
		return Packet{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	p := Packet{State: fromWire(&d)}
	for _, r := range d.Relayed {
		p.Relayed = append(p.Relayed, fromWire(r))
	}
	if !p.identified() {
		return Packet{}, fmt.Errorf("%w: no VM, incarnation or sequence", ErrMalformed)
	}
	return p, nil
}

// identified reports whether every state names its VM, incarnation and sequence. Decode rejects a datagram otherwise.
func (p Packet) identified() bool {
	for _, s := range append([]State{p.State}, p.Relayed...) {
		if s.VM == "" || s.Incarnation == 0 || s.Sequence == 0 {
			return false
		}
	}
	return true
}

// sizesOf returns the encoded size of each message in bytes, its field header included.
func sizesOf[M proto.Message](list []M) []int {
	sizes := make([]int, len(list))
	for i, m := range list {
		sizes[i] = proto.Size(m) + fieldBytes
	}
	return sizes
}

// header returns a datagram with the fields that every one carries, without lists.
func header(s State) *wire.Datagram {
	return &wire.Datagram{
		Vm: s.VM, Incarnation: s.Incarnation, Sequence: s.Sequence, Region: s.Region, Zone: s.Zone,
		ControlAddress: s.ControlAddress, PeerAddress: s.PeerAddress, Revision: s.Revision, Leaving: s.Leaving,
		SentMs: uint64(max(s.SentAt.Milliseconds(), 0)),
	}
}

// toWire converts a state with all its lists. Encode calls it.
func toWire(s State) *wire.Datagram {
	d := header(s)
	for _, e := range s.Endpoints {
		d.Endpoints = append(d.Endpoints, &wire.EndpointReport{
			Endpoint: e.Endpoint, Incarnation: e.Incarnation, Queued: uint32(max(e.Queued, 0)), Running: uint32(max(e.Running, 0)),
			AgeMs: uint32(max(e.Age.Milliseconds(), 0)), Leaving: e.Leaving, Suspect: e.Suspect, Versions: e.Versions,
			WorkPercent: toPercent(e.EngineLoad), FailedPermille: uint32(max(e.FailureRate, 0)*1000 + 0.5),
			SlowPercent: toPercent(e.Slowness), WaitingMs: toMillis(e.WaitingWork),
		})
	}
	for _, e := range s.Evidence {
		d.Evidence = append(d.Evidence, &wire.VersionEvidence{
			Model: e.Model, Version: e.Version, Answers: e.Answers, Failures: e.Failures, Rated: e.Rated, RatedBad: e.RatedBad, StartedAt: e.StartedAt,
			BadEndpoints: e.BadEndpoints, Paced: e.Paced, PacedSlow: e.PacedSlow,
		})
	}
	for _, a := range s.Demand {
		d.Demand = append(d.Demand, demandToWire(a))
	}
	for _, c := range s.Crashes {
		d.Crashes = append(d.Crashes, &wire.CrashReport{Fingerprint: c.Fingerprint, Endpoint: c.Endpoint, Target: c.Target, Parameters: c.Parameters.List()})
	}
	for _, b := range s.Sessions {
		d.Sessions = append(d.Sessions, &wire.SessionSet{Model: b.Model, Version: b.Version, Filter: b.Filter})
	}
	for _, h := range s.Halts {
		d.Halts = append(d.Halts, &wire.Halt{Model: h.Model, Version: h.Version, Reason: h.Reason, StartedAt: h.StartedAt})
	}
	for _, l := range s.Latencies {
		d.Latencies = append(d.Latencies, &wire.LatencyBaseline{
			Service: l.Service, Kind: l.Kind, Load: uint32(max(l.Load, 0)), Count: uint32(max(l.Count, 0)), MeanUs: uint64(max(l.Mean, 0).Microseconds()),
		})
	}
	for _, z := range s.ZoneLoads {
		d.ZoneLoads = append(d.ZoneLoads, &wire.ZoneLoad{Service: z.Service, WorkPercent: toPercent(z.EngineLoad), UsedPercent: toPercent(z.Utilization)})
	}
	blocksToWire(d, s)
	return d
}

// fromWire converts a received datagram, without its relayed states. Decode calls it.
func fromWire(d *wire.Datagram) State {
	s := State{
		VM: d.Vm, Incarnation: d.Incarnation, Sequence: d.Sequence, Region: d.Region, Zone: d.Zone,
		ControlAddress: d.ControlAddress, PeerAddress: d.PeerAddress, Revision: d.Revision, Leaving: d.Leaving,
		SentAt: time.Duration(d.SentMs) * time.Millisecond,
	}
	for _, e := range d.Endpoints {
		s.Endpoints = append(s.Endpoints, EndpointReport{
			Endpoint: e.Endpoint, Incarnation: e.Incarnation, Queued: int(e.Queued), Running: int(e.Running),
			Age: time.Duration(e.AgeMs) * time.Millisecond, Leaving: e.Leaving, Suspect: e.Suspect, Versions: e.Versions,
			EngineLoad: fromPercent(e.WorkPercent), FailureRate: float64(e.FailedPermille) / 1000, Slowness: fromPercent(e.SlowPercent),
			WaitingWork: fromMillis(e.WaitingMs),
		})
	}
	for _, e := range d.Evidence {
		s.Evidence = append(s.Evidence, VersionEvidence{
			Model: e.Model, Version: e.Version, Answers: e.Answers, Failures: e.Failures, Rated: e.Rated, RatedBad: e.RatedBad, StartedAt: e.StartedAt,
			BadEndpoints: e.BadEndpoints, Paced: e.Paced, PacedSlow: e.PacedSlow,
		})
	}
	for _, a := range d.Demand {
		s.Demand = append(s.Demand, demandFromWire(a))
	}
	for _, c := range d.Crashes {
		s.Crashes = append(s.Crashes, CrashReport{Fingerprint: c.Fingerprint, Endpoint: c.Endpoint, Target: c.Target, Parameters: NewParameters(c.Parameters)})
	}
	for _, b := range d.Sessions {
		s.Sessions = append(s.Sessions, SessionSet{Model: b.Model, Version: b.Version, Filter: b.Filter})
	}
	for _, h := range d.Halts {
		s.Halts = append(s.Halts, Halt{Model: h.Model, Version: h.Version, Reason: h.Reason, StartedAt: h.StartedAt})
	}
	for _, l := range d.Latencies {
		s.Latencies = append(s.Latencies, LatencyBaseline{
			Service: l.Service, Kind: l.Kind, Load: int(l.Load), Count: int(l.Count), Mean: time.Duration(l.MeanUs) * time.Microsecond,
		})
	}
	for _, z := range d.ZoneLoads {
		s.ZoneLoads = append(s.ZoneLoads, ZoneLoad{Service: z.Service, EngineLoad: fromPercent(z.WorkPercent), Utilization: fromPercent(z.UsedPercent)})
	}
	blocksFromWire(&s, d)
	return s
}

// blocksToWire adds the lists about prompt blocks for toWire.
func blocksToWire(d *wire.Datagram, s State) {
	for _, r := range s.LostRuns {
		d.LostRuns = append(d.LostRuns, &wire.LostRun{Request: r.Request, Endpoint: r.Endpoint, Blocks: r.Blocks, AgeMs: toMillis(r.Age)})
	}
	for _, c := range s.Clearances {
		d.Clearances = append(d.Clearances, &wire.Clearance{Key: c.Key, AgeMs: toMillis(c.Age)})
	}
	for _, q := range s.BlockQuarantines {
		d.BlockQuarantines = append(d.BlockQuarantines, &wire.BlockQuarantine{
			Block: q.Block, Companions: q.Companions, AgeMs: toMillis(q.Age), RemainingMs: toMillis(q.Remaining),
			Requests: uint32(max(q.Requests, 0)), Endpoints: uint32(max(q.Endpoints, 0)), SpanMs: toMillis(q.Span),
		})
	}
}

// blocksFromWire is the reverse of blocksToWire.
func blocksFromWire(s *State, d *wire.Datagram) {
	for _, r := range d.LostRuns {
		s.LostRuns = append(s.LostRuns, LostRun{Request: r.Request, Endpoint: r.Endpoint, Blocks: r.Blocks, Age: fromMillis(r.AgeMs)})
	}
	for _, c := range d.Clearances {
		s.Clearances = append(s.Clearances, Clearance{Key: c.Key, Age: fromMillis(c.AgeMs)})
	}
	for _, q := range d.BlockQuarantines {
		s.BlockQuarantines = append(s.BlockQuarantines, BlockQuarantine{
			Block: q.Block, Companions: q.Companions, Age: fromMillis(q.AgeMs), Remaining: fromMillis(q.RemainingMs),
			Requests: int(q.Requests), Endpoints: int(q.Endpoints), Span: fromMillis(q.SpanMs),
		})
	}
}

// toPercent returns a ratio in whole percent; a negative one is 0.
func toPercent(ratio float64) uint32 { return uint32(max(ratio, 0)*100 + 0.5) }

// fromPercent is the reverse of toPercent.
func fromPercent(percent uint32) float64 { return float64(percent) / 100 }

// toMillis returns a time in whole milliseconds; a negative one is 0.
func toMillis(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// fromMillis is the reverse of toMillis.
func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// demandToWire converts a demand for toWire; a loan without a VM is left out.
func demandToWire(a AccountDemand) *wire.AccountDemand {
	d := &wire.AccountDemand{Account: a.Account, RequestsPerSecond: a.RequestsPerSecond, Stamp: a.ID}
	if a.Loan.VM != "" {
		d.Loan = &wire.LimitLoan{Vm: a.Loan.VM, Stamp: a.Loan.DemandID, RequestsPerSecond: a.Loan.RequestsPerSecond}
	}
	return d
}

// demandFromWire is the reverse of demandToWire.
func demandFromWire(d *wire.AccountDemand) AccountDemand {
	a := AccountDemand{Account: d.Account, RequestsPerSecond: d.RequestsPerSecond, ID: d.Stamp}
	if d.Loan != nil {
		a.Loan = LimitLoan{VM: d.Loan.Vm, DemandID: d.Loan.Stamp, RequestsPerSecond: d.Loan.RequestsPerSecond}
	}
	return a
}
