package catalog

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// HashKey returns the KeyHash of a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Sort orders every list by name, so that equal configurations print alike.
func (c *Configuration) Sort() {
	slices.SortFunc(c.Accounts, func(a, b ClientAccount) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Cascades, func(a, b Cascade) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.RollOuts, func(a, b RollOut) int { return cmp.Compare(a.Model, b.Model) })
	slices.SortFunc(c.Withdrawals, func(a, b Withdrawal) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
}

// Print writes the configuration as indented JSON with its lists in order.
func (c *Configuration) Print(w io.Writer) error {
	c.Sort()
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(c)
}

// Parse reads a printed configuration, refusing unknown fields, and validates it.
func Parse(data []byte) (Configuration, error) {
	var c Configuration
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return c, fmt.Errorf("configuration at byte %d: %w", dec.InputOffset(), err)
	}
	return c, c.Validate()
}
