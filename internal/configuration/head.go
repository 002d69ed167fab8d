package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"cornelmux/pkg/catalog"
)

// Keys of the configuration in the platform.
const (
	HeadKey    = "cornelmux/configuration/head"
	partPrefix = "cornelmux/configuration/parts/"
)

const maxKeptChanges = 256

// Head is the value of the head key: the newest revision and the digests of its parts.
type Head struct {
	Revision uint64       `json:"revision"`
	Parts    []Part       `json:"parts"`
	Changes  []ChangeNote `json:"changes,omitempty"`
}

// Part names a piece of the configuration, stored under its SHA-256 digest.
type Part struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// ChangeNote remembers an accepted change, so that a lost answer can be settled.
type ChangeNote struct {
	ChangeID string   `json:"change_id"`
	Revision uint64   `json:"revision"`
	Author   string   `json:"author"`
	UnixTime int64    `json:"unix_time"`
	Objects  []string `json:"objects"`
}

// Blob is the content of a part.
type Blob struct {
	Part
	Content []byte
}

// Split cuts a configuration into parts, each well under the platform's limit for a value.
func Split(c catalog.Configuration) ([]Blob, error) {
	c.Sort()
	accounts := c.Accounts
	c.Accounts = nil
	rules, err := blob("rules", c)
	if err != nil {
		return nil, err
	}
	blobs := []Blob{rules}
	for i := 0; i < len(accounts); i += accountsPerPart {
		b, err := blob(fmt.Sprintf("accounts_%d", i/accountsPerPart), catalog.Configuration{
			Accounts: accounts[i:min(i+accountsPerPart, len(accounts))],
		})
		if err != nil {
			return nil, err
		}
		blobs = append(blobs, b)
	}
	return blobs, nil
}

const accountsPerPart = 1000

// Join puts a configuration together from its parts.
func Join(blobs []Blob) (catalog.Configuration, error) {
	var whole catalog.Configuration
	for _, b := range blobs {
		if digest(b.Content) != b.Digest {
			return whole, fmt.Errorf("part %s: content differs from its digest", b.Name)
		}
		accounts := whole.Accounts
		if err := json.Unmarshal(b.Content, &whole); err != nil {
			return whole, fmt.Errorf("part %s: %w", b.Name, err)
		}
		if b.Name == "rules" {
			whole.Accounts = accounts
			continue
		}
		whole.Accounts = append(accounts, whole.Accounts...)
	}
	return whole, nil
}

func blob(name string, c catalog.Configuration) (Blob, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return Blob{}, fmt.Errorf("part %s: %w", name, err)
	}
	return Blob{Part{name, digest(data)}, data}, nil
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
