package feed

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

// memberRecorder is a Receiver that passes on the members and the end of each full scan, in their order.
type memberRecorder struct{ told chan string }

func (memberRecorder) Apply(context.Context, Item)               {}
func (memberRecorder) Compare(Item, Item) Precedence             { return PrecedenceUnknown }
func (memberRecorder) SetRestored(context.Context)               {}
func (memberRecorder) SetFleetRank(context.Context, int)         {}
func (memberRecorder) SetReachable(context.Context, bool, error) {}

func (r memberRecorder) ApplyFullScan(context.Context, []string) { r.told <- "full scan" }

func (r memberRecorder) SetZoneMembers(_ context.Context, vms []string) {
	r.told <- strings.Join(vms, " ")
}

// TestReceiverLearnsTheMembersOfItsZone guards against a VM that shares the rate of a cold endpoint by members that aren't complete, or
// that are of another zone, or no longer there.
func TestReceiverLearnsTheMembersOfItsZone(t *testing.T) {
	tests := []struct {
		name   string
		before []string
		change func(ctx context.Context, s store)
		want   []string
	}{
		{"alone", nil, func(context.Context, store) {}, []string{"full scan", "vm"}},
		{"others of the zone", []string{"a", "b"}, func(context.Context, store) {}, []string{"full scan", "a b vm"}},
		{"one of another zone", []string{"a", "other"}, func(context.Context, store) {}, []string{"full scan", "a vm"}},
		{"one joins", []string{"a"}, func(ctx context.Context, s store) { s.put(ctx, memberPrefix+"b", memberValue("b")) }, []string{"full scan", "a vm", "a b vm"}},
		{"one leaves", []string{"a"}, func(ctx context.Context, s store) { s.remove(ctx, memberPrefix+"a") }, []string{"full scan", "a vm", "vm"}},
		{"one of another zone joins", nil, func(ctx context.Context, s store) { s.put(ctx, memberPrefix+"other", memberValue("other")) }, []string{"full scan", "vm"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newStore(ctx)
				for _, vm := range test.before {
					s.put(ctx, memberPrefix+vm, memberValue(vm))
				}
				r := memberRecorder{make(chan string, 16)}
				net := &network{inboxes: map[string]chan []byte{"vm": make(chan []byte, 16), "a": make(chan []byte, 1024), "b": make(chan []byte, 1024), "other": make(chan []byte, 1024)}}
				o := Options{Self: Member{VM: "vm", Zone: "z", Address: "vm"}, PropagationBound: time.Second}
				ends := make(chan task.End, 1)
				task.Start(ctx, "vm", ends, New(vmStore{s, "vm"}, vmStore{s, "vm"}, networkPort{net, "vm"}, r, o, logr.Discard()).Run)
				time.Sleep(5 * time.Second)
				test.change(ctx, s)
				time.Sleep(5 * time.Second)
				cancel()
				<-ends
				close(r.told)
				qt.Check(t, slices.Collect(received(r.told)), qt.DeepEquals, test.want)
			})
		})
	}
}

// received returns what a closed channel holds.
func received(told <-chan string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for text := range told {
			if !yield(text) {
				return
			}
		}
	}
}

// memberValue returns the member record of a VM of zone z; the VM "other" is of another zone.
func memberValue(vm string) string {
	zone := "z"
	if vm == "other" {
		zone = "y"
	}
	return `{"vm":"` + vm + `","zone":"` + zone + `","address":"` + vm + `"}`
}
