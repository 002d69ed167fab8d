package routing

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMatch checks that the host and the longest path prefix decide, and that prefixes match whole segments.
func TestMatch(t *testing.T) {
	table := (&Table{Routes: []Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "orders", Host: "a.example", PathPrefix: "/orders/"},
		{Name: "late orders", Host: "a.example", PathPrefix: "/orders/late/"},
		{Name: "other host", Host: "b.example", PathPrefix: "/orders/"},
	}}).Index()
	tests := []struct {
		host string
		path string
		want string
	}{
		{"a.example", "/orders/late/7", "late orders"},
		{"a.example", "/orders/7", "orders"},
		{"a.example", "/orders", "all"},
		{"a.example", "/", "all"},
		{"b.example", "/orders/late/7", "other host"},
		{"b.example", "/", ""},
		{"c.example", "/orders/", ""},
	}
	for _, test := range tests {
		t.Run(test.host+test.path, func(t *testing.T) {
			got := ""
			if r := table.Match(test.host, test.path); r != nil {
				got = r.Name
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestMatchIsLongestPrefix compares Match with a search over all prefixes.
func TestMatchIsLongestPrefix(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		c := qt.New(tt)
		segment := rapid.SampledFrom([]string{"a", "b", "ab"})
		prefix := rapid.Custom(func(t *rapid.T) string {
			return "/" + strings.Join(append(rapid.SliceOfN(segment, 0, 3).Draw(t, "segments"), ""), "/")
		})
		table := Table{}
		for _, p := range rapid.SliceOfN(prefix, 0, 8).Draw(t, "prefixes") {
			table.Routes = append(table.Routes, Route{Host: "h", PathPrefix: p})
		}
		path := prefix.Draw(t, "path")
		longest := -1
		for _, r := range table.Routes {
			if strings.HasPrefix(path, r.PathPrefix) {
				longest = max(longest, len(r.PathPrefix))
			}
		}
		got := table.Index().Match("h", path)
		if got == nil {
			c.Assert(longest, qt.Equals, -1)
			return
		}
		c.Assert(len(got.PathPrefix), qt.Equals, longest)
	})
}

// TestPick checks which target each draw selects, and that targets without weight are never selected.
func TestPick(t *testing.T) {
	r := Route{Targets: []Target{{"old", 90}, {"none", 0}, {"new", 10}}}
	tests := []struct {
		draw float64
		want string
	}{
		{0, "old"}, {0.89, "old"}, {0.91, "new"}, {0.999, "new"},
	}
	for _, test := range tests {
		qt.Check(t, r.Pick(test.draw), qt.Equals, test.want, qt.Commentf("draw %v", test.draw))
	}
	qt.Check(t, (&Route{}).Pick(0.5), qt.Equals, "")
}

// TestIdempotent checks which kinds of routes allow a second send of a request that may have run.
func TestIdempotent(t *testing.T) {
	tests := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindIdempotent}, true},
		{Route{Kind: KindNonIdempotent, Resumable: true}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
	}
	for _, test := range tests {
		qt.Check(t, test.route.Idempotent(), qt.Equals, test.want, qt.Commentf("%+v", test.route))
	}
}
