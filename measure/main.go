// Command measure measures the project's figures against their targets and prints one line for each.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime/pprof"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"
)

// reportPath is the page that --write writes.
const reportPath = "docs/MEASUREMENTS.md"

// Line is a measured figure and its target in the same unit, such as "< 1" or ">= 0.7". A target without a number gets no
// verdict.
type Line struct {
	Name   string
	Value  float64
	Unit   string
	Target string
}

// Measurement measures the figures of one topic. Run returns the lines of the report; it may return some with an error.
type Measurement struct {
	Topic string
	Run   func() ([]Line, error)
}

// measurements lists the topics in the order in which run calls them.
var measurements = []Measurement{
	{"exposure", measureExposure},
	{"cost", measureCost},
	{"cascade", measureCascade},
	{"ids", measureIDs},
	{"overhead", measureOverhead},
	{"journal", measureJournal},
	{"placement", measurePlacement},
	{"peers", measurePeers},
	{"fleet", measureFleet},
	{"limits", measureLimits},
}

// Verdicts of a line.
const (
	verdictMet    = "met"
	verdictMissed = "missed"
	verdictNone   = "-"
)

// Verdict compares the value with the target and returns one of the verdicts above. String and the report use it.
func (l Line) Verdict() string {
	relation, number, _ := strings.Cut(l.Target, " ")
	bound, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return verdictNone
	}
	met := false
	switch relation {
	case "<":
		met = l.Value < bound
	case "<=":
		met = l.Value <= bound
	case ">":
		met = l.Value > bound
	case ">=":
		met = l.Value >= bound
	default:
		return verdictNone
	}
	if met {
		return verdictMet
	}
	return verdictMissed
}

func (l Line) String() string {
	return fmt.Sprintf("measure %s %.4g %s target %s %s", l.Name, l.Value, l.Unit, l.Target, l.Verdict())
}

type options struct {
	Only    string `long:"only" description:"run only topics that contain this text"`
	Write   bool   `long:"write" description:"also write docs/MEASUREMENTS.md; needs every topic"`
	Profile string `long:"profile" description:"file for a processor profile of the run"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run measures the topics that the options select, prints their lines and writes the report if asked to. An error of one topic
// doesn't stop the others; run returns all errors joined. main calls it.
func run(opts options) error {
	if opts.Profile != "" {
		f, err := os.Create(opts.Profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	var all []Line
	var errs []error
	for _, m := range measurements {
		if !strings.Contains(m.Topic, opts.Only) {
			continue
		}
		lines, err := m.Run()
		if err != nil {
			errs = append(errs, fmt.Errorf("measure %s: %w", m.Topic, err))
		}
		for _, l := range lines {
			fmt.Println(l)
		}
		all = append(all, lines...)
	}
	if opts.Write && opts.Only == "" && len(errs) == 0 {
		errs = append(errs, os.WriteFile(reportPath, report(all, commit()), 0o644))
	}
	return errors.Join(errs...)
}

// commit returns the short hash of the current commit and says if the tree has uncommitted changes, for the report.
func commit() string {
	hash, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(hash))
	changes, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no").Output()
	if err != nil || len(changes) > 0 {
		name += " with changes"
	}
	return name
}

// report returns the page reportPath with a table of all lines.
func report(lines []Line, commit string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Measurements\n\n`make measure` wrote this page at commit %s.\n\n", commit)
	b.WriteString("| name | value | unit | target | verdict |\n| --- | --- | --- | --- | --- |\n")
	for _, l := range lines {
		fmt.Fprintf(&b, "| %s | %.4g | %s | %s | %s |\n", l.Name, l.Value, l.Unit, l.Target, l.Verdict())
	}
	return b.Bytes()
}
