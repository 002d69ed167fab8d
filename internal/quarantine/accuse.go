package quarantine

import (
	"slices"
	"time"

	"cornelmux/internal/endpoint"
)

// A crash speaks against all requests on a path that were lost with it. Those are accused that are needed to explain all crashes, and caused
// enough of them. If there are several, what they have in common is accused as well, which is some parameters or just the path, unless
// requests with it survive elsewhere.

// accused returns when the newest crash was learned that quarantines the request; zero if it isn't quarantined.
func (r *Record) accused(f endpoint.Fingerprints) time.Time {
	if !r.explained {
		r.culprits, r.several = explain(r.Crashes)
		r.explained = true
	}
	at := time.Time{}
	if i := slices.IndexFunc(r.culprits, func(k Crash) bool { return k.Target == f.Target }); i >= 0 {
		own := slices.DeleteFunc(slices.Clone(r.culprits[i:]), func(k Crash) bool { return k.Target != f.Target })
		at = newestOf(own, CrashThreshold)
	}
	if !r.several {
		return at
	}
	if common := r.accusedCommon(f, r.culprits); common.After(at) {
		return common
	}
	return at
}

// accusedCommon returns when the newest crash was learned that speaks against what the request has in common with several that caused
// crashes, if they caused enough.
func (r *Record) accusedCommon(f endpoint.Fingerprints, culprits []Crash) time.Time {
	common := r.commonParameters(culprits)
	switch {
	case len(common) == 0:
		return newestOf(r.uncleared(f.Path, culprits), CrashThreshold)
	case slices.ContainsFunc(common, func(p uint64) bool { return !slices.Contains(f.Parameters[:], p) }):
		return time.Time{}
	default:
		return newestOf(culprits, ParameterThreshold)
	}
}

// accusesAny reports whether the crashes quarantine any of the requests on the path that they were lost with.
func (r *Record) accusesAny(path uint64) bool {
	return slices.ContainsFunc(r.Crashes, func(k Crash) bool {
		return !r.accused(endpoint.Fingerprints{Path: path, Target: k.Target, Parameters: k.Parameters}).IsZero()
	})
}

// commonParameters returns the parameters that all the crashes have and that didn't survive elsewhere.
func (r *Record) commonParameters(crashes []Crash) []uint64 {
	return slices.DeleteFunc(crashes[0].Parameters.List(), func(p uint64) bool {
		return len(r.uncleared(p, crashes)) < len(crashes) ||
			slices.ContainsFunc(crashes, func(k Crash) bool { return !slices.Contains(k.Parameters[:], p) })
	})
}

// uncleared returns the crashes that no surviving run with the path or the parameter refutes.
func (r *Record) uncleared(key uint64, crashes []Crash) []Crash {
	cleared, ok := r.Cleared[key]
	if !ok {
		return crashes
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(k Crash) bool { return k.At.Sub(cleared) < proofTime })
}

// newestOf returns when the newest crash was learned, if they are of enough endpoints; zero otherwise.
func newestOf(crashes []Crash, threshold int) (at time.Time) {
	endpoints := map[string]bool{}
	for _, k := range crashes {
		endpoints[k.Endpoint] = true
		if k.At.After(at) {
			at = k.At
		}
	}
	if len(endpoints) < threshold {
		return time.Time{}
	}
	return at
}

// explain returns the crashes of as few requests as explain each endpoint's crash, and whether it takes several requests: others that were
// lost with them were merely there.
func explain(crashes []Crash) (culprits []Crash, several bool) {
	open := slices.Clone(crashes)
	requests := 0
	for len(open) > 0 {
		of := mostCrashes(open)
		culprits = append(culprits, of...)
		open = slices.DeleteFunc(open, func(k Crash) bool {
			return slices.ContainsFunc(of, func(c Crash) bool { return c.Endpoint == k.Endpoint })
		})
		requests++
	}
	return culprits, requests > 1
}

// mostCrashes returns the crashes of the request that caused most of them. One of which the target isn't known is of a request of its own.
func mostCrashes(crashes []Crash) []Crash {
	byTarget := map[uint64][]Crash{}
	for _, k := range crashes {
		if k.Target != 0 {
			byTarget[k.Target] = append(byTarget[k.Target], k)
		}
	}
	most := crashes[:1]
	for _, k := range crashes {
		if of := byTarget[k.Target]; len(of) > len(most) {
			most = of
		}
	}
	return most
}
