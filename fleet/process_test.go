package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// binaryDir holds the programs that run built.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs, runs the tests and returns the exit code.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// start starts a process of one of the built programs and appends its output to the log file of this name.
func (s *site) start(name, binary string, args ...string) {
	p := exec.Command(filepath.Join(binaryDir, filepath.Base(binary)), args...)
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.c.Assert(err, qt.IsNil)
	defer log.Close()
	p.Stdout, p.Stderr = log, log
	s.c.Assert(p.Start(), qt.IsNil)
	s.procs[name] = p
}

func (s *site) startVM(v *vm) { s.start(v.name, "cornelmux", "serve", "--settings", v.settingsPath) }

func (s *site) signal(name string, sig syscall.Signal) {
	s.c.Assert(s.procs[name].Process.Signal(sig), qt.IsNil)
}

// freeze stops a process and waits until all its threads have stopped, since they go on for a while on a busy machine.
func (s *site) freeze(name string) {
	s.signal(name, syscall.SIGSTOP)
	var status syscall.WaitStatus
	_, err := syscall.Wait4(s.procs[name].Process.Pid, &status, syscall.WUNTRACED, nil)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(status.Stopped(), qt.IsTrue)
}

// kill ends a process at once and waits until it is gone.
func (s *site) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	_ = s.procs[name].Wait()
}

// printLogs prints the last 4 KiB of each process's log.
func (s *site) printLogs() {
	files, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		const tail = 4 << 10
		s.c.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-tail):])
	}
}

// waitListening waits until the address accepts connections.
func (s *site) waitListening(address string) {
	s.waitUntil("listening on "+address, func() error {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}
