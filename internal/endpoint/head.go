package endpoint

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
)

// ErrMalformedField reports a field of an answer whose name is no token, as HTTP asks (RFC 9110, 5.1). net/http lets blanks pass in names.
var ErrMalformedField = errors.New("malformed field name")

// CheckFieldNames fails with ErrMalformedField if a name in the head or the trailer of an answer is malformed.
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !isTokenChar(r) }) {
			return fmt.Errorf("%w %q", ErrMalformedField, name)
		}
	}
	return nil
}

// maxInterim is the number of interim answers that may come before an answer, as net/http has it without a hook.
const maxInterim = 5

// errManyInterim reports an answer with more interim answers before it than maxInterim.
var errManyInterim = errors.New("too many interim answers")

// NewInterimCheck returns a hook of httptrace.ClientTrace for one request, which refuses malformed interim answers, and too many, and with
// them the answer.
func NewInterimCheck() func(code int, fields textproto.MIMEHeader) error {
	var count atomic.Int32
	return func(_ int, fields textproto.MIMEHeader) error {
		if count.Add(1) > maxInterim {
			return errManyInterim
		}
		return CheckFieldNames(http.Header(fields))
	}
}

// isTokenChar reports whether a character may stand in a token.
func isTokenChar(r rune) bool {
	switch {
	case '0' <= r && r <= '9', 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z':
		return true
	default:
		return strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	}
}
