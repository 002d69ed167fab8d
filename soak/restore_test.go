package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
	platformstandin "cornelmux/platform/standin"
)

const (
	// withdrawnKey is the API key that the operator withdraws after the restore.
	withdrawnKey = "key-goes"
	// writtenBefore is the number of configurations that the restore loses.
	writtenBefore = 40
)

// write writes the next configuration, with the API keys.
func (s *site) write(ctx context.Context, keys platformstandin.Keys) {
	s.version += 2
	s.addedRoute = fmt.Sprintf("/added-%d/", s.version)
	s.c.Assert(s.store.Put(ctx, "op/config", platformstandin.Configuration(s.version, keys, s.addedRoute)), qt.IsNil)
}

// TestKeyWithdrawnAfterARestore guards against processes that serve a key on which the operator withdrew after the store came back from a
// backup, and against one that serves it since it was frozen meanwhile, or started anew.
func TestKeyWithdrawnAfterARestore(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	s := newStoreSite(ctx, c, 1)
	defer func() {
		s.stop(cancel)
		if t.Failed() {
			s.printLogs()
		}
	}()
	for n := range 4 {
		s.addRunner(ctx, fmt.Sprint("app-", n), platformstandin.AppService, []string{"a", "b"}[n%2])
	}
	s.startVMs(ctx, 4)
	all, fewer := platformstandin.Keys{"parish": callerKey, "other": withdrawnKey}, platformstandin.Keys{"parish": callerKey}
	s.write(ctx, all)
	backup := s.store.BackUp(ctx)
	for range writtenBefore {
		s.write(ctx, all)
		task.Sleep(ctx, 100*time.Millisecond)
	}
	c.Assert(s.waitRecovered(ctx), qt.IsNil)
	s.store.SetOutage(ctx, platformstandin.OutageReset)
	frozen, restarted := s.vms[0], s.vms[1]
	_ = frozen.process.Process.Signal(syscall.SIGSTOP) // it runs
	task.Sleep(ctx, time.Second)
	s.store.Restore(ctx, backup)
	s.store.SetOutage(ctx, platformstandin.OutageNone)
	c.Assert(s.store.Put(ctx, "op/config", platformstandin.Configuration(s.version, all, s.addedRoute)), qt.IsNil)
	task.Sleep(ctx, 2*time.Second)
	_ = frozen.process.Process.Signal(syscall.SIGCONT) // it runs
	restarted.signalAndWait(syscall.SIGKILL)
	s.start(restarted)
	s.write(ctx, fewer)
	c.Assert(s.waitRecovered(ctx), qt.IsNil)
	for n := range 20 {
		for _, v := range s.vms {
			for key, want := range map[string]int{callerKey: http.StatusOK, withdrawnKey: http.StatusUnauthorized} {
				call := platformstandin.Call{ID: fmt.Sprint(key, "-", v.name, "-", n), Path: platformstandin.IdempotentPrefix + "x", Key: key}
				got, err := platformstandin.Send(ctx, s.client, v.callerAddress, call)
				c.Assert(err, qt.IsNil)
				c.Check(got.Status, qt.Equals, want, qt.Commentf("%s at %s", key, v.name))
			}
		}
	}
}
