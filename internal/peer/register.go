package peer

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"cornelmux/internal/consul"
	"cornelmux/internal/task"
)

const (
	// ServiceName is the service under which the platform lists entry VMs.
	ServiceName = "cornelmux"
	// listWait is the longest wait of a blocking query for changes of the list.
	listWait = 30 * time.Second
	// listRetry is the pause after a failed query or registration.
	listRetry = 2 * time.Second
	// listInterval is the pause between two successful queries.
	listInterval = time.Second

	// Keys of the metadata of a listed VM.
	metaRegion      = "region"
	metaZone        = "zone"
	metaControl     = "control"
	metaPeers       = "peers"
	metaIncarnation = "incarnation"
)

// Registry is the platform's list of VMs.
type Registry interface {
	// Register adds or replaces an instance.
	Register(ctx context.Context, r consul.Registration) error
	// Deregister removes an instance.
	Deregister(ctx context.Context, id string) error
	// Instances waits until the list has changed after an index, for at most wait, and returns it with its index.
	Instances(ctx context.Context, service string, after uint64, wait time.Duration) ([]consul.Instance, uint64, error)
}

// register keeps the VM on the platform's list and follows the list, until the VM leaves and is removed from it. It runs as
// a task of the Controller; without a registry it does nothing. If the removal fails, it is logged and not repeated.
func (c *Controller) register(ctx context.Context) error {
	if c.registry == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	listed, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 1)
	task.Start(listed, "list", ends, c.followList)
	select {
	case <-c.leaveStarted:
		cancel()
		<-ends
		if err := c.registry.Deregister(ctx, c.opts.VM); err != nil {
			c.log.Info("VM not removed from the platform's list", "error", err.Error())
		}
		<-ctx.Done()
	case <-ctx.Done():
		<-ends
	}
	return ctx.Err()
}

// followList watches the list, passes it to the controller, and registers the VM if it is missing or listed with another
// incarnation. It runs as a task of register. After a failure, or if the mailbox is full, it reads the list again without
// waiting for a change.
func (c *Controller) followList(ctx context.Context) error {
	own := RegistrationOf(c.opts)
	var after uint64
	for ctx.Err() == nil {
		list, index, err := c.registry.Instances(ctx, ServiceName, after, listWait)
		if err == nil && !listsIncarnation(list, own) {
			err = c.registry.Register(ctx, own)
		}
		if err != nil {
			c.log.V(1).Info("registration with the platform not confirmed", "error", err.Error())
			after = 0
			task.Sleep(ctx, listRetry)
			continue
		}
		if task.Tell(c.mailbox, message(listMessage{parseMembers(list)})) != nil {
			index = 0
		}
		after = index
		task.Sleep(ctx, listInterval)
	}
	return ctx.Err()
}

// RegistrationOf returns a VM's entry for the platform's list. followList registers it.
func RegistrationOf(o Options) consul.Registration {
	host, port, _ := net.SplitHostPort(o.PeerAddress)
	n, _ := strconv.Atoi(port)
	return consul.Registration{
		ID: o.VM, Name: ServiceName, Address: host, Port: n,
		Meta: map[string]string{
			metaRegion: o.Region, metaZone: o.Zone, metaControl: o.ControlAddress, metaPeers: o.PeerAddress,
			metaIncarnation: strconv.FormatUint(o.Incarnation, 10),
		},
	}
}

// listsIncarnation reports whether the list holds the VM's current incarnation.
func listsIncarnation(list []consul.Instance, own consul.Registration) bool {
	return slices.ContainsFunc(list, func(i consul.Instance) bool {
		return i.ID == own.ID && i.Meta[metaIncarnation] == own.Meta[metaIncarnation]
	})
}

// parseMembers returns the VMs of the platform's list; entries without a name or a readable incarnation are left out.
// followList calls it.
func parseMembers(list []consul.Instance) []Member {
	var out []Member
	for _, i := range list {
		incarnation, err := strconv.ParseUint(i.Meta[metaIncarnation], 10, 64)
		if err != nil || i.ID == "" {
			continue
		}
		out = append(out, Member{
			VM: i.ID, Incarnation: incarnation, Region: i.Meta[metaRegion], Zone: i.Meta[metaZone],
			ControlAddress: i.Meta[metaControl], PeerAddress: i.Meta[metaPeers],
		})
	}
	return out
}
