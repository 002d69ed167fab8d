// Package settings reads a VM's settings from an INI file; options.go lists every key with its unit and default.
package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"gopkg.in/ini.v1"
)

// Load reads and checks the settings in the file. Every error names the file, the line and the key.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads and checks settings that stand in data; name is the file's name for errors. It returns all errors at once.
func Parse(name string, data []byte) (Settings, error) {
	s := Settings{}
	r := &reader{name: name, data: data, table: options(&s)}
	for _, o := range r.table {
		if o.Default == "" {
			continue
		}
		if err := o.set(o.Default); err != nil {
			return s, fmt.Errorf("default of %s.%s: %w", o.Section, o.Key, err)
		}
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowDuplicateShadowValues: true, PreserveEmptyShadowValues: true,
		IgnoreContinuation: true, SpaceBeforeInlineComment: true, KeyValueDelimiters: "=",
	}, data)
	if err != nil {
		return s, r.unreadable(err)
	}
	for _, section := range file.Sections() {
		r.section(section)
	}
	for _, o := range r.table {
		if o.Required && !file.Section(o.Section).HasKey(o.Key) {
			r.fail(0, "%s.%s is missing: %s", o.Section, o.Key, o.Help)
		}
	}
	if len(r.errs) == 0 {
		for _, rule := range rules(&s) {
			r.apply(rule)
		}
	}
	return s, errors.Join(r.errs...)
}

// reader assigns keys to options and collects what is wrong.
type reader struct {
	name  string
	data  []byte
	table []Option
	errs  []error
}

// fail adds an error at a line, counted from 1; 0 is for the file as a whole.
func (r *reader) fail(line int, format string, args ...any) {
	err := fmt.Errorf(format, args...)
	if line > 0 {
		r.errs = append(r.errs, fmt.Errorf("%s:%d: %w", r.name, line, err))
		return
	}
	r.errs = append(r.errs, fmt.Errorf("%s: %w", r.name, err))
}

func (r *reader) section(section *ini.Section) {
	name := section.Name()
	known := slices.ContainsFunc(r.table, func(o Option) bool { return o.Section == name })
	if name == ini.DefaultSection {
		for _, key := range section.Keys() {
			r.fail(first(findKey(r.data, name, key.Name())), "%s stands before any section", key.Name())
		}
		return
	}
	if !known {
		r.fail(findSection(r.data, name), "section [%s] is unknown; sections are %v", name, r.sections())
		return
	}
	for _, key := range section.Keys() {
		r.key(name, key)
	}
}

func (r *reader) key(section string, key *ini.Key) {
	lines := findKey(r.data, section, key.Name())
	if n := len(key.ValueWithShadows()); n > 1 {
		r.fail(first(lines[min(1, len(lines)):]), "%s.%s is set %d times, first at line %d", section, key.Name(), n, first(lines))
		return
	}
	i := slices.IndexFunc(r.table, func(o Option) bool { return o.Section == section && o.Key == key.Name() })
	if i < 0 {
		r.fail(first(lines), "%s.%s: unknown key", section, key.Name())
		return
	}
	o := r.table[i]
	value := key.Value()
	if value == "" && (o.Required || o.Default != "") {
		r.fail(first(lines), "%s.%s is empty: %s", section, o.Key, o.Help)
		return
	}
	if value == "" {
		return
	}
	if err := o.set(value); err != nil {
		r.fail(first(lines), "%s.%s: %w", section, o.Key, err)
	}
}

// apply checks a rule between two keys and names the line of the one that the file sets.
func (r *reader) apply(rule rule) {
	if rule.holds {
		return
	}
	lines := append(findKey(r.data, rule.section, rule.key), findKey(r.data, rule.otherSection, rule.otherKey)...)
	r.fail(first(lines), "%s.%s has to be below %s.%s: %s", rule.section, rule.key, rule.otherSection, rule.otherKey, rule.reason)
}

func (r *reader) sections() []string {
	var names []string
	for _, o := range r.table {
		if !slices.Contains(names, o.Section) {
			names = append(names, o.Section)
		}
	}
	return names
}
