package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const secret = "s3cr3t-key"

// minimalFile sets the required keys only; KEY is replaced by the path of a key file.
const minimalFile = `# comment
[vm]
name   =  vm-1   ; comment
region = vest
zone   = vest-1
[listen]
callers = 0.0.0.0:8080
control = 127.0.0.1:8081
peers   = 127.0.0.1:8082
[keys]
operator_key_file = KEY
fleet_key_file = KEY
[reach]
platform = http://127.0.0.1:8500/
`

// parse parses the text with a key file that holds secret.
func parse(c *qt.C, text string) (Settings, error) {
	path := filepath.Join(c.Mkdir(), "key")
	c.Assert(writeKey(path, secret+"\n"), qt.IsNil)
	return Parse("vm.ini", []byte(strings.ReplaceAll(text, "KEY", path)))
}

// TestParse checks that values of the file and defaults arrive in the settings.
func TestParse(t *testing.T) {
	c := qt.New(t)
	s, err := parse(c, minimalFile+"[limits]\nclaim_for = 7s\n[log]\nlevel = debug\n")
	c.Assert(err, qt.IsNil)
	c.Assert(s.VM, qt.Equals, VMSettings{Name: "vm-1", Region: "vest", Zone: "vest-1"})
	c.Assert(s.Keys, qt.Equals, KeySettings{Operator: secret, Fleet: secret})
	c.Assert(s.Reach.Platform, qt.Equals, "http://127.0.0.1:8500")
	c.Assert(s.Limits.ClaimFor, qt.Equals, 7*time.Second)
	c.Assert(s.Limits.RequestTimeout, qt.Equals, 120*time.Second)
	c.Assert(s.Log, qt.Equals, LogSettings{Level: LevelDebug, Format: FormatJSON})
}

