package main

import "runtime"

// liveHeap returns the bytes of the heap that are in use after a garbage collection.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // the first run leaves what finalizers and pools still hold
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
