package session

import (
	"context"
	"time"

	"cornelmux/internal/task"
)

const (
	pullWorkers = 8
	pullTimeout = 3 * time.Second
)

// Peers reads the sets of active sessions that another entry VM knows.
type Peers interface {
	Sets(ctx context.Context, address string) ([]Set, error)
}

// pull reads the sets of the VMs that it is told, and reports them to the controller.
func (c *Controller) pull(ctx context.Context) error {
	for {
		select {
		case addresses := <-c.pulls:
			startedAt := time.Now()
			sets, answered := c.pullAll(ctx, addresses)
			select {
			case c.mailbox <- pulledMessage{startedAt, sets, answered}:
			case <-ctx.Done():
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// pullAll asks the VMs, a few at a time; those that don't answer in time are left out. It also counts the answers.
func (c *Controller) pullAll(ctx context.Context, addresses []string) ([]Set, int) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	todo := make(chan string, len(addresses))
	for _, a := range addresses {
		todo <- a
	}
	close(todo)
	found := make(chan []Set, len(addresses))
	ends := make(chan task.End, pullWorkers)
	for range pullWorkers {
		task.Start(ctx, "sessions worker", ends, func(ctx context.Context) error {
			for address := range todo {
				sets, err := c.peers.Sets(ctx, address)
				if err != nil {
					c.log.V(1).Info("sessions of a peer are not known", "peer", address, "error", err.Error())
					continue
				}
				found <- sets
			}
			return nil
		})
	}
	for range pullWorkers {
		<-ends
	}
	close(found)
	var all []Set
	answered := len(found)
	for sets := range found {
		all = append(all, sets...)
	}
	return all, answered
}
