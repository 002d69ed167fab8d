// Package rapidtest runs the tests of a package with fixed settings of rapid, so that each run checks the same cases.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

// Settings are the defaults of rapid's flags; zero keeps rapid's own.
type Settings struct {
	Seed uint64
	// Checks is the number of random cases of each property.
	Checks int
	// Steps is the mean number of actions in a case of a state machine.
	Steps int
}

// Main runs the tests and exits; TestMain calls it. Flags on the command line override the settings, so that one case can be
// repeated.
func Main(m *testing.M, s Settings) {
	set("rapid.seed", s.Seed)
	set("rapid.checks", uint64(s.Checks))
	set("rapid.steps", uint64(s.Steps))
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// set sets a flag, unless the value is zero.
func set(name string, value uint64) {
	if value == 0 {
		return
	}
	if err := flag.Set(name, strconv.FormatUint(value, 10)); err != nil {
		panic(err)
	}
}
