package routing

// PrefixBlock is one block of a prompt. Prompts with the same beginning have the same leading blocks. The caller gives the
// IDs and lengths.
type PrefixBlock struct {
	ID uint64
	// Tokens is the length of the block.
	Tokens int
}

// Prompt describes the prompt and the expected answer of a request, without their text.
type Prompt struct {
	// Blocks are the blocks of the prompt from its beginning; the last one is the request's own.
	Blocks []PrefixBlock
	// TokensIn is the length of the prompt, MaxTokensOut the limit of the answer and LikelyTokensOut the caller's
	// estimate of its length, all in tokens; 0 if unknown.
	TokensIn        int
	MaxTokensOut    int
	LikelyTokensOut int
}

// SharedPrefix returns the ID of the last block that other requests may share, or 0 if there is none. The last block of
// a prompt is the request's own.
func (p Prompt) SharedPrefix() uint64 {
	if len(p.Blocks) < 2 {
		return 0
	}
	return p.Blocks[len(p.Blocks)-2].ID
}

// SharedBlocks returns the IDs of the blocks that other requests may share, from the beginning.
func (p Prompt) SharedBlocks() []uint64 {
	var ids []uint64
	for i, b := range p.Blocks {
		if i < len(p.Blocks)-1 {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// SharedPrefixTokens returns the length of the prefix that other requests may share, in tokens.
func (p Prompt) SharedPrefixTokens() int {
	n := 0
	for i, part := range p.Blocks {
		if i < len(p.Blocks)-1 {
			n += part.Tokens
		}
	}
	return n
}
