package rapidtest

import (
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMain(m *testing.M) { Main(m, Settings{Seed: 7, Checks: 11}) }

// TestMainSetsRapidsFlags checks the settings of TestMain, and that steps keeps rapid's default.
func TestMainSetsRapidsFlags(t *testing.T) {
	c := qt.New(t)
	rows := []struct{ name, value string }{
		{"rapid.seed", "7"},
		{"rapid.checks", "11"},
		{"rapid.steps", flag.Lookup("rapid.steps").DefValue},
		{"rapid.nofailfile", "true"},
	}
	for _, row := range rows {
		c.Check(flag.Lookup(row.name).Value.String(), qt.Equals, row.value, qt.Commentf(row.name))
	}
}
