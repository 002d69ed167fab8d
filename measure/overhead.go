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
	// Each load is measured in overheadRounds rounds of overheadRoundTime.
	overheadRounds    = 3
	overheadRoundTime = 1200 * time.Millisecond
	// overheadWorkers is the number of requests in flight at saturation.
	overheadWorkers = 384
	// overheadEngines is the number of engines behind the proxy and the router.
	overheadEngines = 4
	// pacedTokenInterval is the engines' time between tokens at a fixed rate, saturatedTokenInterval that at saturation.
	pacedTokenInterval     = 2 * time.Millisecond
	saturatedTokenInterval = time.Millisecond
	// overheadIdleConns is how many idle connections are kept for each host.
	overheadIdleConns = 4096
	// overheadPromptWords is the number of words in a prompt, which the engines answer with as many tokens and one more.
	overheadPromptWords = 8
	// overheadTimeout bounds a request.
	overheadTimeout = 5 * time.Second
	// saturatedSettings shorten the wait for bills at saturation, where processor time is measured.
	saturatedSettings = "[journal]\nbill_hold=1ms\nmax_bills=1000000\n"
	// Histograms hold up to histogramMaxMicros microseconds with histogramDigits significant digits.
	histogramMaxMicros = 60_000_000
	histogramDigits    = 3
)

// overheadRates are in requests a second.
var overheadRates = []int{50, 500, 2000}

// sample is what one request took.
type sample struct {
	// firstToken and total are measured from the start of the request.
	firstToken time.Duration
	total      time.Duration
	// gaps are the times between two events.
	gaps []time.Duration
	err  error
}

// histograms are the figures of one system at one load, in microseconds.
type histograms struct {
	firstToken, tokenGap, total *hdrhistogram.Histogram
	// failed counts the requests that failed; they are in no histogram.
	failed int
	// firstErr is that of the first failure.
	firstErr error
}

func newHistograms() *histograms {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMaxMicros, histogramDigits) }
	return &histograms{firstToken: newHistogram(), tokenGap: newHistogram(), total: newHistogram()}
}

// add adds a request to the histograms, or to the failures. sendAtRate and saturate call it for each request that has ended.
func (h *histograms) add(s sample) {
	if s.err != nil {
		h.failed++
		h.firstErr = cmp.Or(h.firstErr, s.err)
		return
	}
	_ = h.firstToken.RecordValue(s.firstToken.Microseconds()) // overheadTimeout keeps values within the range
	_ = h.total.RecordValue(s.total.Microseconds())
	for _, g := range s.gaps {
		_ = h.tokenGap.RecordValue(g.Microseconds())
	}
}

// newChat returns a chat request. One whose ID ends with directSuffix names the version, since engines know no models without
// one. The load generator and the warm-up send it.
func newChat(ctx context.Context, base, id string) *http.Request {
	text := strings.Repeat("word ", overheadPromptWords)
	body := fmt.Sprintf(`{"model":"composer","stream":true,"messages":[{"role":"user","content":%q}]}`, text)
	if strings.HasSuffix(id, directSuffix) {
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

// directSuffix ends the IDs of requests that reach an engine without the router.
const directSuffix = "-direct"

// loadGenerator sends chat requests to one system. Their IDs are counted by sent and end with idSuffix.
type loadGenerator struct {
	base     string
	idSuffix string
	client   *http.Client
	sent     int
}

func newLoadGenerator(base, idSuffix string) *loadGenerator {
	return &loadGenerator{base: base, idSuffix: idSuffix, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadIdleConns}}}
}

func (l *loadGenerator) nextID() string {
	l.sent++
	return strconv.Itoa(l.sent) + l.idSuffix
}

