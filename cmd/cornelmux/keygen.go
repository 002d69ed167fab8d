package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
)

const (
	// keyBytes is the length of a key before it is encoded in base64.
	keyBytes = 32
	// keyFileMode lets only the owner read and write a key file.
	keyFileMode = 0o600
)

type keygenCommand struct {
	File string `long:"file" required:"true" description:"file to make; one that exists is left alone"`
}

// Execute implements flags.Commander. It writes a random key to a new file, and fails if the file exists.
func (c *keygenCommand) Execute([]string) error {
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
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
