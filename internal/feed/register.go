package feed

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

const (
	// memberLease is how long a VM that has stopped stays a member.
	memberLease = 20 * time.Second
	// renewInterval is the mean time between two renewals of the lease.
	renewInterval = 7 * time.Second
	// registerPause is the mean pause before a failed write of the member key or of the secret is tried again.
	registerPause = time.Second
	// secretBytes is the length of the datagrams' secret.
	secretBytes = 32
)

// Registrar writes the VM's own keys to the store.
type Registrar interface {
	// Lease returns a new lease that expires after ttl unless it is renewed.
	Lease(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew fails with ErrLeaseGone if the lease has expired.
	Renew(ctx context.Context, lease uint64) error
	// Put writes a key that expires with the lease.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// Create writes a key, or fails with ErrExists if it exists.
	Create(ctx context.Context, key string, value []byte) error
}

// KeepRegistered keeps the VM's member key alive until ctx ends. It starts with the lease received from leases, so that a
// restarted VM goes on with the key that it had, and goes over to each further one: after a restore of the store the key may have
// another lease, or none. It runs as a task of the Controller. After a failure it writes the key under a new lease.
func KeepRegistered(ctx context.Context, r Registrar, self Member, leases <-chan uint64, log logr.Logger) error {
	var lease uint64
	select {
	case lease = <-leases:
	case <-ctx.Done():
		return ctx.Err()
	}
	for ctx.Err() == nil {
		next, err := renewMember(ctx, r, self, lease, leases)
		if err != nil && ctx.Err() == nil {
			log.Info("member key not renewed", "error", err.Error())
		}
		lease = next
		task.Sleep(ctx, jitter(registerPause))
	}
	return ctx.Err()
}

// createSecret creates the secret of the datagrams unless it exists, and retries until the store answers. The secret is the one that the
// VM uses, if the store lost it, or else a new one. createSecretIfDue starts it as a task. The VM learns the secret by its next watch.
func createSecret(ctx context.Context, r Registrar, secret []byte, log logr.Logger) error {
	if len(secret) == 0 {
		secret = make([]byte, secretBytes)
		_, _ = rand.Read(secret) // never fails
	}
	for ctx.Err() == nil {
		err := r.Create(ctx, secretKey, secret)
		if err == nil || errors.Is(err, ErrExists) {
			return nil
		}
		log.Info("datagram secret not created", "error", err.Error())
		task.Sleep(ctx, jitter(registerPause))
	}
	return ctx.Err()
}

// renewMember renews the lease of the member key until that fails or another lease comes from leases, and returns the lease to go on
// with; 0 is a new one. It first writes the key under a new lease if lease is 0 or has expired. KeepRegistered calls it again until ctx
// ends.
func renewMember(ctx context.Context, r Registrar, self Member, lease uint64, leases <-chan uint64) (uint64, error) {
	if lease == 0 || r.Renew(ctx, lease) != nil {
		var err error
		if lease, err = writeMember(ctx, r, self); err != nil {
			return 0, err
		}
	}
	renewed := time.Now()
	for {
		select {
		case next := <-leases:
			return next, nil
		case <-time.After(jitter(renewInterval)):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		err := r.Renew(ctx, lease)
		switch {
		case err == nil:
			renewed = time.Now()
		case errors.Is(err, ErrLeaseGone) || time.Since(renewed) > memberLease:
			return 0, err
		}
	}
}

// writeMember writes the member key under a new lease and returns the lease. renewMember calls it.
func writeMember(ctx context.Context, r Registrar, self Member) (uint64, error) {
	value, err := json.Marshal(self)
	if err != nil {
		return 0, fmt.Errorf("encode member record: %w", err)
	}
	lease, err := r.Lease(ctx, memberLease)
	if err != nil {
		return 0, err
	}
	return lease, r.Put(ctx, memberPrefix+self.VM, value, lease)
}