// send makes one request and measures the times of its events. The sample has an error unless the answer ends with
// [DONE]. sendAtRate and saturate call it for each request.
func (l *loadGenerator) send(ctx context.Context, id string) sample {
	ctx, cancel := context.WithTimeout(ctx, overheadTimeout)
	defer cancel()
	start := time.Now()
	resp, err := l.client.Do(newChat(ctx, l.base, id))
	if err != nil {
		return sample{err: err}
	}
	defer resp.Body.Close()
	var s sample
	last := start
	sawDone := false
	lines := bufio.NewScanner(resp.Body)
	errorEvent := ""
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			sawDone = sawDone || bytes.HasSuffix(lines.Bytes(), []byte("[DONE]"))
			continue
		}
		if bytes.HasPrefix(lines.Bytes(), []byte(`data: {"error"`)) {
			errorEvent = lines.Text()
		}
		now := time.Now()
		if last == start {
			s.firstToken = now.Sub(start)
		} else {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		last = now
	}
	s.total = time.Since(start)
	if resp.StatusCode != http.StatusOK || !sawDone {
		s.err = errors.Join(lines.Err(), fmt.Errorf("status %d: %s", resp.StatusCode, errorEvent))
	}
	return s
}

// sendAtRate sends requests at an even rate for a round, whether or not earlier ones have ended. pacedLines calls it.
func (l *loadGenerator) sendAtRate(ctx context.Context, rate int, h *histograms) {
	n := int(overheadRoundTime.Seconds() * float64(rate))
	samples := make(chan sample, n)
	start := time.Now()
	for i := range n {
		task.Sleep(ctx, time.Until(start.Add(time.Duration(i)*time.Second/time.Duration(rate))))
		id := l.nextID()
		go func() { samples <- l.send(ctx, id) }()
	}
	for range n {
		h.add(<-samples)
	}
}

// saturate keeps overheadWorkers requests in flight for a round. It returns the requests completed a second and the
// processor time of each. saturatedLines calls it.
func (l *loadGenerator) saturate(ctx context.Context, h *histograms) (perSecond float64, cpuEach time.Duration) {
	ids := make(chan string)
	samples := make(chan sample)
	for range overheadWorkers {
		go func() {
			for id := range ids {
				samples <- l.send(ctx, id)
			}
		}()
	}
	start, before := time.Now(), cpuTime()
	ended, running := 0, 0
	for time.Since(start) < overheadRoundTime {
		if running < overheadWorkers {
			ids <- l.nextID()
			running++
			continue
		}
		h.add(<-samples)
		running--
		ended++
	}
	took, used := time.Since(start), cpuTime()-before
	close(ids)
	for range running {
		h.add(<-samples)
	}
	return float64(ended) / took.Seconds(), used / time.Duration(max(ended, 1))
}

// cpuTime returns the processor time of this process, which runs the systems, the engines and the load.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for a bad argument
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureOverhead compares the router with a plain reverse proxy, at fixed rates and at saturation.
func measureOverhead() ([]Line, error) {
	paced, err := newSystems(pacedTokenInterval, "")
	if err != nil {
		return nil, err
	}
	lines, err := pacedLines(paced)
	err = errors.Join(err, paced.close())
	if err != nil {
		return lines, err
	}
	saturated, err := newSystems(saturatedTokenInterval, saturatedSettings)
	if err != nil {
		return lines, err
	}
	more, err := saturatedLines(saturated)
	return append(lines, more...), errors.Join(err, saturated.close())
}

// comparedSystems are three ways to the engines: direct to one, through the plain proxy and through the router.
type comparedSystems struct {
	*site
	direct, proxied, routed *loadGenerator
}

// newSystems starts the engines, the plain proxy and an entry VM. measureOverhead calls it for each load.
func newSystems(interval time.Duration, moreSettings string) (*comparedSystems, error) {
	s, err := newSite()
	if err != nil {
		return nil, err
	}
	var engineURLs []string
	for i := range overheadEngines {
		url, err := s.startEngine(fmt.Sprintf("engine-%d", i), interval, "composer/v1")
		if err != nil {
			return nil, errors.Join(err, s.close())
		}
		engineURLs = append(engineURLs, url)
	}
	proxyURL, err := s.serve(&proxy{engineURLs, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadIdleConns}}})
	if err != nil {
		return nil, errors.Join(err, s.close())
	}
	err = s.startVM(moreSettings, catalog.Configuration{
		Accounts: []catalog.ClientAccount{{
			Name: "parish", KeyHash: catalog.HashKey(siteKey), HomeRegion: "region-1", ChatIdempotent: true,
			Grants: []catalog.Grant{{Model: "composer"}},
		}},
		Models: []catalog.Model{{Name: "composer", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}}}},
	})
	if err != nil {
		return nil, errors.Join(err, s.close())
	}
	return &comparedSystems{s, newLoadGenerator(engineURLs[0], directSuffix), newLoadGenerator(proxyURL, directSuffix), newLoadGenerator(s.callerURL, "")}, nil
}

