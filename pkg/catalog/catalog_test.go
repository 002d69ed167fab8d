package catalog

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// testConfiguration returns a valid configuration with unsorted accounts.
func testConfiguration() Configuration {
	return Configuration{
		Accounts: []ClientAccount{
			{Name: "b", KeyHash: HashKey("b"), HomeRegion: "r", Grants: []Grant{{Model: "m"}}},
			{Name: "a", KeyHash: HashKey("a"), HomeRegion: "r", Services: []string{"s"}},
		},
		Models:      []Model{{Name: "m", Stable: "v1", Versions: []Version{{Name: "v1"}, {Name: "v2"}}}},
		Services:    []Service{{Name: "s", Routes: []Route{{Method: "POST", Path: "/send"}}}},
		RollOuts:    []RollOut{{Model: "m", Version: "v2", Share: 0.1, State: RollOutRunning}},
		Withdrawals: []Withdrawal{{Model: "m", Version: "v2", Reason: "bad"}},
	}
}

// TestDiffAndApply checks that applying the diff of an edit makes the edit, except for edits that an outdated file
// must not make.
func TestDiffAndApply(t *testing.T) {
	rows := []struct {
		name    string
		edit    func(c *Configuration)
		objects []string
		// ignored says that Diff leaves the edit out.
		ignored bool
	}{
		{"no change", func(*Configuration) {}, nil, false},
		{"account changed", func(c *Configuration) { c.Accounts[0].Priority = 3 }, []string{"account/b"}, false},
		{"account removed", func(c *Configuration) { c.Accounts = c.Accounts[1:] }, []string{"account/b"}, false},
		{"withdrawal left out", func(c *Configuration) { c.Withdrawals = nil }, nil, true},
		{"rollout left out", func(c *Configuration) { c.RollOuts = nil }, nil, true},
		{"rollout changed", func(c *Configuration) { c.RollOuts[0].Share = 0.9 }, nil, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			from, to := testConfiguration(), testConfiguration()
			row.edit(&to)
			ch := Diff(from, to)
			c.Assert(ch.Objects(), qt.DeepEquals, row.objects)
			got, err := ch.Apply(from)
			c.Assert(err, qt.IsNil)
			want := to
			if row.ignored {
				want = from
			}
			want.Sort()
			c.Assert(got, qt.DeepEquals, want)
		})
	}
}

// TestPrintIsTheSameForEqualConfigurations checks that the order of lists doesn't matter, and that Parse reads the output.
func TestPrintIsTheSameForEqualConfigurations(t *testing.T) {
	c := qt.New(t)
	one, two := testConfiguration(), testConfiguration()
	slices.Reverse(two.Accounts)
	var a, b bytes.Buffer
	c.Assert(one.Print(&a), qt.IsNil)
	c.Assert(two.Print(&b), qt.IsNil)
	c.Assert(a.String(), qt.Equals, b.String())
	again, err := Parse(a.Bytes())
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, one)
}

// TestValidateNamesEveryError checks that Validate reports each error of a configuration, not only the first.
func TestValidateNamesEveryError(t *testing.T) {
	rows := []struct {
		name string
		edit func(c *Configuration)
		want []string
	}{
		{"valid", func(*Configuration) {}, nil},
		{"two accounts with the same name", func(c *Configuration) { c.Accounts[1].Name = "b" }, []string{"listed twice"}},
		{"unknown model, short hash", func(c *Configuration) {
			c.Accounts[0].Grants[0].Model = "x"
			c.Accounts[1].KeyHash = "short"
		}, []string{`unknown model "x"`, "key_hash"}},
		{"unknown stable version", func(c *Configuration) { c.Models[0].Stable = "v9" }, []string{"v9"}},
		{"share over 1", func(c *Configuration) { c.RollOuts[0].Share = 1.5 }, []string{"share"}},
		{"route without a slash", func(c *Configuration) { c.Services[0].Routes[0].Path = "send" }, []string{"route"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			cfg := testConfiguration()
			row.edit(&cfg)
			err := cfg.Validate()
			if len(row.want) == 0 {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.IsNotNil)
			for _, p := range row.want {
				c.Assert(strings.Contains(err.Error(), p), qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}
