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

// HashKey returns the SHA-256 of a bearer key in hexadecimal, for ClientAccount.KeyHash.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Sort sorts every list by name, so that equal configurations print the same. Print and Change.Apply call it,
// and package configuration when it splits and joins one.
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

// Print sorts the configuration and writes it as indented JSON.
func (c *Configuration) Print(w io.Writer) error {
	c.Sort()
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(c)
}

// Parse decodes a configuration from JSON and validates it. Unknown fields are an error. Commands call it on an operator's
// file and on the configuration that a VM returns.
func Parse(data []byte) (Configuration, error) {
	var c Configuration
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return c, fmt.Errorf("configuration at byte %d: %w", dec.InputOffset(), err)
	}
	return c, c.Validate()
}
