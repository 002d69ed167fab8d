package task

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

// evictionLogInterval is the least time between two lines about connections that were closed for others.
const evictionLogInterval = time.Second

// change tells a server's task that a connection changed its phase, or was opened or closed. Whether it is
// still open is sent on kept, which has room for it; nil if nobody waits.
type change struct {
	conn           *connection
	phase          Phase
	opened, closed bool
	at             time.Time
	kept           chan<- bool
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
	log   logr.Logger
	// loggedAt is when the last line was logged; unlogged counts the connections that were closed for others since then.
	loggedAt time.Time
	unlogged int
}

// apply takes in a change, and closes what is too much then.
func (c *connections) apply(ch change) {
	if ch.closed {
		c.remove(ch.conn)
		return
	}
	if ch.opened {
		c.index[ch.conn] = len(c.list)
		c.list, c.open = append(c.list, ch.conn), append(c.open, OpenConnection{})
	}
	i, known := c.index[ch.conn]
	if known {
		c.open[i] = OpenConnection{ch.phase, ch.at}
		c.makeRoom(ch.conn)
		_, known = c.index[ch.conn]
	}
	if ch.kept != nil {
		ch.kept <- known
	}
}

// makeRoom closes what is too much since a connection changed.
func (c *connections) makeRoom(changed *connection) {
	for {
		at, known := c.index[changed]
		if !known {
			return
		}
		i := evict(c.open, at, c.limits)
		if i < 0 {
			return
		}
		conn, phase := c.list[i], c.open[i].Phase
		c.remove(conn)
		_ = conn.Close() // its goroutine sees the end of its reading
		c.logEvicted(phase)
	}
}

// logEvicted logs a connection that was closed for others, at most one each evictionLogInterval.
func (c *connections) logEvicted(phase Phase) {
	now := time.Now()
	if now.Sub(c.loggedAt) < evictionLogInterval {
		c.unlogged++
		return
	}
	c.log.Info("connection closed for others", "phase", phase.String(), "open", len(c.open), "limit", c.limits.Open, "unlogged", c.unlogged)
	c.loggedAt, c.unlogged = now, 0
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
		return PhaseBody
	}
	return PhaseIdle
}
