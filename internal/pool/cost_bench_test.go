package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/internal/warmup"
	"cornelmux/pkg/routing"
)

// tableSizes are the endpoints and services of a small site and of the largest one planned for.
var tableSizes = []struct{ endpoints, services int }{{24, 4}, {2900, 26}}

// prompt returns one with a number of parts, of which the first share are the same in all.
func prompt(parts, share, own int) routing.Prompt {
	p := routing.Prompt{TokensIn: parts * 16}
	for i := range parts {
		id := uint64(i + 1)
		if i >= share {
			id = uint64(own)<<32 + uint64(i+1)
		}
		p.Blocks = append(p.Blocks, routing.PrefixBlock{ID: id, Tokens: 16})
	}
	return p
}

// sizedTable returns a table of so many endpoints, divided among the services, in three zones.
func sizedTable(endpoints, services int) *Table {
	t := NewTable(endpoint.Location{Region: "r", Zone: "z0"})
	for i := range endpoints {
		t.Put(sizedEntry(i, services), start)
	}
	return t
}

func sizedEntry(i, services int) Entry {
	return Entry{
		ID: fmt.Sprintf("runner-%06d", i*7919%1_000_003), Service: fmt.Sprint("s", i%services), Address: "127.0.0.1:1",
		Zone: fmt.Sprint("z", i/services%3), Region: "r", Version: "v1", Incarnation: 5, Slots: 16,
	}
}

// BenchmarkEntry measures what one entry of the directory takes the Controller's goroutine.
func BenchmarkEntry(b *testing.B) {
	tests := []struct {
		name string
		run  func(t *Table, size, services, n int)
	}{
		{"unchanged", func(t *Table, size, services, n int) { t.Put(sizedEntry(n%size, services), start) }},
		{"new and dropped", func(t *Table, size, services, n int) {
			e := sizedEntry(size+n%1000, services)
			t.Put(e, start)
			t.Drop(e.ID, start)
		}},
		{"full scan", func(t *Table, size, services, _ int) {
			ids := make([]string, size)
			for i := range ids {
				ids[i] = sizedEntry(i, services).ID
			}
			t.Retain(ids, start)
		}},
	}
	for _, test := range tests {
		for _, s := range tableSizes {
			b.Run(fmt.Sprintf("%s/%d endpoints", test.name, s.endpoints), func(b *testing.B) {
				t := sizedTable(s.endpoints, s.services)
				for n := 0; b.Loop(); n++ {
					test.run(t, s.endpoints, s.services, n)
				}
			})
		}
	}
}

// BenchmarkFirstScan measures all entries of a first scan, one after another.
func BenchmarkFirstScan(b *testing.B) {
	for _, s := range tableSizes {
		b.Run(fmt.Sprintf("%d endpoints", s.endpoints), func(b *testing.B) {
			for b.Loop() {
				sizedTable(s.endpoints, s.services)
			}
		})
	}
}

// BenchmarkPlacement measures the placement of a run and its end, by the parts of its prompt: these are the same in all prompts, or
// each prompt has its own, so that the endpoints forget others for them.
func BenchmarkPlacement(b *testing.B) {
	type row struct{ endpoints, services, parts, share int }
	var rows []row
	for _, s := range tableSizes {
		for _, parts := range []int{10, 100, 1150} {
			rows = append(rows, row{s.endpoints, s.services, parts, parts}, row{s.endpoints, s.services, parts, 0})
		}
	}
	for _, s := range rows {
		b.Run(fmt.Sprintf("%d endpoints/%d parts, %d shared", s.endpoints, s.parts, s.share), func(b *testing.B) {
			t := sizedTable(s.endpoints, s.services)
			var chosen, done time.Duration
			run := func(n int) {
				now := start.Add(time.Duration(n) * time.Millisecond)
				p := prompt(s.parts, s.share, n+1)
				q := Query{Service: "s0", Model: "m", Prompt: p, Affinity: p.SharedPrefix()}
				began := time.Now()
				placed, _ := t.Choose(&q, now)
				ended := time.Now()
				o := Outcome{Endpoint: placed.ID, Incarnation: 5, End: EndAnswered, Service: "s0", Model: "m", Prompt: p, TTFB: time.Millisecond, SentAt: now}
				t.Done(&o, now)
				chosen, done = chosen+ended.Sub(began), done+time.Since(ended)
			}
			for n := range 2 * len(t.services["s0"]) * maxPrefixBlocks / 50 { // fills what the endpoints remember
				run(n)
			}
			chosen, done = 0, 0
			n := 1 << 20
			for b.Loop() {
				run(n)
				n++
			}
			b.ReportMetric(float64(chosen.Nanoseconds())/float64(b.N), "ns/choose")
			b.ReportMetric(float64(done.Nanoseconds())/float64(b.N), "ns/done")
		})
	}
}

