package settings

import (
	"bufio"
	"bytes"
	"errors"
	"strings"

	"gopkg.in/ini.v1"
)

// eachLine calls f with the number of each line, from 1, its text and the section that it stands in.
func eachLine(data []byte, f func(n int, text, section string)) {
	section := ini.DefaultSection
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if name, ok := strings.CutPrefix(text, "["); ok {
			name, _, _ = strings.Cut(name, "]")
			section = strings.TrimSpace(name)
		}
		f(n, text, section)
	}
}

// findKey returns the lines on which the section sets the key.
func findKey(data []byte, section, key string) []int {
	var lines []int
	eachLine(data, func(n int, text, in string) {
		name, _, found := strings.Cut(text, "=")
		if found && in == section && strings.Trim(strings.TrimSpace(name), "\"`") == key {
			lines = append(lines, n)
		}
	})
	return lines
}

// first returns the first of the lines, or 0.
func first(lines []int) int {
	if len(lines) == 0 {
		return 0
	}
	return lines[0]
}

// findSection returns the line on which the section begins, or 0.
func findSection(data []byte, section string) int {
	found := 0
	eachLine(data, func(n int, text, in string) {
		if found == 0 && in == section && strings.HasPrefix(text, "[") {
			found = n
		}
	})
	return found
}

// unreadable adds the line to an error of the INI library, which names only the line's text.
func (r *reader) unreadable(err error) error {
	var noDelimiter ini.ErrDelimiterNotFound
	var noName ini.ErrEmptyKeyName
	text, isKey := "", false
	switch {
	case errors.As(err, &noDelimiter):
		text, isKey = noDelimiter.Line, true
	case errors.As(err, &noName):
		text, isKey = noName.Line, true
	default:
		_, text, _ = strings.Cut(err.Error(), ": ")
	}
	at := 0
	eachLine(r.data, func(n int, line, _ string) {
		if at == 0 && line != "" && line == strings.TrimSpace(text) {
			at = n
		}
	})
	if isKey {
		// The line may hold a key by mistake, so its text stays out of the error.
		r.fail(at, "the line is no section, comment or key = value")
	} else {
		r.fail(at, "the line can't be read")
	}
	return errors.Join(r.errs...)
}
