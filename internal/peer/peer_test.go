package peer

import (
	"flag"
	"os"
	"testing"
)

const (
	rapidSeed   = "20261204"
	rapidChecks = "300" // random cases of each test
)

// TestMain fixes rapid's seed, so that each run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
