//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// promptParts is the number of parts of a long prompt, partTokens the length of each: a prompt between the mean one of the
	// sheet and the longest. The header fields stay below max_header_bytes.
	promptParts = 1150
	partTokens  = 16
	// promptsPerSecond is the rate of such prompts at each VM, promptsFor how long they come.
	promptsPerSecond = 32
	promptsFor       = 25 * time.Second
	// bookTimeout is timeout_ms of the bookings' route, answerSlack the time after it by which an answer is due.
	bookTimeout = 1200 * time.Millisecond
	answerSlack = 500 * time.Millisecond
)

// playPrompt has a tenant send prompts of many parts, or, without the disruption, as many of two parts. Bookings to another service
// go on meanwhile; it looks at those that aren't answered at the timeout of their route.
func playPrompt(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	f.configure()
	if _, err := f.addRunners(ctx, 3, 3); err != nil {
		return verdict{}, err
	}
	if err := f.begin(ctx, "a", "b"); err != nil {
		return verdict{}, err
	}
	parts := 2
	if trouble {
		parts = promptParts
	}
	f.rec.line("prompts of %d parts, the field with their list has %d bytes", parts, len(promptPrefix("c0000000", parts)))
	var all sync.WaitGroup
	sending, stop := context.WithCancel(ctx)
	defer stop()
	for _, v := range f.vms {
		all.Go(func() { f.bookAt(sending, ctx, v) })
	}
	for i := range int(promptsFor.Seconds() * promptsPerSecond) {
		for k, v := range f.vms {
			all.Go(func() {
				id := fmt.Sprintf("c0%d%05x", k, i)
				f.send(ctx, newClient(), v, call{id: id, path: "/chat/2f", kind: "streaming", model: "*", prefix: promptPrefix(id, parts), budget: 8 * time.Second})
			})
		}
		time.Sleep(time.Second / promptsPerSecond)
	}
	stop()
	all.Wait()
	return f.judgePrompt(), nil
}

// promptPrefix lists the parts of a prompt: one that all prompts share, and those of its own session.
func promptPrefix(id string, parts int) string {
	list := []string{"5c1e07a2:200"}
	for i := range parts - 1 {
		list = append(list, fmt.Sprintf("%s%x:%d", id[2:], i, partTokens))
	}
	return strings.Join(list, ",")
}

// judgePrompt counts the bookings that had no answer at their route's timeout, and those of them that had none later either.
func (f *fleet) judgePrompt() verdict {
	_, answers := f.rec.snapshot()
	sent, served, open, late := 0, 0, 0, 0
	for _, a := range answers {
		if a.path != "/book/2f" {
			continue
		}
		sent++
		if a.ok() {
			served++
		}
		took := a.at.Sub(a.sentAt)
		if took > bookTimeout {
			open++
		}
		if took > bookTimeout+answerSlack {
			late++
		}
	}
	return verdict{open >= 8 && 2*late > open, fmt.Sprintf("of %d bookings %d served; %d had no answer at the timeout of their route, %d of these none half a second later", sent, served, open, late)}
}
