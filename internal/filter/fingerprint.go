package filter

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/internal/peer"
)

// Fingerprints returns the fingerprints of a request, by which those that crash endpoints are told apart. The last block of a prompt may be
// the session's and is left out, so that a request that comes again is recognized.
func Fingerprints(x *Exchange) endpoint.Fingerprints {
	h := hashPath(x)
	_, _ = h.Write(x.Request.Body)
	for _, b := range x.Routed.Prompt.SharedBlocks() {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, b))
	}
	f := endpoint.Fingerprints{Path: h.Sum64()}
	_, _ = h.WriteString("?" + x.Request.Query)
	f.Target, f.Parameters = h.Sum64(), parameterFingerprints(x)
	return f
}

// hashPath begins a hash with the client account and the path of a request, and what else decides where it runs.
func hashPath(x *Exchange) *xxhash.Digest {
	h := xxhash.New()
	for _, s := range []string{x.Account.Name, x.Request.Model, x.Request.Service, x.Request.Method, x.Request.Path} {
		_, _ = h.WriteString(s + "\x00") // a hash does not fail
	}
	return h
}

// parameterFingerprints returns the fingerprints of the first parameters of a query, as they are written.
func parameterFingerprints(x *Exchange) (p peer.Parameters) {
	n := 0
	for parameter := range strings.SplitSeq(x.Request.Query, "&") {
		if n >= len(p) {
			break
		}
		if parameter == "" {
			continue
		}
		h := hashPath(x)
		_, _ = h.WriteString("&" + parameter)
		p[n] = h.Sum64()
		n++
	}
	return p
}

// resendFingerprint returns what tells a resend from another request with the same ID.
func resendFingerprint(x *Exchange) journal.Fingerprint {
	f := Fingerprints(x)
	return journal.Fingerprint{Path: f.Path, Target: f.Target}
}
