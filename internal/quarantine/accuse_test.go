package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
)

// request returns the fingerprints of a request on path 1 with parameters, which are above 100.
func request(target uint64, parameters ...uint64) endpoint.Fingerprints {
	return endpoint.Fingerprints{Path: 1, Target: target, Parameters: peer.NewParameters(parameters)}
}

// crashOf reports a crash that a request may have caused.
func crashOf(f endpoint.Fingerprints, endpoint string) peer.CrashReport {
	return peer.CrashReport{Fingerprint: f.Path, Target: f.Target, Parameters: f.Parameters, Endpoint: endpoint}
}

// TestNarrowestCauseIsAccused guards against a request that crashes endpoints by its query and is never refused, since sound requests on
// its path survive; and against the refusal of those, at any width.
func TestNarrowestCauseIsAccused(t *testing.T) {
	type event struct {
		after time.Duration
		// crashed are the requests that were lost when an endpoint crashed; survived is one that survived its start.
		crashed  []endpoint.Fingerprints
		survived *endpoint.Fingerprints
	}
	crash := func(after time.Duration, lost ...endpoint.Fingerprints) event {
		return event{after: after, crashed: lost}
	}
	survival := func(after time.Duration, f endpoint.Fingerprints) event { return event{after: after, survived: &f} }
	deadly, sound, other := request(66, 166), request(5, 105), request(6, 106)
	unknown := request(0)
	at := func(n, item uint64) endpoint.Fingerprints { return request(1000*item+n, 100+item, 10000+n) }
	const second = time.Second
	tests := []struct {
		name          string
		events        []event
		refused, sent []endpoint.Fingerprints
	}{
		{"one crash", []event{crash(0, deadly)}, nil, []endpoint.Fingerprints{deadly, sound}},
		{"two crashes, nothing else known", []event{crash(0, deadly), crash(0, deadly)}, []endpoint.Fingerprints{deadly}, []endpoint.Fingerprints{sound}},
		{
			"two crashes, others survive",
			[]event{survival(0, sound), crash(0, deadly), survival(second, sound), crash(second, deadly)},
			[]endpoint.Fingerprints{deadly},
			[]endpoint.Fingerprints{sound, other},
		},
		{
			"others were lost with it",
			[]event{crash(0, deadly, sound), crash(0, deadly, other), crash(second, deadly, sound)},
			[]endpoint.Fingerprints{deadly},
			[]endpoint.Fingerprints{sound, other},
		},
		{
			"another was lost with it each time, and survives",
			[]event{crash(0, sound, deadly), crash(0, sound, deadly), survival(second, sound)},
			[]endpoint.Fingerprints{deadly},
			[]endpoint.Fingerprints{sound},
		},
		{
			"another was lost with it each time but the last",
			[]event{crash(0, sound, deadly), crash(0, sound, deadly), crash(second, deadly)},
			[]endpoint.Fingerprints{deadly},
			[]endpoint.Fingerprints{sound},
		},
		{"survived shortly before", []event{survival(0, deadly), crash(second, deadly), crash(second, deadly)}, nil, []endpoint.Fingerprints{deadly}},
		{
			"survived long before",
			[]event{survival(0, deadly), crash(proofTime+second, deadly), crash(proofTime+second, deadly)},
			[]endpoint.Fingerprints{deadly},
			nil,
		},
		{
			"another query each time, nobody sound",
			[]event{crash(0, at(1, 66)), crash(second, request(7002, 10002))},
			[]endpoint.Fingerprints{request(7003, 10003)},
			nil,
		},
		{
			"another query each time, others survive",
			[]event{crash(0, request(7001, 10001)), crash(second, request(7002, 10002)), survival(2*second, sound)},
			nil,
			[]endpoint.Fingerprints{request(7003, 10003), sound},
		},
		{
			"one parameter crashes, another one varies",
			[]event{survival(0, at(1, 5)), crash(0, at(1, 66)), crash(second, at(2, 66)), survival(2*second, at(2, 5)), crash(2*second, at(3, 66))},
			[]endpoint.Fingerprints{at(4, 66)},
			[]endpoint.Fingerprints{at(4, 5), sound},
		},
		{
			"one parameter crashes, nothing else known",
			[]event{crash(0, at(1, 66)), crash(second, at(2, 66)), crash(2*second, at(3, 66))},
			[]endpoint.Fingerprints{at(4, 66)},
			[]endpoint.Fingerprints{at(4, 5), sound},
		},
		{"one parameter crashes, too few crashes", []event{crash(0, at(1, 66)), crash(second, at(2, 66))}, nil, []endpoint.Fingerprints{at(4, 66), at(4, 5)}},
		{
			"parameter that survives elsewhere",
			[]event{crash(0, at(1, 66)), crash(second, at(2, 66)), crash(2*second, at(3, 66)), survival(3*second, at(9, 66))},
			nil,
			[]endpoint.Fingerprints{at(4, 66), at(4, 5)},
		},
		{
			"two parameters together",
			[]event{crash(0, request(1, 166, 107)), crash(second, request(2, 166, 107)), crash(second, request(3, 166, 107))},
			[]endpoint.Fingerprints{request(4, 107, 166)},
			[]endpoint.Fingerprints{request(5, 166), request(6, 107)},
		},
		{"reports of an earlier version", []event{crash(0, unknown), crash(0, unknown)}, []endpoint.Fingerprints{unknown, sound}, nil},
		{"reports of an earlier version, others survive", []event{crash(0, unknown), crash(0, unknown), survival(second, sound)}, nil, []endpoint.Fingerprints{sound}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			records, blocks, start := Records{}, NewBlocks(), time.Unix(1_000_000, 0)
			now := start
			for i, e := range test.events {
				now = start.Add(e.after)
				for _, f := range e.crashed {
					if !blocks.RequestSurvivedSince(f.Whole(), now.Add(-proofTime)) {
						records.AddCrash(crashOf(f, fmt.Sprint("e", i)), blocks, now)
					}
				}
				if e.survived != nil {
					for _, key := range e.survived.All() {
						blocks.AddRequestSurvival(key, now)
					}
					records.Refute(*e.survived, now, now)
				}
			}
			for _, f := range test.refused {
				qt.Check(t, records.Remaining(f, now) > 0, qt.IsTrue, qt.Commentf("%v is sent", f))
			}
			for _, f := range test.sent {
				qt.Check(t, records.Remaining(f, now) > 0, qt.IsFalse, qt.Commentf("%v is refused", f))
			}
		})
	}
}

