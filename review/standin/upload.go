//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// bursts is how often many users come at once: uploads of them to each VM, one each uploadPause. Without the disruption as
	// many come, one each calmPause.
	bursts      = 3
	uploads     = 100
	uploadPause = 20 * time.Millisecond
	calmPause   = 180 * time.Millisecond
	// uplink is the rate of a client in bytes a second (8 Mbit/s).
	uplink = 1000 << 10
	// minEnds is how often the process has to end by itself on each of minMachines machines.
	minMachines, minEnds = 2, 3
)

// playUpload has clients send documents as long as max_body_bytes allows to two VMs, many at once or, without the disruption, as
// many one after the other. Other clients send bookings meanwhile. A VM that exceeds its memory is killed.
func playUpload(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	f.configure()
	if _, err := f.addRunners(ctx, 1, 3); err != nil {
		return verdict{}, err
	}
	if err := f.begin(ctx, "a", "b"); err != nil {
		return verdict{}, err
	}
	f.enforceMemory(ctx)
	var booking sync.WaitGroup
	sending, stop := context.WithCancel(ctx)
	defer stop()
	for _, v := range f.vms {
		booking.Go(func() { f.bookAt(sending, ctx, v) })
	}
	pause := calmPause
	if trouble {
		pause = uploadPause
	}
	for b := range bursts {
		f.rec.line("group %d of uploads", b+1)
		f.upload(ctx, b, pause)
		time.Sleep(4 * time.Second)
	}
	stop()
	booking.Wait()
	return f.judgeUpload(), nil
}

// upload sends a group of documents to each VM and waits for their answers.
func (f *fleet) upload(ctx context.Context, group int, pause time.Duration) {
	body := make([]byte, maxBodyBytes)
	for i := range body {
		body[i] = "a long contract\n"[i%16]
	}
	var all sync.WaitGroup
	for i := range uploads {
		for k, v := range f.vms {
			all.Go(func() {
				id := fmt.Sprintf("d0c%d%d%03x", group, k, i)
				f.send(ctx, newClient(), v, call{id: id, path: "/document/2f", kind: "unsafe", body: body, bytesPerSecond: uplink, budget: 8 * time.Second})
			})
		}
		time.Sleep(pause)
	}
	all.Wait()
}

// bookAt sends bookings to the VM on kept channels, ten a second, until sending ends, and waits for their answers.
func (f *fleet) bookAt(sending, ctx context.Context, v *vm) {
	client := newClient()
	var all sync.WaitGroup
	for i := 0; sending.Err() == nil; i++ {
		all.Go(func() {
			id := fmt.Sprintf("b00%s%04x", v.zone, i)
			f.send(ctx, client, v, call{id: id, path: "/book/2f", kind: "unsafe", body: []byte("a booking"), budget: 2500 * time.Millisecond})
		})
		time.Sleep(time.Second / 10)
	}
	all.Wait()
}

// judgeUpload counts the ends of the processes, and what became of the requests.
func (f *fleet) judgeUpload() verdict {
	_, answers := f.rec.snapshot()
	sent, served, lost := map[string]int{}, map[string]int{}, 0
	for _, a := range answers {
		sent[a.path]++
		switch {
		case a.ok():
			served[a.path]++
		case a.status == 0 && f.rec.runsOf(a.id) > 0:
			lost++
			f.rec.line("lost: %s had been passed on to a runner when its channel was closed", a.id)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	machines, text := 0, ""
	for _, v := range f.vms {
		if f.ends[v.name] >= minEnds {
			machines++
		}
		text += fmt.Sprintf("%s exceeded %d MB %d times, most seen %d MB; ", v.name, memoryMB, f.ends[v.name], v.peak>>10)
	}
	text += fmt.Sprintf("documents: %d of %d served; bookings: %d of %d served; %d requests that were passed on ended without an answer",
		served["/document/2f"], sent["/document/2f"], served["/book/2f"], sent["/book/2f"], lost)
	return verdict{machines >= minMachines, text}
}
