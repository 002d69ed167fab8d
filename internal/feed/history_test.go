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

// endlessSource has one page of keys after every key, as where the keys of a page sort before the one that was asked for.
type endlessSource struct{ pages chan int }

func (s endlessSource) Range(ctx context.Context, _ string, _ bool) (Page, error) {
	if ctx.Err() != nil {
		return Page{}, ctx.Err()
	}
	n := <-s.pages
	s.pages <- n + 1
	return Page{Items: []Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, More: true, Revision: 2}, nil
}

func (s endlessSource) Watch(context.Context, uint64, time.Duration) (Changes, error) {
	return Changes{}, errRefused
}

// TestFullScanEndsWherePagesRepeat guards against a scan that reads the same keys until the memory is used up, as the key of
// another writer may cause that isn't the same once it is encoded.
func TestFullScanEndsWherePagesRepeat(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	source := endlessSource{make(chan int, 1)}
	source.pages <- 0
	c := New(source, nil, nil, nil, Options{}, logr.Discard())
	ended := make(chan error, 1)
	go func() { ended <- c.fullScan(ctx, true) }()
	select {
	case m := <-c.mailbox:
		qt.Check(t, m.(scanMessage).err, qt.Equals, errScanStalled)
		qt.Check(t, <-ended, qt.IsNil)
		qt.Check(t, <-source.pages, qt.Equals, 2)
	case <-ctx.Done():
		t.Fatalf("the scan is still reading after %d pages", <-source.pages)
	}
}
