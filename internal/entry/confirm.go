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

const maxAuditRecords = 1000

// MemberStatus is what a VM heard of an entry VM.
type MemberStatus struct {
	VM       string `json:"vm"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Leaving  bool   `json:"leaving,omitempty"`
	// Silent says that the VM has not been heard of for too long, so that its revision isn't known.
	Silent bool `json:"silent,omitempty"`
}

// ZoneStatus says which revision every VM of an availability zone has confirmed.
type ZoneStatus struct {
	Region string `json:"region"`
	Zone   string `json:"zone"`
	VMs    int    `json:"vms"`
	// Revision is the lowest among the VMs that are heard of.
	Revision uint64 `json:"revision"`
	// Unreachable counts the VMs that are not heard of; if it is VMs, nothing of the zone is known.
	Unreachable int `json:"unreachable"`
}

// Confirms reports whether every VM of the zone is known to hold the revision; a zone without a known VM confirms nothing.
func (z ZoneStatus) Confirms(revision uint64) bool {
	return z.VMs > 0 && z.Unreachable == 0 && z.Revision >= revision
}

// Zones sums members up by availability zone, those included that only endpoints are known of.
// VMs that are leaving take no new work and don't count.
func Zones(members []MemberStatus, endpoints []endpoint.Endpoint) []ZoneStatus {
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
		case m.Silent:
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

// addFleet fills in what the VM knows of the fleet and of roll-outs.
func (c *control) addFleet(ctx context.Context, s *Status, endpoints []endpoint.Endpoint, provenAt time.Time) error {
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
	s.Zones = Zones(s.Members, endpoints)
	if !provenAt.IsZero() {
		s.ProvenAgeMS = time.Since(provenAt).Milliseconds()
	}
	s.RollOuts, err = c.vm.rollouts.Status(ctx)
	return err
}

func memberStatus(m peer.Member) MemberStatus {
	return MemberStatus{
		VM: m.VM, Region: m.Region, Zone: m.Zone, Revision: m.Revision, Leaving: m.Leaving,
		Silent: m.Unresponsive() || m.HeardAt.IsZero(),
	}
}

// Audit implements wireconnect.ControlServiceHandler.
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
