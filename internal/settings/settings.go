// Package settings reads the settings of a VM from an INI file. File options.go lists every key with its unit and default.
package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"gopkg.in/ini.v1"
)

// Load reads and checks the settings in the file. Errors name the file and, where there is one, the line and the key.
// `cornelmux serve` and `cornelmux check` call it.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads and checks the settings in data; name is the file's name for errors. It returns all errors joined. The INI
// options disable what would alter values: continuation lines, other delimiters than "=" and comments without a space
// before them. Shadows are allowed only to detect keys that are set twice. Load calls it with the content of a file.
func Parse(name string, data []byte) (Settings, error) {
	s := Settings{}
	p := &parser{name: name, data: data, options: options(&s)}
	for _, o := range p.options {
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
		return s, p.addSyntaxError(err)
	}
	for _, section := range file.Sections() {
		p.applySection(section)
	}
	for _, o := range p.options {
		if o.Required && !file.Section(o.Section).HasKey(o.Key) {
			p.addError(0, "%s.%s is missing: %s", o.Section, o.Key, o.Help)
		}
	}
	if len(p.errs) == 0 {
		for _, rule := range rules(&s) {
			p.checkRule(rule)
		}
	}
	return s, errors.Join(p.errs...)
}

// parser assigns the keys of a file to options and collects errors.
type parser struct {
	name    string
	data    []byte
	options []Option
	errs    []error
}

// addError adds an error at a line, counted from 1; 0 is for the file as a whole.
func (p *parser) addError(line int, format string, args ...any) {
	err := fmt.Errorf(format, args...)
	if line > 0 {
		p.errs = append(p.errs, fmt.Errorf("%s:%d: %w", p.name, line, err))
		return
	}
	p.errs = append(p.errs, fmt.Errorf("%s: %w", p.name, err))
}

// applySection assigns the keys of a section for Parse, or adds an error if the section is unknown or its keys precede any
// section.
func (p *parser) applySection(section *ini.Section) {
	name := section.Name()
	known := slices.ContainsFunc(p.options, func(o Option) bool { return o.Section == name })
	if name == ini.DefaultSection {
		for _, key := range section.Keys() {
			p.addError(firstOrZero(findKey(p.data, name, key.Name())), "%s stands before any section", key.Name())
		}
		return
	}
	if !known {
		p.addError(findSection(p.data, name), "section [%s] is unknown; sections are %v", name, p.sectionNames())
		return
	}
	for _, key := range section.Keys() {
		p.applyKey(name, key)
	}
}

// applyKey assigns one key of a known section to its option, or adds an error if the key is unknown, set twice, empty or
// invalid. An optional key without default may be empty.
func (p *parser) applyKey(section string, key *ini.Key) {
	lines := findKey(p.data, section, key.Name())
	if n := len(key.ValueWithShadows()); n > 1 {
		p.addError(firstOrZero(lines[min(1, len(lines)):]), "%s.%s is set %d times, first at line %d", section, key.Name(), n, firstOrZero(lines))
		return
	}
	i := slices.IndexFunc(p.options, func(o Option) bool { return o.Section == section && o.Key == key.Name() })
	if i < 0 {
		p.addError(firstOrZero(lines), "%s.%s: unknown key", section, key.Name())
		return
	}
	o := p.options[i]
	value := key.Value()
	if value == "" && (o.Required || o.Default != "") {
		p.addError(firstOrZero(lines), "%s.%s is empty: %s", section, o.Key, o.Help)
		return
	}
	if value == "" {
		return
	}
	if err := o.set(value); err != nil {
		p.addError(firstOrZero(lines), "%s.%s: %w", section, o.Key, err)
	}
}

// checkRule adds an error if the rule isn't fulfilled, at the line of the first of its two keys that the file sets.
func (p *parser) checkRule(rule orderRule) {
	if rule.holds {
		return
	}
	lines := append(findKey(p.data, rule.section, rule.key), findKey(p.data, rule.otherSection, rule.otherKey)...)
	p.addError(firstOrZero(lines), "%s.%s has to be below %s.%s: %s", rule.section, rule.key, rule.otherSection, rule.otherKey, rule.reason)
}

// sectionNames returns the known sections in the order of the options.
func (p *parser) sectionNames() []string {
	var names []string
	for _, o := range p.options {
		if !slices.Contains(names, o.Section) {
			names = append(names, o.Section)
		}
	}
	return names
}
