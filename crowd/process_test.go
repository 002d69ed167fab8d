// Package crowd tests the programs as real processes against crowds of callers that nobody controls: callers that send too much, too
// slowly or without end, and that stay. It checks that the process lives, that its memory and descriptors stay under the bounds that
// follow from its settings, and that an ordinary caller gets its answer.
package crowd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
)

// binary is the path of the program that run built.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the program, runs the tests and returns the exit code.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "cornelmux")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/cornelmux").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running program with a limit of its own on file descriptors.
type process struct {
	c       *qt.C
	command *exec.Cmd
	logPath string
	// ends receives the end of the process once.
	ends chan task.End
}

// startProcess starts the program with at most so many descriptors; the process is ended with the test, and the end of its log is
// printed if that failed.
func startProcess(c *qt.C, descriptors int, environment []string, args ...string) *process {
	p := &process{c: c, logPath: filepath.Join(c.Mkdir(), "log"), ends: make(chan task.End, 1)}
	log, err := os.Create(p.logPath)
	c.Assert(err, qt.IsNil)
	defer log.Close()
	limited := fmt.Sprintf("ulimit -n %d; exec %s %s", descriptors, binary, strings.Join(args, " "))
	p.command = exec.Command("sh", "-c", limited)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = log, log
	c.Assert(p.command.Start(), qt.IsNil)
	task.Start(context.Background(), "process", p.ends, func(context.Context) error { return p.command.Wait() })
	c.Cleanup(p.stop)
	return p
}

// stop ends the process. startProcess has it called with the end of the test.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGKILL) // it may have ended
	<-p.ends
	if !p.c.Failed() {
		return
	}
	const tail = 1200
	if data, err := os.ReadFile(p.logPath); err == nil {
		p.c.Logf("log:\n%s", data[max(len(data)-tail, 0):])
	}
}

// checkLives checks that the process hasn't ended.
func (p *process) checkLives() {
	select {
	case end := <-p.ends:
		p.ends <- end
		p.c.Errorf("the process ended: %v", end.Err)
	default:
	}
}

// usage is what a process takes at a time. Memory counts what its callers' sockets have received and nobody has read.
type usage struct {
	memory, unread int64
	descriptors    int
}

// most returns the larger of each.
func (u usage) most(o usage) usage {
	return usage{max(u.memory, o.memory), max(u.unread, o.unread), max(u.descriptors, o.descriptors)}
}

// usage returns what the process takes now; port is that of its callers. Parts of it are 0 once the process has ended.
func (p *process) usage(port int) usage {
	entries, _ := os.ReadDir(p.path("fd"))
	unread := unreadBytes(port)
	return usage{p.residentBytes() + unread, unread, len(entries)}
}

func (p *process) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}

// residentBytes returns the resident memory of the process.
func (p *process) residentBytes() int64 {
	data, _ := os.ReadFile(p.path("statm"))
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64) // the kernel writes a number
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns what the sockets of a local TCP port have received and nobody has read.
func unreadBytes(port int) (sum int64) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	const listening = "0A"
	suffix := fmt.Sprintf(":%04X", port)
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64) // the kernel writes a number
		sum += n
	}
	return sum
}

// sampleInterval is the time between two looks at a process.
const sampleInterval = 20 * time.Millisecond

// watch looks at the process until ctx ends, and then sends the most of all it saw on found.
func (p *process) watch(ctx context.Context, port int, found chan<- usage) error {
	most := p.usage(port)
	for task.Sleep(ctx, sampleInterval) {
		most = most.most(p.usage(port))
	}
	found <- most
	return ctx.Err()
}

// portOf returns the port of a host:port.
func portOf(c *qt.C, address string) int {
	_, port, err := net.SplitHostPort(address)
	c.Assert(err, qt.IsNil)
	n, err := strconv.Atoi(port)
	c.Assert(err, qt.IsNil)
	return n
}