// pacedLines compares the router with the proxy at each of overheadRates. measureOverhead calls it.
func pacedLines(s *comparedSystems) ([]Line, error) {
	var lines []Line
	for _, rate := range overheadRates {
		proxied, routed := newHistograms(), newHistograms()
		for range overheadRounds {
			s.proxied.sendAtRate(s.ctx, rate, proxied)
			s.routed.sendAtRate(s.ctx, rate, routed)
		}
		if proxied.failed+routed.failed > 0 {
			return lines, fmt.Errorf("at %d/s %d requests through the proxy and %d through the router failed: %w", rate, proxied.failed, routed.failed, cmp.Or(proxied.firstErr, routed.firstErr))
		}
		prefix := fmt.Sprintf("overhead_%d_per_s_", rate)
		lines = append(lines, ratioLines(prefix+"first_token", proxied.firstToken, routed.firstToken)...)
		lines = append(lines, ratioLines(prefix+"between_tokens", proxied.tokenGap, routed.tokenGap)...)
		lines = append(lines, ratioLines(prefix+"whole", proxied.total, routed.total)...)
	}
	return lines, nil
}

// ratioLines gives the router's quantiles over the proxy's, and what the router adds to the 99th percentile.
func ratioLines(name string, proxied, routed *hdrhistogram.Histogram) []Line {
	ratio := func(q float64) float64 {
		return float64(routed.ValueAtQuantile(q)) / float64(max(proxied.ValueAtQuantile(q), 1))
	}
	added := float64(routed.ValueAtQuantile(99)-proxied.ValueAtQuantile(99)) / 1000
	return []Line{
		{name + "_p50_ratio", ratio(50), "ratio", "none"},
		{name + "_p99_ratio", ratio(99), "ratio", "none"},
		{name + "_p99_added", added, "ms", "< 1"},
	}
}

// saturatedLines compares the best round of each system, since it is the one least disturbed by other work on the machine.
// The processor time of direct requests is subtracted, so that only that of the proxy or the router is left. measureOverhead
// calls it.
func saturatedLines(s *comparedSystems) ([]Line, error) {
	generators := []*loadGenerator{s.direct, s.proxied, s.routed}
	var perSecond [3]float64
	var cpuEach [3]time.Duration
	results := []*histograms{newHistograms(), newHistograms(), newHistograms()}
	for i, l := range generators {
		l.saturate(s.ctx, results[i]) // opens the connections
	}
	for range overheadRounds {
		for i, l := range generators {
			r, c := l.saturate(s.ctx, results[i])
			perSecond[i] = max(perSecond[i], r)
			if cpuEach[i] == 0 || c < cpuEach[i] {
				cpuEach[i] = c
			}
		}
	}
	for i, name := range []string{"straight", "through the proxy", "through the router"} {
		if results[i].failed > 0 {
			return nil, fmt.Errorf("%d requests %s failed at saturation: %w", results[i].failed, name, results[i].firstErr)
		}
	}
	micros := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
	return []Line{
		{"overhead_saturation_proxy", perSecond[1], "requests/s", "none"},
		{"overhead_saturation_router", perSecond[2], "requests/s", "none"},
		{"overhead_saturation_ratio", perSecond[2] / perSecond[1], "ratio", ">= 0.7"},
		{"overhead_processor_proxy", micros(cpuEach[1] - cpuEach[0]), "us/request", "none"},
		{"overhead_processor_router", micros(cpuEach[2] - cpuEach[0]), "us/request", "none"},
	}, nil
}
