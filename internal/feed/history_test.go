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

// TestOneVMReadsStore checks that only one VM of a zone goes on watching the store, also after the store dropped its
// history and every VM needed a full scan.
func TestOneVMReadsStore(t *testing.T) {
	tests := []struct {
		name        string
		historyGone bool
	}{
		{"history kept", false},
		{"after the store dropped its history", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newStore(ctx)
				s.put(ctx, secretKey, "secret")
				net := &network{inboxes: map[string]chan []byte{}}
				applied := make(chan string, 1<<16)
				ends := make(chan task.End, 6)
				var vms []string
				for i := range cap(ends) {
					vms = append(vms, fmt.Sprint("vm", i))
					net.inboxes[vms[i]] = make(chan []byte, 1024)
				}
				for _, vm := range vms {
					r := vmStore{s, vm}
					o := Options{Self: Member{VM: vm, Zone: "z", Address: vm}, PropagationBound: 2500 * time.Millisecond}
					task.Start(ctx, vm, ends, New(r, r, networkPort{net, vm}, recorder{vm, applied}, o, logr.Discard()).Run)
				}
				time.Sleep(10 * time.Second)
				if test.historyGone {
					_ = s.do(ctx, func(st *state) {
						for _, vm := range vms {
							st.historyGone[vm] = true
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
				watching := 0
				_ = s.do(ctx, func(st *state) {
					for vm, n := range st.watches {
						if n > before[vm]+1 {
							watching++
						}
					}
				})
				qt.Check(t, watching, qt.Equals, 1)
				cancel()
				for range vms {
					<-ends
				}
			})
		})
	}
}
