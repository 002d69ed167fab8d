package warmup

import (
	"slices"
	"time"
)

const (
	// joinDelay is how long after this VM is listed as a member it takes no share: by then all VMs that learn of changes know it.
	joinDelay = 5 * time.Second
	// keepGone is how long a VM that is no longer listed counts as a member. It may be cut off from the store and still send.
	keepGone = time.Hour
	// maxGone is how many such VMs are remembered; the longest gone are forgotten first.
	maxGone = 1024
)

// Members is what a VM knows of the VMs that share the rates of cold endpoints: those of its availability zone. The zero value knows
// none.
type Members struct {
	// listedAt is when this VM was listed; zero if it isn't.
	listedAt time.Time
	// gone holds when each VM was last seen to be missing, listed the others.
	listed []string
	gone   map[string]time.Time
}

// Set takes in the VMs that are listed now, self among them if it is. A VM that isn't listed sends nothing to cold endpoints.
func (m *Members) Set(self string, listed []string, now time.Time) {
	if m.gone == nil {
		m.gone = map[string]time.Time{}
	}
	for _, vm := range m.listed {
		if !slices.Contains(listed, vm) {
			m.gone[vm] = now
		}
	}
	m.listed = slices.Clone(listed)
	for _, vm := range listed {
		delete(m.gone, vm)
	}
	m.forget(now)
	switch isListed := slices.Contains(listed, self); {
	case !isListed:
		m.listedAt = time.Time{}
	case m.listedAt.IsZero():
		m.listedAt = now
	}
}

// forget drops the VMs that are gone for keepGone, and the longest gone beyond maxGone. Set calls it.
func (m *Members) forget(now time.Time) {
	for vm, at := range m.gone {
		if now.Sub(at) >= keepGone {
			delete(m.gone, vm)
		}
	}
	for len(m.gone) > maxGone {
		oldest := ""
		for vm, at := range m.gone {
			if oldest == "" || at.Before(m.gone[oldest]) {
				oldest = vm
			}
		}
		delete(m.gone, oldest)
	}
}

// Joined reports whether this VM may take a share: it has been listed for joinDelay.
func (m *Members) Joined(now time.Time) bool {
	return !m.listedAt.IsZero() && now.Sub(m.listedAt) >= joinDelay
}

// All returns the members by name, also those that are gone for less than keepGone.
func (m *Members) All() []string {
	all := slices.Clone(m.listed)
	for vm := range m.gone {
		all = append(all, vm)
	}
	slices.Sort(all)
	return all
}
