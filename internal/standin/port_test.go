package standin

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFreeAddressesDiffer draws more addresses than any test does at once, while none of them is in use.
func TestFreeAddressesDiffer(t *testing.T) {
	const draws = 600
	seen := map[string]bool{}
	for range draws {
		address, err := FreeAddress()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, seen[address], qt.IsFalse, qt.Commentf("%s was handed out twice", address))
		seen[address] = true
	}
}
