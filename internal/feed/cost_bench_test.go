package feed

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
)

// ignored is a Receiver that does nothing.
type ignored struct{}

func (ignored) Apply(context.Context, Item)               {}
func (ignored) ApplyFullScan(context.Context, []string)   {}
func (ignored) Compare(Item, Item) Precedence             { return PrecedenceUnknown }
func (ignored) SetRestored(context.Context)               {}
func (ignored) SetReachable(context.Context, bool, error) {}
func (ignored) SetFleetRank(context.Context, int)         {}
func (ignored) SetZoneMembers(context.Context, []string)  {}

// BenchmarkFeed measures the feed's own work on changes, without the receiver's, while it knows so many VMs and keys.
func BenchmarkFeed(b *testing.B) {
	for _, size := range []struct{ vms, keys int }{{2, 30}, {84, 600}, {460, 3000}} {
		replica := func() (*Controller, []Item) {
			c := New(nil, nil, nil, ignored{}, Options{Self: Member{VM: "vm-0", Zone: "z0"}}, logr.Discard())
			var items []Item
			for i := range size.keys {
				items = append(items, Item{Key: fmt.Sprintf("endpoint-%d", i), Value: make([]byte, 300), Revision: uint64(i + 1)})
			}
			for i := range size.vms {
				value := fmt.Sprintf(`{"vm":"vm-%d","zone":"z%d","address":"127.0.0.1:%d"}`, i, i%15, i+1)
				items = append(items, Item{Key: memberPrefix + fmt.Sprint("vm-", i), Value: []byte(value), Revision: uint64(size.keys + i + 1)})
			}
			c.apply(b.Context(), items)
			return c, items
		}
		c, items := replica()
		b.Run(fmt.Sprintf("change of one key/%d VMs", size.vms), func(b *testing.B) {
			for n := uint64(1 << 20); b.Loop(); n++ {
				c.apply(b.Context(), []Item{{Key: "configuration", Value: make([]byte, 88<<10), Revision: n}})
			}
		})
		b.Run(fmt.Sprintf("changes to forward/%d VMs", size.vms), func(b *testing.B) {
			for n := uint64(1 << 20); b.Loop(); n++ {
				c.replica.Since(uint64(len(items) - 3))
			}
		})
		b.Run(fmt.Sprintf("end of a full scan/%d VMs", size.vms), func(b *testing.B) {
			for b.Loop() {
				c.scanKeys = nil
				for _, i := range items {
					c.scanKeys = append(c.scanKeys, i.Key)
				}
				c.finishScan(b.Context(), nil)
			}
		})
		b.Run(fmt.Sprintf("whole full scan/%d VMs", size.vms), func(b *testing.B) {
			for b.Loop() {
				replica()
			}
		})
	}
	update := Update{VM: "vm-1", Items: []Item{{Key: "configuration", Value: make([]byte, 88<<10), Revision: 5}}}
	for i := range update.Items[0].Value {
		update.Items[0].Value[i] = byte(i * i >> 3)
	}
	b.Run("encode an update of 88 KB", func(b *testing.B) {
		for n := uint64(1); b.Loop(); n++ {
			if _, err := Encode([]byte("secret"), n, update); err != nil {
				b.Fatal(err)
			}
		}
	})
	packets, err := Encode([]byte("secret"), 7, update)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("decode an update of 88 KB", func(b *testing.B) {
		for b.Loop() {
			var r Reassembler
			for _, p := range packets {
				if _, _, err := r.Add([]byte("secret"), p); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}
