// Package settings reads a VM's settings from an INI file; options.go lists every key with its unit and default.
package settings

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"

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

// Parse reads and checks settings that stand in data; name is the file's name for errors.
func Parse(name string, data []byte) (Settings, error) {
	s := Settings{}
	table := options(&s)
	for _, o := range table {
		if o.Default == "" {
			continue
		}
		if err := o.set(o.Default); err != nil {
			return s, fmt.Errorf("default of %s.%s: %w", o.Section, o.Key, err)
		}
	}
	file, err := ini.LoadSources(ini.LoadOptions{AllowBooleanKeys: false}, data)
	if err != nil {
		return s, fmt.Errorf("%s: %w", name, err)
	}
	var errs []error
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if err := assign(table, section.Name(), key.Name(), key.String()); err != nil {
				line := findLine(data, section.Name(), key.Name())
				errs = append(errs, fmt.Errorf("%s:%d: %s.%s: %w", name, line, section.Name(), key.Name(), err))
			}
		}
	}
	for _, o := range table {
		if o.Required && !file.Section(o.Section).HasKey(o.Key) {
			errs = append(errs, fmt.Errorf("%s: %s.%s is missing: %s", name, o.Section, o.Key, o.Help))
		}
	}
	return s, errors.Join(errs...)
}

func assign(table []Option, section, key, value string) error {
	for _, o := range table {
		if o.Section == section && o.Key == key {
			return o.set(value)
		}
	}
	return errors.New("unknown key")
}

// findLine returns the line, from 1, on which the section sets the key, or 0.
func findLine(data []byte, section, key string) int {
	current := ini.DefaultSection
	scanner := bufio.NewScanner(strings.NewReader(string(data)))
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(line, "[") {
			current = strings.Trim(line, "[]")
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if found && current == section && strings.TrimSpace(name) == key {
			return n
		}
	}
	return 0
}
