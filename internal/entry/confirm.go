package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
	"cornelmux/internal/wire"
	"cornelmux/pkg/result"
)

// maxAuditRecords bounds the audit records in one response.
const maxAuditRecords = 1000

// MemberStatus is what this VM last heard from another, or its own state. Revision is that of the configuration in force there.
type MemberStatus struct {
	VM       string `json:"vm"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Leaving  bool   `json:"leaving,omitempty"`
	// Unresponsive says that nothing was heard from the VM for too long, so that its revision isn't known.
	Unresponsive bool `json:"silent,omitempty"`
}

// ZoneStatus sums up the VMs of an availability zone, leaving ones excluded.
type ZoneStatus struct {
	Region string `json:"region"`
	Zone   string `json:"zone"`
	VMs    int    `json:"vms"`
	// Revision is the lowest among the responsive VMs.
	Revision uint64 `json:"revision"`
	// Unreachable counts the unresponsive VMs; if it equals VMs, Revision means nothing.
	Unreachable int `json:"unreachable"`
}

// Confirms reports whether every VM of the zone is known to have the revision in force. A zone without a known VM confirms
// nothing.
func (z ZoneStatus) Confirms(revision uint64) bool {
	return z.VMs > 0 && z.Unreachable == 0 && z.Revision >= revision
}

// SummarizeZones groups members by availability zone, in the order of regions and zones. Zones that have endpoints but no member
// are included; members and endpoints that are leaving take no new requests and don't count. addFleet calls it.
func SummarizeZones(members []MemberStatus, endpoints []endpoint.Endpoint) []ZoneStatus {
	var zones []ZoneStatus
	find := func(region, zone string) *ZoneStatus {
		i := slices.IndexFunc(zones, func(z ZoneStatus) bool { return z.Region == region && z.Zone == zone })
		if i < 0 {
			i = len(zones)
			zones = append(zones, ZoneStatus{Region: region, Zone: zone})
		}
		return &zones[i]
	}
	for _, e := range endpoints {
		if !e.Leaving {
			find(e.Region, e.Zone)
		}
	}
	for _, m := range members {
		if m.Leaving {
			continue
		}
		z := find(m.Region, m.Zone)
		z.VMs++
		switch {
		case m.Unresponsive:
			z.Unreachable++
		case z.VMs-z.Unreachable == 1:
			z.Revision = m.Revision
		default:
			z.Revision = min(z.Revision, m.Revision)
		}
	}
	slices.SortFunc(zones, func(a, b ZoneStatus) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return zones
}

// addFleet adds members, zones, rollouts and the age of the configuration's confirmation to a status, which has the VM's own
// state already. Status calls it.
func (c *control) addFleet(ctx context.Context, s *Status, endpoints []endpoint.Endpoint, confirmedAt time.Time) error {
	list, err := c.vm.peers.Members(ctx)
	if err != nil {
		return err
	}
	s.Members = []MemberStatus{{VM: s.VM, Region: s.Region, Zone: s.Zone, Revision: s.Revision, Leaving: s.Leaving}}
	for _, m := range list {
		if m.VM != s.VM {
			s.Members = append(s.Members, memberStatus(m))
		}
	}
	s.Zones = SummarizeZones(s.Members, endpoints)
	if !confirmedAt.IsZero() {
		s.ConfirmedAgeMS = time.Since(confirmedAt).Milliseconds()
	}
	s.RollOuts, err = c.vm.rollouts.Status(ctx)
	return err
}

// memberStatus converts a member. One that was never heard from counts as unresponsive.
func memberStatus(m peer.Member) MemberStatus {
	return MemberStatus{
		VM: m.VM, Region: m.Region, Zone: m.Zone, Revision: m.Revision, Leaving: m.Leaving,
		Unresponsive: m.Unresponsive() || m.HeardAt.IsZero(),
	}
}

// Audit implements wireconnect.ControlServiceHandler. It returns up to maxAuditRecords records after a revision.
func (c *control) Audit(ctx context.Context, r *wire.AuditRequest) (*wire.AuditResponse, error) {
	records, err := c.vm.configurations.AuditTrail(ctx, r.AfterRevision, maxAuditRecords)
	if err != nil {
		return nil, connectError(err)
	}
	resp := &wire.AuditResponse{}
	for _, record := range records {
		data, err := json.Marshal(record)
		if err != nil {
			return nil, connectError(result.Errorf(result.Internal, "%v", err))
		}
		resp.Records = append(resp.Records, data)
	}
	return resp, nil
}
