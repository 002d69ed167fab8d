package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
)

const (
	overheadRounds  = 3
	overheadRound   = 1200 * time.Millisecond
	overheadWorkers = 384
	overheadEngines = 4
	// overheadInterval is the time between tokens at a rate, overheadQuick that at saturation.
	overheadInterval = 2 * time.Millisecond
	overheadQuick    = time.Millisecond
	overheadIdle     = 4096
	overheadWords    = 8
	overheadLimit    = 5 * time.Second
	// overheadHold keeps the wait for bills out of the figures at saturation, which are of processor time.
	overheadHold = "[journal]\nbill_hold=1ms\nmax_bills=1000000\n"
	// histograms hold microseconds.
	histogramMost   = 60_000_000
	histogramDigits = 3
)

var overheadRates = []int{50, 500, 2000}

// sample is what one request took.
type sample struct {
	first  time.Duration
	total  time.Duration
	gaps   []time.Duration
	failed error
}

// figures are the histograms of one system at one load.
type figures struct {
	first, gap, total *hdrhistogram.Histogram
	failed            int
	// reason is that of the first failure.
	reason error
}

func newFigures() *figures {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMost, histogramDigits) }
	return &figures{first: h(), gap: h(), total: h()}
}

func (f *figures) add(s sample) {
	if s.failed != nil {
		f.failed++
		f.reason = cmp.Or(f.reason, s.failed)
		return
	}
	_ = f.first.RecordValue(s.first.Microseconds()) // a value over the range is over every target too
	_ = f.total.RecordValue(s.total.Microseconds())
	for _, g := range s.gaps {
		_ = f.gap.RecordValue(g.Microseconds())
	}
}

func newChat(ctx context.Context, base, id string) *http.Request {
	text := strings.Repeat("word ", overheadWords)
	body := fmt.Sprintf(`{"model":"composer","stream":true,"messages":[{"role":"user","content":%q}]}`, text)
	if strings.HasSuffix(id, directMark) {
		body = strings.Replace(body, `"composer"`, `"composer/v1"`, 1)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+siteKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", id)
	return req
}

// directMark ends the ID of requests that name the version themselves, as an engine wants it.
const directMark = "-direct"

// load sends requests to one system.
type load struct {
	base   string
	mark   string
	client *http.Client
	sent   int
}

func newLoad(base, mark string) *load {
	return &load{base: base, mark: mark, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadIdle}}}
}

func (l *load) next() string {
	l.sent++
	return strconv.Itoa(l.sent) + l.mark
}

// send makes one request and times its events.
func (l *load) send(ctx context.Context, id string) sample {
	ctx, cancel := context.WithTimeout(ctx, overheadLimit)
	defer cancel()
	start := time.Now()
	resp, err := l.client.Do(newChat(ctx, l.base, id))
	if err != nil {
		return sample{failed: err}
	}
	defer resp.Body.Close()
	var s sample
	last := start
	done := false
	lines := bufio.NewScanner(resp.Body)
	refusal := ""
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			done = done || bytes.HasSuffix(lines.Bytes(), []byte("[DONE]"))
			continue
		}
		if bytes.HasPrefix(lines.Bytes(), []byte(`data: {"error"`)) {
			refusal = lines.Text()
		}
		now := time.Now()
		if last == start {
			s.first = now.Sub(start)
		} else {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		last = now
	}
	s.total = time.Since(start)
	if resp.StatusCode != http.StatusOK || !done {
		s.failed = errors.Join(lines.Err(), fmt.Errorf("status %d: %s", resp.StatusCode, refusal))
	}
	return s
}

// atRate sends requests at an even rate for a round, whether or not earlier ones have ended.
func (l *load) atRate(ctx context.Context, rate int, f *figures) {
	n := int(overheadRound.Seconds() * float64(rate))
	samples := make(chan sample, n)
	start := time.Now()
	for i := range n {
		task.Sleep(ctx, time.Until(start.Add(time.Duration(i)*time.Second/time.Duration(rate))))
		id := l.next()
		go func() { samples <- l.send(ctx, id) }()
	}
	for range n {
		f.add(<-samples)
	}
}