// TestParseErrors checks that errors name file, line and key, and that none contains a secret key.
func TestParseErrors(t *testing.T) {
	replaced := func(old, with string) string { return strings.Replace(minimalFile, old, with, 1) }
	rows := []struct {
		name string
		text string
		want string
	}{
		{"unknown key", minimalFile + "speed = 3\n", `vm.ini:15: reach.speed: unknown key`},
		{"unknown section", minimalFile + "[vmx]\nname = a\n", `vm.ini:15: section \[vmx\] is unknown; sections are \[vm listen keys reach limits.*`},
		{"section in another case", replaced("[listen]", "[Listen]"), `(?s)vm.ini:6: section \[Listen\] is unknown.*listen.callers is missing.*`},
		{"key in another case", replaced("zone  ", "Zone  "), `(?s)vm.ini:5: vm.Zone: unknown key.*vm.zone is missing.*`},
		{"key before any section", "name = a\n" + minimalFile, `vm.ini:1: name stands before any section`},
		{"key set twice", minimalFile + "platform = http://127.0.0.1:1\n", `vm.ini:15: reach.platform is set 2 times, first at line 14`},
		{"the same value twice", minimalFile + "platform = http://127.0.0.1:8500/\n", `vm.ini:15: reach.platform is set 2 times, first at line 14`},
		{"key set twice in a section that occurs twice", minimalFile + "[vm]\nname = vm-2\n", `vm.ini:16: vm.name is set 2 times, first at line 3`},
		{"empty value", replaced("vm-1   ; comment", ""), `vm.ini:3: vm.name is empty: .*`},
		{"comment in place of a value", replaced("vm-1   ;", ";"), `vm.ini:3: vm.name: "; comment" is not a name.*`},
		{"no equals sign", minimalFile + "s3cr3t-key\n", `vm.ini:15: the line is no section, comment or key = value`},
		{"no key", minimalFile + "= s3cr3t-key\n", `vm.ini:15: the line is no section, comment or key = value`},
		{"section without closing bracket", minimalFile + "[limits\n", `vm.ini:15: the line can't be read`},
		{"required key missing", replaced("zone   = vest-1\n", ""), `vm.ini: vm.zone is missing: .*`},
		{"name with a space", replaced("= vest-1", "= vest 1"), `vm.ini:5: vm.zone: "vest 1" is not a name.*`},
		{"address without a port", replaced("127.0.0.1:8082", "127.0.0.1"), `vm.ini:9: listen.peers: "127.0.0.1" is not an IP number and port.*`},
		{"address by host name", replaced("127.0.0.1:8082", "localhost:8082"), `vm.ini:9: listen.peers: .*is not an IP number and port.*`},
		{"port out of range", replaced("127.0.0.1:8082", "127.0.0.1:80820"), `vm.ini:9: listen.peers: .*is not an IP number and port.*`},
		{"unspecified address", replaced("127.0.0.1:8081", "0.0.0.0:8081"), `vm.ini:8: listen.control: .*can't be reached by other VMs.*`},
		{"URL without a scheme", replaced("http://127.0.0.1:8500/", "127.0.0.1:8500"), `vm.ini:14: reach.platform: not a URL.*`},
		{"URL with a password", replaced("http://", "http://u:s3cr3t-key@"), `vm.ini:14: reach.platform: a URL may not hold a user or password`},
		{"no such key file", replaced("operator_key_file = KEY", "operator_key_file = /nowhere/key"), `vm.ini:11: keys.operator_key_file: key: open /nowhere/key: .*cornelmux keygen.*`},
		{"no interpolation", replaced("operator_key_file = KEY", "operator_key_file = %(fleet_key_file)s"), `vm.ini:11: .*open %\(fleet_key_file\)s: .*`},
		{"duration without a unit", minimalFile + "[limits]\nclaim_for = 7\n", `vm.ini:16: limits.claim_for: "7" is not a duration.*`},
		{"negative duration", minimalFile + "[limits]\nclaim_for = -7s\n", `vm.ini:16: limits.claim_for: .*`},
		{"count of 0", minimalFile + "[limits]\nmax_attempts = 0\n", `vm.ini:16: limits.max_attempts: "0" is not a whole number above 0`},
		{"unknown log level", minimalFile + "[log]\nlevel = loud\n", `vm.ini:16: log.level: "loud" is none of info, debug`},
		{"silence timeout above the default request timeout", minimalFile + "silence = 3m\n", `vm.ini:15: reach.silence has to be below limits.request_timeout: .*`},
		{"request timeout below the default silence timeout", minimalFile + "[limits]\nrequest_timeout = 5s\n", `vm.ini:16: reach.silence has to be below limits.request_timeout: .*`},
		{"claim above the resend window", minimalFile + "[limits]\nclaim_for = 11m\n", `vm.ini:16: limits.claim_for has to be below limits.resend_window: .*`},
		{"stop timeout below the request timeout", minimalFile + "[limits]\nstop_timeout = 10s\n", `vm.ini:16: limits.request_timeout has to be below limits.stop_timeout: .*`},
		{"all errors are reported", minimalFile + "speed = 3\ndial_timeout = x\n", `(?s)vm.ini:15: reach.speed: unknown key\nvm.ini:16: reach.dial_timeout: .*`},
	}
	c := qt.New(t)
	for _, row := range rows {
		c.Run(row.name, func(c *qt.C) {
			_, err := parse(c, row.text)
			c.Assert(err, qt.ErrorMatches, row.want)
			c.Assert(err.Error(), qt.Not(qt.Contains), secret)
		})
	}
}

// TestValuesAreNotAltered checks values with characters that INI libraries treat specially.
func TestValuesAreNotAltered(t *testing.T) {
	rows := []struct{ name, line, want string }{
		{"hash inside", "http://127.0.0.1/a#b", ""},
		{"backslash at the end", `http://127.0.0.1/a\`, `http://127.0.0.1/a\`},
		{"comment after a space", "http://127.0.0.1/a # b", "http://127.0.0.1/a"},
		{"colon", "http://127.0.0.1:1", "http://127.0.0.1:1"},
	}
	c := qt.New(t)
	for _, row := range rows {
		c.Run(row.name, func(c *qt.C) {
			s, err := parse(c, minimalFile+"rating = "+row.line+"\n[limits]\nmax_attempts = 4\n")
			if row.want == "" {
				c.Assert(err, qt.ErrorMatches, `vm.ini:15: reach.rating: not a URL.*`)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(s.Reach.Rating, qt.Equals, row.want)
			c.Assert(s.Limits.MaxAttempts, qt.Equals, 4)
		})
	}
}

// TestDefaultsPassTheirChecks checks that the required keys alone make valid settings.
func TestDefaultsPassTheirChecks(t *testing.T) {
	c := qt.New(t)
	_, err := parse(c, minimalFile)
	c.Assert(err, qt.IsNil)
}

func writeKey(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }
