package feed

import (
	"bytes"
	"compress/gzip"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Update is a message between VMs: the changes after revision From up to To. If Request is set, it asks for the changes
// after From instead, or for the Parts of message Number if there are any.
type Update struct {
	VM string `json:"vm"`
	// Address is where the sender receives datagrams, as host:port.
	Address string `json:"address"`
	// Era is the store's era that the revisions belong to.
	Era     uint64 `json:"era,omitempty"`
	From    uint64 `json:"from"`
	To      uint64 `json:"to"`
	Request bool   `json:"wants,omitempty"`
	Items   []Item `json:"items,omitempty"`
	// WantsKept makes a request one for the Kept items alone: those that the sender keeps in force after a restore of the store.
	WantsKept bool       `json:"wants_kept,omitempty"`
	Kept      []KeptItem `json:"kept,omitempty"`
	// Keys lists all keys of the store if the Items may lack deletions; any other key is deleted.
	Keys []string `json:"keys,omitempty"`
	// Number is the message number; in a request, that of the message whose Parts are missing.
	Number uint64   `json:"number,omitempty"`
	Parts  []uint16 `json:"parts,omitempty"`
}

// KeptItem is an item that a VM keeps in force although the restored store holds an earlier one of its key, or none.
type KeptItem struct {
	Item
	// Found is the revision of the store's item; 0 if there is none.
	Found uint64 `json:"found"`
}

// messageCountMask masks the part of a message number that counts; the rest tells the sender.
const messageCountMask = 1<<32 - 1

// messageBase returns the part of message numbers that tells the sender, by the hash of its name.
func messageBase(vm string) uint64 { return nameHash(vm) &^ messageCountMask }

// Layout of a datagram: format version (1 byte), MAC of the rest, message number (8), part index (2), number of parts
// (2), and the part: a section of the gzipped JSON of an Update. The version differs from peer.FormatVersion, which
// tells the two kinds of datagrams apart.
const (
	updateFormatVersion = 2
	macBytes            = 16 // of the truncated HMAC-SHA256
	numberBytes         = 8
	headerBytes         = 1 + macBytes + numberBytes + 2 + 2
	maxDatagramBytes    = 1200
	maxPartBytes        = maxDatagramBytes - headerBytes
	// maxParts is the maximum number of datagrams of one update; maxUpdateBytes bounds its JSON after decompression,
	// in bytes.
	maxParts       = 512
	maxUpdateBytes = 8 << 20
)

// Errors of received datagrams.
var (
	ErrDatagram = errors.New("malformed datagram")
	ErrMAC      = errors.New("datagram has a wrong MAC")
)

// Encode splits an update into datagrams. The sender uses each number once, which is how receivers tell updates apart. send
// calls it. It fails if the update needs more than maxParts datagrams.
func Encode(secret []byte, number uint64, u Update) ([][]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if err := json.NewEncoder(w).Encode(u); err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	data := packed.Bytes()
	parts := (len(data) + maxPartBytes - 1) / maxPartBytes
	if parts > maxParts {
		return nil, fmt.Errorf("encode update: %d compressed bytes are too large", len(data))
	}
	out := make([][]byte, 0, parts)
	for i := range parts {
		part := data[i*maxPartBytes : min((i+1)*maxPartBytes, len(data))]
		d := make([]byte, headerBytes, headerBytes+len(part))
		d[0] = updateFormatVersion
		binary.BigEndian.PutUint64(d[1+macBytes:], number)
		binary.BigEndian.PutUint16(d[9+macBytes:], uint16(i))
		binary.BigEndian.PutUint16(d[11+macBytes:], uint16(parts))
		d = append(d, part...)
		copy(d[1:], mac(secret, d[1+macBytes:]))
		out = append(out, d)
	}
	return out, nil
}

// mac returns the truncated HMAC-SHA256 of a datagram without its version and MAC.
func mac(secret, data []byte) []byte {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write(data) // a hash never fails
	return h.Sum(nil)[:macBytes]
}

// Reassembler collects the datagrams of one update; a datagram of another update starts it anew.
type Reassembler struct {
	// number is the message number of the update.
	number uint64
	// parts holds the parts by index; nil for one that hasn't arrived.
	parts [][]byte
	// missing is the number of parts that haven't arrived.
	missing int
	// since is when the first datagram came.
	since time.Time
	// at is when the last datagram came or the last request for missing ones was sent; requests counts these.
	at       time.Time
	requests int
}

// Missing returns the indexes of the parts that haven't arrived.
func (r *Reassembler) Missing() []uint16 {
	var out []uint16
	for i, p := range r.parts {
		if p == nil {
			out = append(out, uint16(i))
		}
	}
	return out
}

// Add checks a datagram and adds it to its update, and returns the update if that completes it. A datagram that came before
// changes nothing. reassemble calls it. It fails with ErrDatagram or ErrMAC.
func (r *Reassembler) Add(secret, d []byte) (Update, bool, error) {
	if len(d) <= headerBytes || len(d) > maxDatagramBytes || d[0] != updateFormatVersion {
		return Update{}, false, ErrDatagram
	}
	if len(secret) == 0 || !hmac.Equal(d[1:1+macBytes], mac(secret, d[1+macBytes:])) {
		return Update{}, false, ErrMAC
	}
	number := binary.BigEndian.Uint64(d[1+macBytes:])
	part, parts := int(binary.BigEndian.Uint16(d[9+macBytes:])), int(binary.BigEndian.Uint16(d[11+macBytes:]))
	if part >= parts || parts > maxParts {
		return Update{}, false, ErrDatagram
	}
	if r.number != number || len(r.parts) != parts {
		r.number, r.parts, r.missing = number, make([][]byte, parts), parts
	}
	if r.parts[part] != nil {
		return Update{}, false, nil
	}
	r.parts[part] = d[headerBytes:]
	r.missing--
	if r.missing > 0 {
		return Update{}, false, nil
	}
	u, err := decompress(bytes.Join(r.parts, nil))
	if !u.Request {
		u.Number = number
	}
	return u, err == nil, err
}

// decompress decodes the joined parts of an update. Add calls it.
func decompress(data []byte) (Update, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Update{}, fmt.Errorf("%w: %w", ErrDatagram, err)
	}
	var u Update
	if err := json.NewDecoder(io.LimitReader(r, maxUpdateBytes)).Decode(&u); err != nil {
		return Update{}, fmt.Errorf("%w: %w", ErrDatagram, err)
	}
	return u, nil
}
