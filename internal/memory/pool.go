package memory

import "cornelmux/internal/task"

// kind is what a pool is for.
type kind int

const (
	smallBodies kind = iota
	largeBodies
	smallAnswers
	largeAnswers
	// refusedBodies is for the sockets of bodies that are read and dropped.
	refusedBodies
	// kinds is the number of the pools.
	kinds
)

// pool is the memory of one kind. Only the Controller's goroutine uses it.
type pool struct {
	limit, held int64
	// waiting holds the questions that wait, the oldest first.
	waiting []question
}

// question asks for n bytes; the reply says whether they were granted.
type question struct {
	kind  kind
	n     int64
	reply task.Reply[bool]
}

// grant grants the questions that fit, the oldest first; a later one never overtakes one that doesn't fit.
func (p *pool) grant() {
	for len(p.waiting) > 0 {
		q := p.waiting[0]
		if q.reply.Wanted() && p.held+q.n > p.limit {
			return
		}
		p.waiting = p.waiting[1:]
		if q.reply.Send(true) {
			p.held += q.n
		}
	}
	p.waiting = nil
}

// dropLeft removes the questions whose askers left.
func (p *pool) dropLeft() {
	var kept []question
	for _, q := range p.waiting {
		if q.reply.Wanted() {
			kept = append(kept, q)
		}
	}
	p.waiting = kept
}
