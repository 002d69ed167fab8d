// Command measure prints the project's measurements, a line each.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

// Line is one measured figure beside its target.
type Line struct {
	Name   string
	Value  float64
	Unit   string
	Target string
}

// Measurement makes lines of one topic.
type Measurement struct {
	Topic string
	Run   func() ([]Line, error)
}

// measurements lists every topic; each stands in a file of its own.
var measurements = []Measurement{
	{"placement", measurePlacement},
}

func main() {
	only := flag.String("only", "", "run only topics that contain this text")
	flag.Parse()
	failed := false
	for _, m := range measurements {
		if !strings.Contains(m.Topic, *only) {
			continue
		}
		lines, err := m.Run()
		if err != nil {
			fmt.Fprintf(os.Stderr, "measure %s: %v\n", m.Topic, err)
			failed = true
			continue
		}
		for _, l := range lines {
			fmt.Printf("measure %s %.4g %s target %s\n", l.Name, l.Value, l.Unit, l.Target)
		}
	}
	if failed {
		os.Exit(1)
	}
}
