package filter

import (
	"context"
	"fmt"
	"testing"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/routing"
)

// BenchmarkRelay measures a request with one send, by the number of its events.
func BenchmarkRelay(b *testing.B) {
	for _, events := range []int{0, 1, 100} {
		b.Run(fmt.Sprint(events, " events"), func(b *testing.B) {
			chunks := []endpoint.Chunk{}
			for i := range events {
				chunks = append(chunks, event(fmt.Sprint(i+1), "data: x\n\n"))
			}
			chunks = append(chunks, end)
			for b.Loop() {
				x, _ := routedExchange(routing.KindStream)
				sender := &scriptedSender{script: []scriptedSend{{head: head(200, "1"), chunks: chunks}}}
				if err := (Forward{Pool: &fakePool{}, Shifts: noShift{}, Sender: sender, Quarantines: noQuarantine{}}).Handle(context.Background(), x, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
