package feed

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

// TestOneReads counts the VMs of a zone that go on reading the store.
func TestOneReads(t *testing.T) {
	tests := []struct {
		name string
		gone bool
	}{
		{"as it should be", false},
		{"after the store forgot its history", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newStore(ctx)
				s.put(ctx, secretKey, "secret")
				h := &hub{inboxes: map[string]chan []byte{}}
				got := make(chan string, 1<<16)
				ends := make(chan task.End, 6)
				var vms []string
				for i := range cap(ends) {
					vms = append(vms, fmt.Sprint("vm", i))
					h.inboxes[vms[i]] = make(chan []byte, 1024)
				}
				for _, vm := range vms {
					r := reader{s, vm}
					o := Options{Self: Member{VM: vm, Zone: "z", Address: vm}, PropagationBound: 2500 * time.Millisecond}
					task.Start(ctx, vm, ends, New(r, r, port{h, vm}, taken{vm, got}, o, logr.Discard()).Run)
				}
				time.Sleep(10 * time.Second)
				if test.gone {
					_ = s.do(ctx, func(st *state) {
						for _, vm := range vms {
							st.gone[vm] = true
						}
					})
					s.put(ctx, "key", "changed")
					time.Sleep(10 * time.Second)
				}
				before := map[string]int{}
				_ = s.do(ctx, func(st *state) {
					for vm, n := range st.watches {
						before[vm] = n
					}
				})
				time.Sleep(20 * time.Second)
				reading := 0
				_ = s.do(ctx, func(st *state) {
					for vm, n := range st.watches {
						if n > before[vm]+1 {
							reading++
						}
					}
				})
				qt.Check(t, reading, qt.Equals, 1)
				cancel()
				for range vms {
					<-ends
				}
			})
		})
	}
}
