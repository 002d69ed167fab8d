package filter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFingerprintsTellRequestsApart checks what requests have in common at each width: without that, a sound request would be refused for
// a deadly one, or a deadly one would be another one each time.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	base := Request{Method: "GET", Path: "/look", Query: "item=666&at=1", Service: "s", Body: []byte("b")}
	tests := []struct {
		name   string
		change func(r *Request)
		// path, target and parameters say what stays the same; parameters is the number of those.
		path, target bool
		parameters   int
	}{
		{"same", func(*Request) {}, true, true, 2},
		{"another value", func(r *Request) { r.Query = "item=5&at=1" }, true, false, 1},
		{"another time stamp", func(r *Request) { r.Query = "item=666&at=2" }, true, false, 1},
		{"another order", func(r *Request) { r.Query = "at=1&item=666" }, true, false, 2},
		{"no query", func(r *Request) { r.Query = "" }, true, false, 0},
		{"empty parameters", func(r *Request) { r.Query = "&&item=666&&at=1" }, true, false, 2},
		{"many parameters before", func(r *Request) { r.Query = "a=1&b=2&c=3&item=666&at=1" }, true, false, 1},
		{"another body", func(r *Request) { r.Body = []byte("c") }, false, false, 2},
		{"another path", func(r *Request) { r.Path = "/book" }, false, false, 0},
		{"another method", func(r *Request) { r.Method = "PUT" }, false, false, 0},
		{"query in the path", func(r *Request) { r.Path, r.Query = "/look?item=666&at=1", "" }, false, false, 0},
		{"query in the body", func(r *Request) { r.Body, r.Query = []byte("b?item=666&at=1"), "" }, false, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := base
			test.change(&other)
			a, b := Fingerprints(&Exchange{Request: base}), Fingerprints(&Exchange{Request: other})
			qt.Check(t, a.Path == b.Path, qt.Equals, test.path)
			qt.Check(t, a.Target == b.Target, qt.Equals, test.target)
			common := 0
			for _, p := range a.Parameters.List() {
				for _, q := range b.Parameters.List() {
					if p == q {
						common++
					}
				}
			}
			qt.Check(t, common, qt.Equals, test.parameters)
		})
	}
}
