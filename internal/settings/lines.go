package settings

import (
	"bufio"
	"bytes"
	"errors"
	"strings"

	"gopkg.in/ini.v1"
)

// eachLine calls f for each line of an INI file with its number, counted from 1, its trimmed text and the section that it
// belongs to. The functions that look up line numbers for errors use it.
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

// findKey returns the numbers of the lines on which the section sets the key. The INI library doesn't report them.
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

// firstOrZero returns the first of the line numbers, or 0 if there is none.
func firstOrZero(lines []int) int {
	if len(lines) == 0 {
		return 0
	}
	return lines[0]
}

// findSection returns the number of the line on which the section begins, or 0.
func findSection(data []byte, section string) int {
	found := 0
	eachLine(data, func(n int, text, in string) {
		if found == 0 && in == section && strings.HasPrefix(text, "[") {
			found = n
		}
	})
	return found
}

// addSyntaxError adds an error of the INI library with the line's number, and returns all errors. The library names only
// the text of the line, so the line is searched by it. Parse calls it if the file can't be parsed.
func (p *parser) addSyntaxError(err error) error {
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
	lineNumber := 0
	eachLine(p.data, func(n int, line, _ string) {
		if lineNumber == 0 && line != "" && line == strings.TrimSpace(text) {
			lineNumber = n
		}
	})
	if isKey {
		// The line may hold a secret key by mistake, so its text must not appear in the error.
		p.addError(lineNumber, "the line is no section, comment or key = value")
	} else {
		p.addError(lineNumber, "the line can't be read")
	}
	return errors.Join(p.errs...)
}
