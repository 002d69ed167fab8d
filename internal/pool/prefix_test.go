package pool

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/pkg/routing"
)

// blockUse is when a block was used; order tells the blocks of one prompt apart, of which the beginning counts as used last.
type blockUse struct {
	at    time.Time
	order int
}

// blockModel is the rule by which blocks are remembered, in its plainest form: the one that was not used for the longest time is found
// among all.
type blockModel struct {
	limit int
	uses  map[blockKey]blockUse
}

func (m *blockModel) answered(model string, blocks []routing.PrefixBlock, now time.Time) {
	if len(blocks) > 1 {
		blocks = blocks[:len(blocks)-1]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if len(m.uses) >= m.limit {
			m.dropOldest()
		}
		m.uses[blockKey{model, blocks[i].ID}] = blockUse{now, len(blocks) - i}
	}
}

func (m *blockModel) dropOldest() {
	var oldest blockKey
	var least blockUse
	for k, u := range m.uses {
		if least.at.IsZero() || u.at.Before(least.at) || (u.at.Equal(least.at) && u.order < least.order) {
			oldest, least = k, u
		}
	}
	delete(m.uses, oldest)
}

func (m *blockModel) uncached(model string, p routing.Prompt) int {
	total := p.TokensIn
	for _, b := range p.Blocks {
		if _, ok := m.uses[blockKey{model, b.ID}]; !ok {
			break
		}
		total -= b.Tokens
	}
	return max(total, 0)
}

// TestBlocksAreRememberedByLastUse draws answered prompts, and compares what the endpoint is taken to have cached with the plain rule.
func TestBlocksAreRememberedByLastUse(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		want := blockModel{limit, map[blockKey]blockUse{}}
		table := newTable(entry("a"))
		r := table.records["a"]
		r.prefixBlocks = newPrefixCache(limit)
		ids := rapid.SliceOfN(rapid.Uint64Range(1, 16), 1, 20)
		models := rapid.SampledFrom([]string{"m", "n"})
		draw := func(name string) routing.Prompt {
			p := routing.Prompt{}
			for _, id := range ids.Draw(t, name) {
				p.Blocks = append(p.Blocks, routing.PrefixBlock{ID: id, Tokens: int(id)})
				p.TokensIn += int(id)
			}
			return p
		}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			p, model := draw("answered"), models.Draw(t, "model")
			table.Done(&Outcome{Endpoint: "a", Incarnation: 5, End: EndAnswered, Service: "s", Model: model, Prompt: p}, now)
			want.answered(model, p.Blocks, now)
			asked, askedModel := draw("asked"), models.Draw(t, "asked model")
			q := Query{Service: "s", Model: askedModel, Prompt: asked}
			placed, _ := table.Choose(&q, now)
			if got := placed.PrefillTime; got != prefillTime(want.uncached(askedModel, asked)) {
				t.Fatalf("%v to process, want %v", got, prefillTime(want.uncached(askedModel, asked)))
			}
			if len(r.prefixBlocks.blocks) != len(want.uses) {
				t.Fatalf("%d blocks are remembered, want %d", len(r.prefixBlocks.blocks), len(want.uses))
			}
		}
	})
}

// TestLongPromptsShareTheirPrefix answers a prompt of any number of parts, and checks that another one with the same beginning counts as
// cached but for less than a group of its parts, and never for more than they share.
func TestLongPromptsShareTheirPrefix(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		parts := rapid.IntRange(1, 400)
		n, m := parts.Draw(t, "answered"), parts.Draw(t, "asked")
		share := rapid.IntRange(0, min(n, m)-1).Draw(t, "shared")
		answered, asked := prompt(n, share, 1), prompt(m, share, 2)
		table := newTable(entry("a"))
		table.Done(&Outcome{Endpoint: "a", Incarnation: 5, End: EndAnswered, Service: "s", Model: "m", Prompt: answered}, start)
		q := Query{Service: "s", Model: "m", Prompt: asked}
		_, _ = table.Choose(&q, start)
		cached := (asked.TokensIn - table.records["a"].uncachedTokens(&q)) / 16
		least := share
		if share > singleBlocks {
			least = max(share-groupedBlocks+1, singleBlocks)
		}
		if cached > share || cached < least {
			t.Fatalf("%d parts of %d count as cached, %d are shared", cached, m, share)
		}
	})
}

// TestLookupsOfAPrompt checks how many blocks are looked up for a prompt, by its parts.
func TestLookupsOfAPrompt(t *testing.T) {
	tests := []struct{ parts, want int }{
		{0, 0}, {1, 1}, {singleBlocks + 1, singleBlocks + 1}, {singleBlocks + 2, singleBlocks + 2}, {1150, 68}, {4096, 160},
	}
	for _, test := range tests {
		joined := joinBlocks(prompt(test.parts, 0, 1).Blocks)
		qt.Check(t, joined, qt.HasLen, test.want, qt.Commentf("%d parts", test.parts))
		tokens := 0
		for _, b := range joined {
			tokens += b.Tokens
		}
		qt.Check(t, tokens, qt.Equals, 16*test.parts)
	}
}

// TestPromptOfManyPartsDoesNotStopThePool compares the fastest of many placements of a prompt of 1,150 parts, with the end of its run, with
// that of a prompt of 10: at most 20 times as long, while the endpoint remembers as many blocks as it can.
func TestPromptOfManyPartsDoesNotStopThePool(t *testing.T) {
	const most = 20
	table := newTable(entry("a"), entry("b"))
	now, n := start, 0
	run := func(parts int) time.Duration {
		n++
		now = now.Add(time.Millisecond)
		p := prompt(parts, 0, n)
		q := Query{Service: "s", Model: "m", Prompt: p, Affinity: p.SharedPrefix()}
		began := time.Now()
		placed, _ := table.Choose(&q, now)
		table.Done(&Outcome{Endpoint: placed.ID, Incarnation: 5, End: EndAnswered, Service: "s", Model: "m", Prompt: p, SentAt: now}, now)
		return time.Since(began)
	}
	fastest := func(parts, runs int) time.Duration {
		least := time.Hour
		for range runs {
			least = min(least, run(parts))
		}
		return least
	}
	for len(table.records["a"].prefixBlocks.blocks) < maxPrefixBlocks || len(table.records["b"].prefixBlocks.blocks) < maxPrefixBlocks {
		run(50)
	}
	few, many := fastest(10, 500), fastest(1150, 100)
	qt.Check(t, many <= most*few, qt.IsTrue, qt.Commentf("%v for 10 parts, %v for 1150", few, many))
}

// TestModelsThatCallersNameAreBounded guards against a table that grows with each new model that a caller names.
func TestModelsThatCallersNameAreBounded(t *testing.T) {
	table := newTable(entry("a"))
	for i := range 2 * maxTypical {
		table.Done(&Outcome{Endpoint: "a", Incarnation: 5, End: EndAnswered, Service: "s", Model: fmt.Sprint("m", i), TTFB: time.Second}, start)
	}
	qt.Check(t, table.typical, qt.HasLen, maxTypical)
	table.Done(&Outcome{Endpoint: "a", Incarnation: 5, End: EndAnswered, Service: "s", Model: "m0", TTFB: 2 * time.Second}, start)
	qt.Check(t, table.typical[latencyKey{"s", "m0"}].TTFB > time.Second, qt.IsTrue)
}
