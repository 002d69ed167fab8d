package entry

import (
	"context"

	"cornelmux/internal/filter"
	"cornelmux/internal/peer"
)

// revision tells peers which configuration is in force.
type revision struct {
	configurations filter.Configurations
}

// Collect implements peer.Section.
func (r revision) Collect(ctx context.Context, s *peer.State) error {
	now, err := r.configurations.Current(ctx)
	s.Revision = now.Revision
	return err
}

// Receive implements peer.Section.
func (r revision) Receive(context.Context, peer.State) error { return nil }
