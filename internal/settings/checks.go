package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxNameBytes is the maximum length of a VM's name, region and zone, in bytes, so that they stay small in proportion to the
// rest of a datagram.
const maxNameBytes = 64

// orderRule requires the value of a key to be below that of another key. Keys are those of the INI file, with their sections.
type orderRule struct {
	section, key           string
	otherSection, otherKey string
	// holds reports whether the settings fulfill the rule.
	holds bool
	// reason says what would go wrong otherwise.
	reason string
}

// Rule describes a check between two keys for the documentation.
type Rule struct {
	Text   string
	Reason string
}

// Rules lists the checks between keys, from which the page of settings is generated.
func Rules() []Rule {
	var out []Rule
	for _, r := range rules(&Settings{}) {
		out = append(out, Rule{r.section + "." + r.key + " below " + r.otherSection + "." + r.otherKey, r.reason})
	}
	return out
}

// rules returns the checks between keys, with their results for s. Parse applies them if all keys are valid, and Rules lists
// them.
func rules(s *Settings) []orderRule {
	l, r := &s.Limits, &s.Reach
	return []orderRule{
		{"reach", "silence", "limits", "request_timeout", r.Silence < l.RequestTimeout, "a silent stream could not be resumed in time"},
		{"reach", "dial_timeout", "limits", "request_timeout", r.DialTimeout < l.RequestTimeout, "no other endpoint could be tried in time"},
		{"reach", "rating_timeout", "limits", "request_timeout", r.RatingTimeout < l.RequestTimeout, "no time would be left for the next level"},
		{"limits", "claim_for", "limits", "resend_window", l.ClaimFor < l.ResendWindow, "a request could be sent after its ID is forgotten"},
		{"limits", "request_timeout", "limits", "resend_window", l.RequestTimeout < l.ResendWindow, "a request could outlast the memory of its ID"},
		{"limits", "request_timeout", "limits", "stop_timeout", l.RequestTimeout < l.StopTimeout, "a planned stop could cut a request"},
		{"limits", "leave_grace", "limits", "stop_timeout", l.LeaveGrace < l.StopTimeout, "the grace would not end before the stop"},
		{"journal", "bill_hold", "limits", "request_timeout", s.Journal.BillHold < l.RequestTimeout, "an answer could wait past its deadline"},
	}
}

// The functions below make setters for the table of options: each checks the text of a value and stores it at p. Parse calls
// the setter for each key, and reports its error with the file, the line and the key.

// name accepts letters, digits, dots, hyphens and underscores.
func name(p *string) func(string) error {
	return func(v string) error {
		allowed := func(r rune) bool {
			return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r)
		}
		if len(v) > maxNameBytes || strings.ContainsFunc(v, func(r rune) bool { return !allowed(r) }) {
			return fmt.Errorf("%q is not a name of at most %d letters, digits, dots, hyphens and underscores", v, maxNameBytes)
		}
		*p = v
		return nil
	}
}

// oneOf accepts one of the values.
func oneOf(p *string, values ...string) func(string) error {
	return func(v string) error {
		if !slices.Contains(values, v) {
			return fmt.Errorf("%q is none of %s", v, strings.Join(values, ", "))
		}
		*p = v
		return nil
	}
}

// listenAddress accepts an IP address and port to listen on. The unspecified address, which stands for all interfaces, is
// allowed.
func listenAddress(p *string) func(string) error {
	return func(v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil || a.Port() == 0 {
			return fmt.Errorf("%q is not an IP number and port such as 10.0.0.1:8080", v)
		}
		*p = v
		return nil
	}
}

// reachableAddress accepts an IP address and port to listen on that other VMs can connect to, so not the unspecified
// address.
func reachableAddress(p *string) func(string) error {
	return func(v string) error {
		if err := listenAddress(p)(v); err != nil {
			return err
		}
		if netip.MustParseAddrPort(v).Addr().IsUnspecified() {
			return fmt.Errorf("%q can't be reached by other VMs; give the VM's own IP number", v)
		}
		return nil
	}
}

// serviceURL accepts the URL of a service without query, fragment or user. It removes a trailing slash.
func serviceURL(p *string) func(string) error {
	return func(v string) error {
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			return fmt.Errorf("not a URL such as http://10.0.0.1:8500")
		}
		if u.User != nil {
			return fmt.Errorf("a URL may not hold a user or password")
		}
		*p = strings.TrimSuffix(v, "/")
		return nil
	}
}

// positiveInt accepts a whole number above 0.
func positiveInt(p *int) func(string) error {
	return func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			return fmt.Errorf("%q is not a whole number above 0", v)
		}
		*p = n
		return nil
	}
}

// positiveDuration accepts a duration above 0, with its unit.
func positiveDuration(p *time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return fmt.Errorf("%q is not a duration above 0 such as 500ms or 2s", v)
		}
		*p = d
		return nil
	}
}

// keyFile accepts the path of a key file and stores the key itself. Errors never contain the key.
func keyFile(p *string) func(string) error {
	return func(path string) error {
		key, err := ReadKey(path)
		if err != nil {
			return err
		}
		*p = key
		return nil
	}
}

// ReadKey returns the key in a file that holds one key on one line. Operators' commands call it too.
func ReadKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("key: %w; `cornelmux keygen --file %s` makes one", err, path)
	}
	key := strings.TrimSpace(string(data))
	if key == "" || strings.ContainsAny(key, " \t\r\n") {
		return "", fmt.Errorf("file %s doesn't hold one key on one line", path)
	}
	return key, nil
}
