package warmup

import (
	"testing"

	"cornelmux/internal/rapidtest"
)

// TestMain fixes rapid's seed, so that each run checks the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Settings{Seed: 20261206}) }
