package task

import (
	"net/http"
	"time"
)

// change tells a server's task that a connection changed its phase, or was opened or closed. done is closed once the task has seen
// it; nil if nobody waits.
type change struct {
	conn           *connection
	phase          Phase
	opened, closed bool
	at             time.Time
	done           chan struct{}
}

// count is what the change adds to the number of connections whose goroutines run.
func (ch change) count() int {
	switch {
	case ch.opened:
		return 1
	case ch.closed:
		return -1
	default:
		return 0
	}
}

// connections are the open connections of a server; only its task uses them.
type connections struct {
	limits ConnectionLimits
	// list and open hold the connections and what evict looks at, in the same order; index is the place of each in them.
	list  []*connection
	open  []OpenConnection
	index map[*connection]int
	// evicted counts the connections that were closed for others.
	evicted int
}

// apply takes in a change, and closes what is too much then.
func (c *connections) apply(ch change) {
	if ch.done != nil {
		defer close(ch.done)
	}
	if ch.closed {
		c.remove(ch.conn)
		return
	}
	if ch.opened {
		c.index[ch.conn] = len(c.list)
		c.list, c.open = append(c.list, ch.conn), append(c.open, OpenConnection{})
	}
	i, known := c.index[ch.conn]
	if !known {
		return // it was closed for another one
	}
	c.open[i] = OpenConnection{ch.phase, ch.at}
	for i := evict(c.open, c.limits); i >= 0; i = evict(c.open, c.limits) {
		conn := c.list[i]
		c.remove(conn)
		c.evicted++
		_ = conn.Close() // its goroutine sees the end of its reading
	}
}

// remove forgets a connection; the last of the list takes its place.
func (c *connections) remove(conn *connection) {
	i, known := c.index[conn]
	if !known {
		return
	}
	last := len(c.list) - 1
	c.list[i], c.open[i] = c.list[last], c.open[last]
	c.index[c.list[i]] = i
	c.list, c.open = c.list[:last], c.open[:last]
	delete(c.index, conn)
}

// phaseOf returns the phase that a state of net/http stands for.
func phaseOf(state http.ConnState) Phase {
	if state == http.StateActive {
		return PhaseServing
	}
	return PhaseIdle
}
