package session

import (
	"context"
	"time"

	"cornelmux/internal/task"
)

const (
	// pullWorkers is the number of VMs asked at a time.
	pullWorkers = 8
	// pullTimeout bounds one pull from all VMs.
	pullTimeout = 3 * time.Second
)

// Peers reads the sets of active sessions that another entry VM knows. The workers of pullAll call it.
type Peers interface {
	Sets(ctx context.Context, address string) ([]Set, error)
}

// pull serves the requested pulls one after another and sends each result to the controller's mailbox.
// It runs as a task of its own, since pulling waits for the network.
func (c *Controller) pull(ctx context.Context) error {
	for {
		select {
		case addresses := <-c.pulls:
			startedAt := time.Now()
			sets, answered := c.pullAll(ctx, addresses)
			if task.TellUntil(ctx, c.mailbox, message(pulledMessage{startedAt, sets, answered})) != nil {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// pullAll reads the sets of the VMs, pullWorkers at a time, and returns them with the number of VMs that answered.
// VMs that don't answer within pullTimeout are left out. pull calls it.
func (c *Controller) pullAll(ctx context.Context, addresses []string) ([]Set, int) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	pending := make(chan string, len(addresses))
	for _, a := range addresses {
		pending <- a
	}
	close(pending)
	results := make(chan []Set, len(addresses))
	ends := make(chan task.End, pullWorkers)
	for range pullWorkers {
		task.Start(ctx, "session pull worker", ends, func(ctx context.Context) error {
			for address := range pending {
				sets, err := c.peers.Sets(ctx, address)
				if err != nil {
					c.log.V(1).Info("session sets of a peer not read", "peer", address, "error", err.Error())
					continue
				}
				results <- sets
			}
			return nil
		})
	}
	for range pullWorkers {
		<-ends
	}
	close(results)
	var all []Set
	answered := len(results)
	for sets := range results {
		all = append(all, sets...)
	}
	return all, answered
}
