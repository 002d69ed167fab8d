package warmup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// vms returns the names of n VMs.
func vms(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("vm", i)
	}
	return names
}

// TestBound guards against a bound above what the rate and its tolerance allow, and against bounds of numbers that are none.
func TestBound(t *testing.T) {
	tests := []struct {
		name      string
		tolerance Tolerance
		rate      float64
		want      int
	}{
		{"rounded down", Tolerance{1.5, 5}, 9.1, 18},
		{"no rate", Tolerance{1.5, 5}, 0, 5},
		{"less than one", Tolerance{1, 0.5}, 0.4, 0},
		{"negative", Tolerance{-1, 0}, 3, 0},
		{"too large", Tolerance{1e300, 5}, 1e300, maxBound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, test.tolerance.Bound(test.rate), qt.Equals, test.want)
		})
	}
}

// TestShares guards against VMs of one view that take more than half of the bound together, or nothing though the bound allows it.
func TestShares(t *testing.T) {
	tests := []struct {
		name    string
		members int
		bound   int
		want    int
	}{
		{"fewer VMs than the bound allows", 3, 18, 9},
		{"a share isn't whole", 4, 18, 8},
		{"more VMs than the bound allows", 31, 18, 9},
		{"one VM", 1, 18, 9},
		{"a bound of two", 14, 2, 1},
		{"a bound that no two VMs may share", 14, 1, 0},
		{"no bound left", 14, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for incarnation := range int64(50) {
				total := 0
				for _, vm := range vms(test.members) {
					total += Share(vm, Key("endpoint", incarnation), vms(test.members), test.bound)
				}
				qt.Assert(t, total, qt.Equals, test.want)
			}
		})
	}
}

// TestEndpointsHaveOtherVMs guards against a few VMs of a zone that alone send to all its cold endpoints.
func TestEndpointsHaveOtherVMs(t *testing.T) {
	sends := map[string]int{}
	for i := range 24 {
		for _, vm := range vms(31) {
			sends[vm] += Share(vm, Key(fmt.Sprint("endpoint", i), 1), vms(31), 18)
		}
	}
	for _, vm := range vms(31) {
		qt.Check(t, sends[vm] > 0, qt.IsTrue, qt.Commentf("%s sends to no cold endpoint", vm))
	}
}

// TestFleetKeepsTheBound guards against more requests to a cold endpoint in any second, from all VMs together, than its rate with its
// tolerance allows: whatever part of the members each VM knows within the stated bound, however often VMs restart, with up to 24
// endpoints that are cold together, runs that are always waiting, and sends that begin as late as they may.
func TestFleetKeepsTheBound(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		tolerance := Tolerance{rapid.Float64Range(1, 3).Draw(t, "overage"), rapid.Float64Range(0, 20).Draw(t, "slack")}
		bound := tolerance.Bound(rapid.Float64Range(0.1, 40).Draw(t, "rate"))
		all := vms(rapid.IntRange(1, 40).Draw(t, "members"))
		lacking := min(len(all)/2, bound/viewMargin)
		for e := range rapid.IntRange(1, 24).Draw(t, "endpoints") {
			key := Key(fmt.Sprint("endpoint", e), rapid.Int64().Draw(t, "incarnation"))
			var sent []time.Time
			for _, vm := range all {
				members := without(all, vm, rapid.SliceOfN(rapid.SampledFrom(all), 0, lacking).Draw(t, "lacking"))
				restart := time.Duration(rapid.IntRange(0, 8000).Draw(t, "restart")) * time.Millisecond
				sent = append(sent, sendsOf(t, vm, key, members, bound, restart)...)
			}
			if most := mostInOneSecond(sent); most > bound {
				t.Fatalf("%d requests in one second, at most %d are allowed", most, bound)
			}
		}
	})
}

// without returns the members but those of the list, with the VM itself in any case.
func without(all []string, vm string, lacking []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(m string) bool { return m != vm && slices.Contains(lacking, m) })
}

// sendsOf returns when a VM sends to an endpoint that is cold for 6 s. It places a run whenever it may, and starts anew once.
func sendsOf(t *rapid.T, vm string, key uint64, members []string, bound int, restart time.Duration) []time.Time {
	const step = 20 * time.Millisecond
	share := Share(vm, key, members, bound)
	if share == 0 {
		return nil
	}
	offset := time.Duration(rapid.IntRange(0, 999).Draw(t, "offset")) * time.Millisecond
	spacing := NewSpacing(start.Add(offset))
	var sent []time.Time
	for at := offset; at < 6*time.Second; at += step {
		now := start.Add(at)
		if at >= restart && at-restart < step {
			spacing = NewSpacing(now)
		}
		for spacing.Left(share, now) > 0 {
			spacing.Take(now)
			sent = append(sent, now.Add(rapid.SampledFrom([]time.Duration{0, SendDelay / 2, SendDelay}).Draw(t, "delay")))
		}
	}
	return sent
}

// mostInOneSecond returns the greatest number of the times that lie within one second, both ends included.
func mostInOneSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
