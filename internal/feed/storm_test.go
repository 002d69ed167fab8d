package feed

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

// Limits of a VM's link in the tests.
const (
	linkBytesPerSecond     = 1_250_000
	linkDatagramsPerSecond = 1000
	linkQueue              = 64 // datagrams
)

// linkPort is a Transport over a link that drops datagrams beyond its queue, and loses a share of the others.
type linkPort struct {
	networkPort
	loss   float64 // 0 to 1
	random *rand.Rand
	queued float64
	at     time.Time
}

// Send implements Transport; only the VM's Controller calls it.
func (p *linkPort) Send(address string, packet []byte) error {
	now := time.Now()
	p.queued = max(p.queued-now.Sub(p.at).Seconds()*linkDatagramsPerSecond, 0)
	p.at = now
	if p.queued+1 > linkQueue || p.random.Float64() < p.loss {
		return nil
	}
	p.queued++
	return p.networkPort.Send(address, packet)
}

// linkStore is a store that is read over a VM's link.
type linkStore struct{ vmStore }

// Watch implements Source.
func (s linkStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	changes, err := s.vmStore.Watch(ctx, after, wait)
	encoded := totalBytes(changes.Items) * 4 / 3
	task.Sleep(ctx, time.Duration(encoded)*time.Second/linkBytesPerSecond)
	return changes, err
}

// arrival tells when a VM learned of a version.
type arrival struct {
	vm      string
	version int
	at      time.Time
}

// arrivalRecorder is a Receiver that notes the versions of configurations.
type arrivalRecorder struct {
	recorder
	vm       string
	arrivals chan<- arrival
}

// Apply implements Receiver.
func (r arrivalRecorder) Apply(_ context.Context, i Item) {
	var version int
	if _, err := fmt.Sscanf(string(i.Value[:min(len(i.Value), 16)]), "version %d", &version); err == nil {
		r.arrivals <- arrival{r.vm, version, time.Now()}
	}
}

// configurationValue returns a configuration of about size bytes whose routes have names of their own.
func configurationValue(version, size int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	fmt.Fprintf(&b, "version %d\n", version)
	for b.Len() < size {
		fmt.Fprintf(&b, `{"id":"r-%07x","path_prefix":"/%08x/%06x","service":"s1","timeout_ms":8000,"attempts":3,"splits":[],"tenants":["t1","t2","t3","t4"],"methods":["GET","POST"],"session":false,"weights":{"v1":100,"v2":0},"idempotent":true},`,
			random.Uint32()>>4, random.Uint32(), random.Uint32()>>8)
	}
	return b.Bytes()
}

// TestZoneKeepsUpWithStormOfBigConfigurations checks that every VM of a zone has each version of a configuration, or a newer
// one, within the propagation bound. It guards against VMs that lost each update of a big configuration at the sender's link and
// learned nothing until their silence timeout.
func TestZoneKeepsUpWithStormOfBigConfigurations(t *testing.T) {
	const (
		bound = 4 * time.Second
		vms   = 14
	)
	tests := []struct {
		name     string
		bytes    int
		interval time.Duration
		versions int
		loss     float64
	}{
		{"small", 10_000, 300 * time.Millisecond, 40, 0.03},
		{"100 KB, no random loss", 100_000, 300 * time.Millisecond, 40, 0},
		{"100 KB", 100_000, 300 * time.Millisecond, 40, 0.03},
		{"350 KB", 350_000, 1200 * time.Millisecond, 8, 0.03},
		{"near 1 MB", 950_000, 5 * time.Second, 3, 0.03},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newStore(ctx)
				s.put(ctx, secretKey, "secret")
				net := &network{inboxes: map[string]chan []byte{}}
				arrivals, ends := make(chan arrival, 1<<14), make(chan task.End, vms)
				for i := range vms {
					net.inboxes[fmt.Sprintf("vm%02d", i)] = make(chan []byte, 4096)
				}
				for i := range vms {
					vm := fmt.Sprintf("vm%02d", i)
					port := &linkPort{networkPort: networkPort{net, vm}, loss: test.loss, random: rand.New(rand.NewPCG(uint64(i), 22))}
					o := Options{Self: Member{VM: vm, Zone: "z", Address: vm}, PropagationBound: bound}
					source := linkStore{vmStore{s, vm}}
					c := New(source, source, port, arrivalRecorder{vm: vm, arrivals: arrivals}, o, logr.Discard())
					task.Start(ctx, vm, ends, c.Run)
				}
				time.Sleep(10 * time.Second)
				var written []time.Time
				for version := range test.versions {
					value := configurationValue(version, test.bytes)
					written = append(written, time.Now())
					s.put(ctx, "configuration", string(value))
					time.Sleep(test.interval)
				}
				time.Sleep(bound)
				cancel()
				for range vms {
					<-ends
				}
				close(arrivals)
				worst := latest(arrivals, written, vms)
				t.Logf("worst %v", worst)
				qt.Check(t, worst <= bound, qt.IsTrue, qt.Commentf("worst %v", worst))
			})
		})
	}
}

// latest returns the longest time until a VM had a version or a newer one, or an hour if one never had.
func latest(arrivals <-chan arrival, written []time.Time, vms int) time.Duration {
	had := map[string][]time.Duration{}
	for a := range arrivals {
		if had[a.vm] == nil {
			had[a.vm] = make([]time.Duration, len(written))
		}
		for v := a.version; v >= 0 && had[a.vm][v] == 0; v-- {
			had[a.vm][v] = max(a.at.Sub(written[v]), 1)
		}
	}
	worst := time.Duration(0)
	for _, times := range had {
		for _, d := range times {
			if d == 0 {
				d = time.Hour
			}
			worst = max(worst, d)
		}
	}
	if len(had) < vms {
		return time.Hour
	}
	return worst
}
