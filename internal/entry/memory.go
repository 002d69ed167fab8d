package entry

import (
	"math"
	"runtime/debug"
	"syscall"

	"cornelmux/internal/memory"
	"cornelmux/internal/task"
)

const (
	// heapRatio is the share of a VM's memory, 0 to 1, that its heap may take: GOMEMLIMIT is that share of it.
	heapRatio = 0.6
	// smallBodyRatio and largeBodyRatio are the shares of the VM's memory for callers' bodies, socketRatio that for what sockets hold of
	// bodies that wait, and headRatio that for parts of heads, each of which takes headBytes at most while it grows.
	smallBodyRatio = 0.06
	largeBodyRatio = 0.24
	socketRatio    = 0.2
	headRatio      = 0.1
	headBytes      = 2 * maxCallerHeadBytes
	// callerDescriptorRatio is the share of the file descriptors, 0 to 1, for callers' connections. The rest is for endpoints, other
	// VMs, the platform and files.
	callerDescriptorRatio = 0.4
)

// Machine is what the process may take: its memory in bytes and its file descriptors, 0 for no bound.
type Machine struct {
	MemoryBytes     int64
	FileDescriptors int
}

// ThisMachine returns what this process may take: the memory that GOMEMLIMIT stands for, or else that of the machine, and the
// system's limit on its descriptors. `cornelmux serve` calls it.
func ThisMachine() Machine {
	var m Machine
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		m.FileDescriptors = int(min(files.Cur, math.MaxInt32))
	}
	if heap := debug.SetMemoryLimit(-1); heap < math.MaxInt64 {
		m.MemoryBytes = int64(float64(heap) / heapRatio)
		return m
	}
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) == nil {
		m.MemoryBytes = int64(info.Totalram) * int64(info.Unit)
	}
	return m
}

// memoryLimits returns the bounds on what is held for callers. New calls it.
func memoryLimits(m Machine) memory.Limits {
	if m.MemoryBytes == 0 {
		return memory.Limits{SmallBodies: math.MaxInt64, LargeBodies: math.MaxInt64}
	}
	share := func(ratio float64) int64 { return int64(ratio * float64(m.MemoryBytes)) }
	return memory.Limits{SmallBodies: share(smallBodyRatio), LargeBodies: share(largeBodyRatio), Sockets: share(socketRatio)}
}

// connectionLimits returns the bounds on callers' connections. Run calls it.
func connectionLimits(m Machine) task.ConnectionLimits {
	return task.ConnectionLimits{
		Open:  int(callerDescriptorRatio * float64(m.FileDescriptors)),
		Heads: int(headRatio * float64(m.MemoryBytes) / headBytes),
	}
}
