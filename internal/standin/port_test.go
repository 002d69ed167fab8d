package standin

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFreeAddressesDiffer takes more addresses than any test does, none of them in use. FreeAddress must not return one
// twice although its port is still free.
func TestFreeAddressesDiffer(t *testing.T) {
	const addresses = 600
	seen := map[string]bool{}
	for range addresses {
		address, err := FreeAddress()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, seen[address], qt.IsFalse, qt.Commentf("%s was handed out twice", address))
		seen[address] = true
	}
}
