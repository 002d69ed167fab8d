package endpoint

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
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

// CheckInterim is a hook of httptrace.ClientTrace that refuses malformed interim answers, and with them the answer.
func CheckInterim(_ int, fields textproto.MIMEHeader) error {
	return CheckFieldNames(http.Header(fields))
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
