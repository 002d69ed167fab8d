package endpoint

import (
	"flag"
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	testSeed   = "20261204"
	testChecks = "2000"
)

// TestMain fixes rapid's seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for _, f := range []struct{ name, value string }{{"seed", testSeed}, {"checks", testChecks}, {"nofailfile", "true"}} {
		if err := flag.Set("rapid."+f.name, f.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestAssemblerGivesExactlyTheAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "pieces")
		asm := NewAssembler("own")
		var got []string
		for asm.NextOffset() < n {
			// The stream brings a run of fragments from anywhere, its own or another run's, and then the missing one.
			for range rapid.IntRange(0, 10).Draw(t, "noise") {
				f := Fragment{RunID: "own", Offset: rapid.IntRange(-2, n-1).Draw(t, "offset")}
				f.Chunk.Text = strconv.Itoa(f.Offset)
				if rapid.Bool().Draw(t, "foreign") {
					f.RunID, f.Chunk.Text = "another", "foreign"
				}
				for _, p := range asm.Add(f) {
					got = append(got, p.Text)
				}
			}
			for _, p := range asm.Add(Fragment{RunID: "own", Offset: asm.NextOffset(), Chunk: Chunk{Text: strconv.Itoa(asm.NextOffset())}}) {
				got = append(got, p.Text)
			}
		}
		for i, text := range got[:n] {
			if text != strconv.Itoa(i) {
				t.Fatalf("piece %d is %q", i, text)
			}
		}
	})
}

func TestAssemblerBounds(t *testing.T) {
	rows := []struct {
		name     string
		fragment Fragment
		kept     int
	}{
		{"in reach", Fragment{RunID: "own", Offset: maxAhead - 1}, 1},
		{"too far ahead", Fragment{RunID: "own", Offset: maxAhead}, 0},
		{"too large", Fragment{RunID: "own", Offset: 1, Chunk: Chunk{Data: make([]byte, maxWaitingBytes+1)}}, 0},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			asm := NewAssembler("own")
			c.Assert(asm.Add(row.fragment), qt.HasLen, 0)
			c.Assert(asm.waiting, qt.HasLen, row.kept)
		})
	}
}
