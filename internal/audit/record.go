// Package audit keeps the audit trail of accepted changes: a chain of records in the platform,
// each stored under its digest and referring to the one before it.
package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"cornelmux/internal/consul"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	// keyPrefix begins the key of a record in the platform, before its digest.
	keyPrefix = "cornelmux/audit/"
	// maxValuesBytes bounds the JSON of all values in a record together, in bytes; beyond it they are left out.
	maxValuesBytes = 256 << 10
	// digestLength is the length of an object's digest in hexadecimal digits.
	digestLength = 16
)

// Record describes an accepted change: who changed which objects, and when.
type Record struct {
	// Revision is the configuration's revision with the change, BeforeRevision the one that it was applied to,
	// and BaseRevision the one that its author knew.
	Revision       uint64 `json:"revision"`
	BeforeRevision uint64 `json:"before_revision"`
	BaseRevision   uint64 `json:"base_revision"`
	ChangeID       string `json:"change_id"`
	Author         string `json:"author"`
	// UnixTime is when the change was submitted, in Unix seconds.
	UnixTime int64    `json:"unix_time"`
	Objects  []Object `json:"objects"`
	// Previous is the digest of the record before this one, or "" for the first.
	Previous string `json:"previous,omitempty"`
}

// Object is an object that a change touched, with its JSON before and after the change. The values are left out of
// a record if they are too large together; the digests always stay. Both are empty if the object does not exist.
type Object struct {
	// Name is the object's kind and name, such as account/a or model/m.
	Name         string          `json:"name"`
	Before       json.RawMessage `json:"before,omitempty"`
	After        json.RawMessage `json:"after,omitempty"`
	BeforeDigest string          `json:"before_digest,omitempty"`
	AfterDigest  string          `json:"after_digest,omitempty"`
}

// Compare returns the named objects whose JSON differs between two configurations. The values are left out if they
// exceed maxValuesBytes together. The configuration's Controller calls it to write the audit record of a change.
func Compare(before, after catalog.Configuration, names []string) ([]Object, error) {
	old, err := before.Encode(names)
	if err != nil {
		return nil, err
	}
	set, err := after.Encode(names)
	if err != nil {
		return nil, err
	}
	var list []Object
	size := 0
	for _, n := range names {
		if bytes.Equal(old[n], set[n]) {
			continue
		}
		list = append(list, Object{n, old[n], set[n], shortDigest(old[n]), shortDigest(set[n])})
		size += len(old[n]) + len(set[n])
	}
	if size > maxValuesBytes {
		for i := range list {
			list[i].Before, list[i].After = nil, nil
		}
	}
	return list, nil
}

// Encode returns the record's JSON and its digest, under which it is stored. It fails with a *result.Error with
// BadConfiguration if the record exceeds the platform's limit for a value. The configuration's Controller calls it before
// it writes a change.
func (r Record) Encode() (content []byte, digest string, err error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, "", fmt.Errorf("audit record: %w", err)
	}
	if len(data) > consul.MaxValueBytes {
		return nil, "", result.Errorf(result.BadConfiguration, "the change touches %d objects, too many for one audit record; split it into smaller changes", len(r.Objects))
	}
	return data, digestOf(data), nil
}

// Key returns the platform's key of the record with the digest.
func Key(digest string) string { return keyPrefix + digest }

// shortDigest returns the digest of an object's JSON, cut to digestLength, or "" for a missing object.
func shortDigest(data []byte) string {
	if data == nil {
		return ""
	}
	return digestOf(data)[:digestLength]
}

// digestOf returns the SHA-256 of data in hexadecimal.
func digestOf(data []byte) string {
	d := sha256.Sum256(data)
	return hex.EncodeToString(d[:])
}
