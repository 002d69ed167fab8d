package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/consul"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// Keys of the configuration in the platform: HeadKey holds the Head, and partPrefix begins the key of a part, before its
// digest.
const (
	HeadKey    = "cornelmux/configuration/head"
	partPrefix = "cornelmux/configuration/parts/"
)

const (
	// rulesPart is the name of the part that holds everything but the client accounts.
	rulesPart = "rules"
	// accountParts is the number of parts that the client accounts are spread over.
	accountParts = 64
)

// Head is the value of the head key: the newest revision, its parts and the latest changes, oldest first.
type Head struct {
	Revision uint64          `json:"revision"`
	Parts    []Part          `json:"parts"`
	Changes  []ChangeSummary `json:"changes,omitempty"`
}

// Part refers to a part of the configuration, which is stored under its SHA-256 digest.
type Part struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// ChangeSummary describes an accepted change. It lets a submitter find out whether its change was stored after a lost
// answer, and lets a conflicting change be named.
type ChangeSummary struct {
	ChangeID string `json:"change_id"`
	// Revision is the configuration's revision with the change.
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	// UnixTime is when the change was submitted, in Unix seconds.
	UnixTime int64 `json:"unix_time"`
	// Objects names the objects that the change touched, such as account/a or model/m.
	Objects []string `json:"objects,omitempty"`
	// ManyObjects says that the change touched more than maxListedObjects, so that Objects is empty.
	ManyObjects bool `json:"wide,omitempty"`
	// ChangeDigest distinguishes changes with the same ID.
	ChangeDigest string `json:"change_digest"`
	// Record is the digest of the change's audit record.
	Record string `json:"record,omitempty"`
}

// Blob is a part with its content, which is JSON.
type Blob struct {
	Part
	Content []byte
}

// SameContent reports whether two heads refer to the same parts.
func (h Head) SameContent(other Head) bool { return slices.Equal(h.Parts, other.Parts) }

// hasPart reports whether the head refers to the part with the digest.
func (h Head) hasPart(digest string) bool {
	return slices.ContainsFunc(h.Parts, func(p Part) bool { return p.Digest == digest })
}

// lastRecord returns the digest of the newest audit record, or "".
func (h Head) lastRecord() string {
	if len(h.Changes) == 0 {
		return ""
	}
	return h.Changes[len(h.Changes)-1].Record
}

// Split divides a configuration into parts: one with the rules, and the client accounts by a hash of their name,
// so that a change to one account rewrites only one part. It is called for each submission.
func Split(c catalog.Configuration) ([]Blob, error) {
	c.Sort()
	buckets := make([][]catalog.ClientAccount, accountParts)
	for _, a := range c.Accounts {
		i := xxhash.Sum64String(a.Name) % accountParts
		buckets[i] = append(buckets[i], a)
	}
	c.Accounts = nil
	rules, err := newBlob(rulesPart, c)
	if err != nil {
		return nil, err
	}
	blobs := []Blob{rules}
	for i, accounts := range buckets {
		if len(accounts) == 0 {
			continue
		}
		b, err := newBlob(fmt.Sprintf("accounts_%d", i), catalog.Configuration{Accounts: accounts})
		if err != nil {
			return nil, err
		}
		blobs = append(blobs, b)
	}
	return blobs, nil
}

// Join rebuilds a configuration from its parts. It fails if a part doesn't match its digest. It is called for each new
// head that the VM reads.
func Join(blobs []Blob) (catalog.Configuration, error) {
	var whole catalog.Configuration
	for _, b := range blobs {
		if err := b.verify(); err != nil {
			return whole, err
		}
		var c catalog.Configuration
		if err := json.Unmarshal(b.Content, &c); err != nil {
			return whole, fmt.Errorf("part %s: %w", b.Name, err)
		}
		accounts := append(whole.Accounts, c.Accounts...)
		if b.Name == rulesPart {
			whole = c
		}
		whole.Accounts = accounts
	}
	whole.Sort()
	return whole, nil
}

// verify checks the content against the digest.
func (b Blob) verify() error {
	if digest(b.Content) != b.Digest {
		return fmt.Errorf("part %s: content differs from its digest", b.Name)
	}
	return nil
}

// newBlob encodes a part. It fails with BadConfiguration if the content exceeds the platform's limit for a value.
// Split calls it.
func newBlob(name string, c catalog.Configuration) (Blob, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return Blob{}, fmt.Errorf("part %s: %w", name, err)
	}
	if len(data) > consul.MaxValueBytes {
		return Blob{}, result.Errorf(result.BadConfiguration, "part %s has %d bytes, over the platform's %d", name, len(data), consul.MaxValueBytes)
	}
	return Blob{Part{name, digest(data)}, data}, nil
}

// digest returns the SHA-256 of data in hexadecimal.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
