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
)

// News is what one VM tells another: everything that changed after one revision up to another, or, where Wants is set,
// that it has everything up to From and wants what came after.
type News struct {
	VM string `json:"vm"`
	// Address is where the sender takes datagrams.
	Address string `json:"address"`
	From    uint64 `json:"from"`
	To      uint64 `json:"to"`
	Wants   bool   `json:"wants,omitempty"`
	Items   []Item `json:"items,omitempty"`
}

// Layout of a datagram: version, MAC of all that follows, number of the message, part and parts, then the part itself.
const (
	newsVersion  = 2
	macBytes     = 16
	headerBytes  = 1 + macBytes + 8 + 2 + 2
	maxDatagram  = 1200
	maxPart      = maxDatagram - headerBytes
	maxParts     = 512
	maxNewsBytes = 8 << 20
)

// Errors of datagrams.
var (
	ErrDatagram = errors.New("datagram not readable")
	ErrMAC      = errors.New("datagram with a wrong MAC")
)

// Encode packs news into datagrams under a number that the sender uses once.
func Encode(secret []byte, number uint64, n News) ([][]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if err := json.NewEncoder(w).Encode(n); err != nil {
		return nil, fmt.Errorf("encode news: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode news: %w", err)
	}
	data := packed.Bytes()
	parts := (len(data) + maxPart - 1) / maxPart
	if parts > maxParts {
		return nil, fmt.Errorf("news of %d bytes are too large", len(data))
	}
	out := make([][]byte, 0, parts)
	for i := range parts {
		part := data[i*maxPart : min((i+1)*maxPart, len(data))]
		d := make([]byte, headerBytes, headerBytes+len(part))
		d[0] = newsVersion
		binary.BigEndian.PutUint64(d[1+macBytes:], number)
		binary.BigEndian.PutUint16(d[9+macBytes:], uint16(i))
		binary.BigEndian.PutUint16(d[11+macBytes:], uint16(parts))
		d = append(d, part...)
		copy(d[1:], mac(secret, d[1+macBytes:]))
		out = append(out, d)
	}
	return out, nil
}

func mac(secret, data []byte) []byte {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write(data) // a hash never fails
	return h.Sum(nil)[:macBytes]
}

// Joiner puts news together from their datagrams; it holds one unfinished message.
type Joiner struct {
	number uint64
	parts  [][]byte
	left   int
}

// Add takes in a datagram, and returns the news that it completes.
func (j *Joiner) Add(secret, d []byte) (News, bool, error) {
	if len(d) <= headerBytes || len(d) > maxDatagram || d[0] != newsVersion {
		return News{}, false, ErrDatagram
	}
	if len(secret) == 0 || !hmac.Equal(d[1:1+macBytes], mac(secret, d[1+macBytes:])) {
		return News{}, false, ErrMAC
	}
	number := binary.BigEndian.Uint64(d[1+macBytes:])
	part, parts := int(binary.BigEndian.Uint16(d[9+macBytes:])), int(binary.BigEndian.Uint16(d[11+macBytes:]))
	if part >= parts || parts > maxParts {
		return News{}, false, ErrDatagram
	}
	if j.number != number || len(j.parts) != parts {
		j.number, j.parts, j.left = number, make([][]byte, parts), parts
	}
	if j.parts[part] != nil {
		return News{}, false, nil
	}
	j.parts[part] = d[headerBytes:]
	j.left--
	if j.left > 0 {
		return News{}, false, nil
	}
	n, err := unpack(bytes.Join(j.parts, nil))
	return n, err == nil, err
}

func unpack(data []byte) (News, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return News{}, fmt.Errorf("%w: %w", ErrDatagram, err)
	}
	var n News
	if err := json.NewDecoder(io.LimitReader(r, maxNewsBytes)).Decode(&n); err != nil {
		return News{}, fmt.Errorf("%w: %w", ErrDatagram, err)
	}
	return n, nil
}