// BenchmarkPeerState measures the state of one peer, and the reports for one's own state.
func BenchmarkPeerState(b *testing.B) {
	for _, s := range tableSizes {
		t := sizedTable(s.endpoints, s.services)
		var reports []peer.EndpointReport
		for _, r := range t.records {
			r.InFlight = 1
			reports = append(reports, peer.EndpointReport{Endpoint: r.ID, Incarnation: 5, Running: 3, EngineLoad: 2})
		}
		reports = slices.Clip(reports[:min(len(reports), 40)]) // what one datagram holds
		b.Run(fmt.Sprintf("receive/%d endpoints", s.endpoints), func(b *testing.B) {
			for n := 0; b.Loop(); n++ {
				t.ApplyPeerReports(fmt.Sprint("vm-", n%460), reports, start)
			}
		})
		b.Run(fmt.Sprintf("collect/%d endpoints", s.endpoints), func(b *testing.B) {
			for b.Loop() {
				t.PeerReports(start)
			}
		})
	}
}

// BenchmarkColdPlacement measures the placement of a run of a service whose endpoints may be cold: none or all of them are.
func BenchmarkColdPlacement(b *testing.B) {
	service := &routing.Service{Name: "s0", ColdTime: time.Hour, ColdRate: 9.1}
	for _, coldFor := range []time.Duration{0, time.Hour} {
		for _, s := range tableSizes {
			b.Run(fmt.Sprintf("cold for %v/%d endpoints", coldFor, s.endpoints), func(b *testing.B) {
				t := sizedTable(s.endpoints, s.services)
				t.cold.ColdOptions = ColdOptions{"vm0", warmup.Tolerance{Overage: 1.5, Slack: 5}}
				var vms []string
				for i := range 31 {
					vms = append(vms, fmt.Sprint("vm", i))
				}
				t.SetMembers(vms, listedLongAgo)
				for i := range s.endpoints {
					e := sizedEntry(i, s.services)
					e.ColdFor = coldFor
					t.Put(e, start)
				}
				q := Query{Service: "s0", Config: service}
				for n := 0; b.Loop(); n++ {
					now := start.Add(time.Duration(n) * time.Microsecond)
					if placed, choice := t.Choose(&q, now); choice == ChoicePlaced {
						t.Done(&Outcome{Endpoint: placed.ID, Incarnation: 5, End: EndAnswered, Service: "s0"}, now)
					}
				}
			})
		}
	}
}

// BenchmarkWait measures what a run takes the Controller's goroutine that waits and is then placed, by how many others wait. Its placement
// at the only endpoint is in it, and the making of the message.
func BenchmarkWait(b *testing.B) {
	for _, size := range []int{1, 64, maxQueued - 1} {
		b.Run(fmt.Sprintf("%d wait", size), func(b *testing.B) {
			c := New(noCrashes{}, Options{Location: endpoint.Location{Region: "r", Zone: "z"}}, logr.Discard())
			defer c.queues.timer.Stop()
			c.table.Put(entry("a"), start)
			now := start
			query := func(n int) chooseMessage {
				q := waiting(fmt.Sprint("account", n%24), n%3)
				q.Objective, q.Deadline = now.Add(time.Second), now.Add(time.Hour)
				return chooseMessage{q, task.NewReply[chooseReply]()}
			}
			for n := range size {
				c.wait(b.Context(), query(n), now)
			}
			for n := 0; b.Loop(); n++ {
				now = now.Add(10 * time.Millisecond)
				m := query(n)
				c.mustWait(&m.query)
				c.wait(b.Context(), m, now)
				c.serveAfter(b.Context(), &Outcome{Service: "s", End: EndAnswered}, now)
				c.table.records["a"].InFlight--
			}
		})
	}
}