// TestCrashesAreBounded guards against records that grow without end, where each request has another path or another query, and against
// bounds that let a request crash endpoints again and again among them.
func TestCrashesAreBounded(t *testing.T) {
	tests := []struct {
		name string
		// bystander is the n-th request that was lost with the deadly one.
		bystander func(n uint64) endpoint.Fingerprints
	}{
		{"another query each time", func(n uint64) endpoint.Fingerprints { return request(1000+n, 2000+n) }},
		{"another path each time", func(n uint64) endpoint.Fingerprints { return endpoint.Fingerprints{Path: 1000 + n, Target: 2000 + n} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			records, now := Records{}, time.Unix(1_000_000, 0)
			deadly := request(66, 166)
			for n := range uint64(3 * maxRecords) {
				now = now.Add(time.Millisecond)
				records.AddCrash(crashOf(test.bystander(n), fmt.Sprint("e", n/40)), &ClearanceTable{}, now)
				if n%40 == 0 {
					records.AddCrash(crashOf(deadly, fmt.Sprint("e", n/40)), &ClearanceTable{}, now)
				}
			}
			crashes := 0
			for _, rec := range records {
				qt.Assert(t, len(rec.Crashes) <= maxCrashes, qt.IsTrue)
				crashes += len(rec.Crashes)
			}
			qt.Check(t, len(records) <= maxRecords, qt.IsTrue)
			qt.Check(t, records.Remaining(deadly, now) > 0, qt.IsTrue)
		})
	}
}

// TestExplanationCoversAllCrashes checks over random crashes that the culprits explain the crash of each endpoint, and that a single
// request is found wherever it explains all.
func TestExplanationCoversAllCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var crashes []Crash
		endpoints := map[string]map[uint64]bool{}
		for range rapid.IntRange(1, 20).Draw(t, "crashes") {
			k := Crash{Endpoint: fmt.Sprint("e", rapid.IntRange(0, 6).Draw(t, "endpoint")), Target: rapid.Uint64Range(1, 5).Draw(t, "target")}
			if endpoints[k.Endpoint] == nil {
				endpoints[k.Endpoint] = map[uint64]bool{}
			}
			if !endpoints[k.Endpoint][k.Target] {
				endpoints[k.Endpoint][k.Target] = true
				crashes = append(crashes, k)
			}
		}
		culprits, several := explain(crashes)
		explained := map[string]bool{}
		for _, k := range culprits {
			explained[k.Endpoint] = true
		}
		if len(explained) != len(endpoints) {
			t.Errorf("%d of %d endpoints are explained", len(explained), len(endpoints))
		}
		for target := range uint64(6) {
			all := true
			for _, lost := range endpoints {
				all = all && lost[target]
			}
			if all && several {
				t.Errorf("request %d explains all, but several were found", target)
			}
		}
	})
}
