package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
)

const (
	keyBytes = 32
	keyMode  = 0o600
)

type keygenCommand struct {
	File string `long:"file" required:"true" description:"file to make; one that exists is left alone"`
}

// Execute implements flags.Commander.
func (c *keygenCommand) Execute([]string) error {
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyMode)
	if err != nil {
		return fmt.Errorf("key file: %w", err)
	}
	key := make([]byte, keyBytes)
	_, _ = rand.Read(key) // never fails
	if _, err := fmt.Fprintln(f, base64.RawURLEncoding.EncodeToString(key)); err != nil {
		f.Close()
		return fmt.Errorf("key file: %w", err)
	}
	return f.Close()
}
