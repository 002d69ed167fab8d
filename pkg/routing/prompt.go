package routing

// PrefixBlock is one part of a prompt; requests whose prompts begin alike share parts.
type PrefixBlock struct {
	ID     uint64
	Tokens int
}

// Prompt describes a generation without its text.
type Prompt struct {
	Blocks []PrefixBlock
	// TokensIn is the length of the prompt, MaxTokensOut the bound of the answer, LikelyTokensOut the caller's estimate.
	TokensIn        int
	MaxTokensOut    int
	LikelyTokensOut int
}

// SharedPrefix returns the last part that other requests may share, or 0: the very last part is the request's own.
func (p Prompt) SharedPrefix() uint64 {
	if len(p.Blocks) < 2 {
		return 0
	}
	return p.Blocks[len(p.Blocks)-2].ID
}

// SharedPrefixTokens counts the tokens that other requests may share.
func (p Prompt) SharedPrefixTokens() int {
	n := 0
	for i, part := range p.Blocks {
		if i < len(p.Blocks)-1 {
			n += part.Tokens
		}
	}
	return n
}
