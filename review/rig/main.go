// Command rig plays the cases of the second review that can't be days of the bench: it starts a store, runners and clients on loopback
// and the deploy file's command as processes, and checks one rule. It runs from the repository's root. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// scenario plays a case, and returns what broke the rule, one line each.
type scenario func(ctx context.Context, c *play) ([]string, error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{"restore": restoredStore, "slashes": doubleSlash, "prompts": longPrompts, "house": fullHouse, "poison": poisonedQuery}

// play is what a scenario works with. trouble says that the disruption takes place.
type play struct {
	*record
	command []string
	folder  string
	trouble bool
	vms     []*vm
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO FOLDER")
		os.Exit(2)
	}
	os.Exit(playCase(scenarios[os.Args[1]], os.Args[2]))
}

// playCase plays a scenario with its record in folder, and returns the exit code.
func playCase(s scenario, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	c := &play{record: &record{file: file, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	temporary, err := os.MkdirTemp("", "rig")
	if err == nil {
		defer os.RemoveAll(temporary)
		c.folder = temporary
		c.command, err = deployCommand("deploy/system.toml")
	}
	var broken []string
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
		broken, err = s(ctx, c)
		cancel()
	}
	for _, v := range c.vms {
		v.stop()
	}
	if err != nil {
		c.note("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	}
	for _, b := range broken {
		c.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	c.note("the rule held")
	fmt.Println("the rule held")
	return 0
}

// start starts a VM.
func (c *play) start(name, zone, host string, s *store) (*vm, error) {
	v, err := startVM(c.command, c.folder, name, zone, host, s.address)
	if v != nil && v.process != nil && v.process.Process != nil {
		c.vms = append(c.vms, v)
	}
	return v, err
}

// readAnswer reads an answer from the connection.
func readAnswer(conn net.Conn, method string) answer {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, string(data), resp.Header.Get(headerPrefix+"Response-Signature") != ""}
}
