package feed

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

// staleSource is a Source whose stale pages show the store as it was at a revision. It serves one key a page.
type staleSource struct {
	changes []Item
	// pageRevisions are the revisions that the stale pages show, in order; the last one stands for all further pages.
	pageRevisions []uint64
	pages         int
}

// Range implements Source.
func (s *staleSource) Range(_ context.Context, after string, stale bool) (Page, error) {
	revision := s.changes[len(s.changes)-1].Revision
	if stale {
		revision = s.pageRevisions[min(s.pages, len(s.pageRevisions)-1)]
	}
	s.pages++
	newest := map[string]Item{}
	for _, i := range s.changes {
		if i.Revision <= revision && i.Key > after {
			newest[i.Key] = i
		}
	}
	p := Page{Revision: revision}
	for _, i := range newest {
		if !i.Deleted && (len(p.Items) == 0 || i.Key < p.Items[0].Key) {
			p.More = p.More || len(p.Items) > 0
			p.Items = []Item{i}
		} else if !i.Deleted {
			p.More = true
		}
	}
	return p, nil
}

// Watch implements Source.
func (s *staleSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	var items []Item
	for _, i := range s.changes {
		if i.Revision > after {
			items = append(items, i)
		}
	}
	if len(items) == 0 {
		task.Sleep(ctx, wait)
	}
	return Changes{Items: items, Revision: s.changes[len(s.changes)-1].Revision}, ctx.Err()
}

// snapshotReceiver is a Receiver that notes what is known when the first full scan is complete.
type snapshotReceiver struct {
	known    map[string]string
	complete chan map[string]string
}

func (r *snapshotReceiver) Apply(_ context.Context, i Item) {
	if i.Deleted {
		delete(r.known, i.Key)
		return
	}
	r.known[i.Key] = string(i.Value)
}

func (r *snapshotReceiver) ApplyFullScan(_ context.Context, keys []string) {
	state := map[string]string{}
	for key, value := range r.known {
		if slices.Contains(keys, key) {
			state[key] = value
		}
	}
	r.complete <- state
}
func (*snapshotReceiver) Compare(Item, Item) Precedence             { return PrecedenceUnknown }
func (*snapshotReceiver) SetRestored(context.Context)               {}
func (*snapshotReceiver) SetFleetRank(context.Context, int)         {}
func (*snapshotReceiver) SetZoneMembers(context.Context, []string)  {}
func (*snapshotReceiver) SetReachable(context.Context, bool, error) {}

// TestRestartForgetsWhatIsGone checks that a VM that starts with stale pages isn't ready before it knows that a server has left
// and a key was withdrawn.
func TestRestartForgetsWhatIsGone(t *testing.T) {
	changes := []Item{
		{Key: "routes", Value: []byte("with the key"), Revision: 1},
		{Key: "endpoints/e1", Value: []byte("ready"), Revision: 2},
		{Key: "endpoints/e2", Value: []byte("ready"), Revision: 3},
		{Key: "endpoints/e1", Revision: 4, Deleted: true},
		{Key: "routes", Value: []byte("without the key"), Revision: 5},
	}
	want := map[string]string{"routes": "without the key", "endpoints/e2": "ready"}
	tests := []struct {
		name          string
		pageRevisions []uint64
	}{
		{"pages are current", []uint64{5}},
		{"all pages are stale", []uint64{3}},
		{"the first page is current, the others are stale", []uint64{5, 3}},
		{"the first page is stale, the others are current", []uint64{3, 5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				r := &snapshotReceiver{known: map[string]string{}, complete: make(chan map[string]string, 16)}
				net := &network{inboxes: map[string]chan []byte{"vm": make(chan []byte, 16)}}
				source := &staleSource{changes: changes, pageRevisions: test.pageRevisions}
				o := Options{Self: Member{VM: "vm", Zone: "z", Address: "vm"}, PropagationBound: time.Second}
				ends := make(chan task.End, 1)
				task.Start(ctx, "vm", ends, New(source, vmStore{newStore(ctx), "vm"}, networkPort{net, "vm"}, r, o, logr.Discard()).Run)
				qt.Check(t, <-r.complete, qt.DeepEquals, want)
				cancel()
				<-ends
			})
		})
	}
}