// saturate keeps the workers busy for a round; it returns the requests a second and the processor time of each.
func (l *load) saturate(ctx context.Context, f *figures) (perSecond float64, cpu time.Duration) {
	ids := make(chan string)
	samples := make(chan sample)
	for range overheadWorkers {
		go func() {
			for id := range ids {
				samples <- l.send(ctx, id)
			}
		}()
	}
	start, before := time.Now(), processorTime()
	ended, running := 0, 0
	for time.Since(start) < overheadRound {
		if running < overheadWorkers {
			ids <- l.next()
			running++
			continue
		}
		f.add(<-samples)
		running--
		ended++
	}
	took, used := time.Since(start), processorTime()-before
	close(ids)
	for range running {
		f.add(<-samples)
	}
	return float64(ended) / took.Seconds(), used / time.Duration(max(ended, 1))
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for a bad argument
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measureOverhead() ([]Line, error) {
	paced, err := overheadSite(overheadInterval, "")
	if err != nil {
		return nil, err
	}
	lines, err := pacedLines(paced)
	err = errors.Join(err, paced.close())
	if err != nil {
		return lines, err
	}
	eager, err := overheadSite(overheadQuick, overheadHold)
	if err != nil {
		return lines, err
	}
	more, err := saturatedLines(eager)
	return append(lines, more...), errors.Join(err, eager.close())
}

// systems are the ways to one engine: straight, through the plain proxy, through the router.
type systems struct {
	*site
	direct, proxied, routed *load
}

func overheadSite(interval time.Duration, journal string) (*systems, error) {
	s, err := newSite()
	if err != nil {
		return nil, err
	}
	var engines []string
	for i := range overheadEngines {
		url, err := s.engine(fmt.Sprintf("engine-%d", i), interval, "composer/v1")
		if err != nil {
			return nil, errors.Join(err, s.close())
		}
		engines = append(engines, url)
	}
	plain, err := s.serve(&proxy{engines, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadIdle}}})
	if err != nil {
		return nil, errors.Join(err, s.close())
	}
	err = s.vm(journal, catalog.Configuration{
		Accounts: []catalog.ClientAccount{{
			Name: "parish", KeyHash: catalog.HashKey(siteKey), HomeRegion: "region-1", ChatIdempotent: true,
			Grants: []catalog.Grant{{Model: "composer"}},
		}},
		Models: []catalog.Model{{Name: "composer", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}}}},
	})
	if err != nil {
		return nil, errors.Join(err, s.close())
	}
	return &systems{s, newLoad(engines[0], directMark), newLoad(plain, directMark), newLoad(s.callers, "")}, nil
}

func pacedLines(s *systems) ([]Line, error) {
	var lines []Line
	for _, rate := range overheadRates {
		plain, routed := newFigures(), newFigures()
		for range overheadRounds {
			s.proxied.atRate(s.ctx, rate, plain)
			s.routed.atRate(s.ctx, rate, routed)
		}
		if plain.failed+routed.failed > 0 {
			return lines, fmt.Errorf("at %d/s %d requests through the proxy and %d through the router failed: %w", rate, plain.failed, routed.failed, cmp.Or(plain.reason, routed.reason))
		}
		prefix := fmt.Sprintf("overhead_%d_per_s_", rate)
		lines = append(lines, compare(prefix+"first_token", plain.first, routed.first)...)
		lines = append(lines, compare(prefix+"between_tokens", plain.gap, routed.gap)...)
		lines = append(lines, compare(prefix+"whole", plain.total, routed.total)...)
	}
	return lines, nil
}

// compare gives the router's figures over the proxy's.
func compare(name string, plain, routed *hdrhistogram.Histogram) []Line {
	ratio := func(q float64) float64 {
		return float64(routed.ValueAtQuantile(q)) / float64(max(plain.ValueAtQuantile(q), 1))
	}
	added := float64(routed.ValueAtQuantile(99)-plain.ValueAtQuantile(99)) / 1000
	return []Line{
		{name + "_p50_ratio", ratio(50), "ratio", "none"},
		{name + "_p99_ratio", ratio(99), "ratio", "none"},
		{name + "_p99_added", added, "ms", "< 1"},
	}
}

// saturatedLines compares the best of the rounds, which other work on the machine disturbs least.
func saturatedLines(s *systems) ([]Line, error) {
	loads := []*load{s.direct, s.proxied, s.routed}
	var rate [3]float64
	var cpu [3]time.Duration
	f := []*figures{newFigures(), newFigures(), newFigures()}
	for i, l := range loads {
		l.saturate(s.ctx, f[i]) // opens the connections
	}
	for range overheadRounds {
		for i, l := range loads {
			r, c := l.saturate(s.ctx, f[i])
			rate[i] = max(rate[i], r)
			if cpu[i] == 0 || c < cpu[i] {
				cpu[i] = c
			}
		}
	}
	for i, name := range []string{"straight", "through the proxy", "through the router"} {
		if f[i].failed > 0 {
			return nil, fmt.Errorf("%d requests %s failed at saturation: %w", f[i].failed, name, f[i].reason)
		}
	}
	micros := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
	return []Line{
		{"overhead_saturation_proxy", rate[1], "requests/s", "none"},
		{"overhead_saturation_router", rate[2], "requests/s", "none"},
		{"overhead_saturation_ratio", rate[2] / rate[1], "ratio", ">= 0.7"},
		{"overhead_processor_proxy", micros(cpu[1] - cpu[0]), "us/request", "none"},
		{"overhead_processor_router", micros(cpu[2] - cpu[0]), "us/request", "none"},
	}, nil
}
