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

// TestMain fixes the seed of rapid, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for _, f := range []struct{ name, value string }{{"seed", testSeed}, {"checks", testChecks}, {"nofailfile", "true"}} {
		if err := flag.Set("rapid."+f.name, f.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestAssemblerReturnsEachChunkOnceInOrder feeds fragments in random order, with duplicates and fragments of another
// run.
func TestAssemblerReturnsEachChunkOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "chunks")
		asm := NewAssembler("own")
		var got []string
		for asm.NextOffset() < n {
			// Up to ten random fragments of this run or another one arrive before the missing one.
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
				t.Fatalf("chunk %d is %q", i, text)
			}
		}
	})
}

// TestAssemblerBounds checks that an endpoint cannot make the buffer grow without limit.
func TestAssemblerBounds(t *testing.T) {
	rows := []struct {
		name     string
		fragment Fragment
		kept     int
	}{
		{"at the offset limit", Fragment{RunID: "own", Offset: maxOffsetAhead - 1}, 1},
		{"beyond the offset limit", Fragment{RunID: "own", Offset: maxOffsetAhead}, 0},
		{"beyond the byte limit", Fragment{RunID: "own", Offset: 1, Chunk: Chunk{Data: make([]byte, maxBufferedBytes+1)}}, 0},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			asm := NewAssembler("own")
			c.Assert(asm.Add(row.fragment), qt.HasLen, 0)
			c.Assert(asm.buffered, qt.HasLen, row.kept)
		})
	}
}
