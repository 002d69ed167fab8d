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
	// memberLease is how long a VM that ended still counts as a member.
	memberLease   = 20 * time.Second
	renewInterval = 7 * time.Second
	registerPause = time.Second
	secretBytes   = 32
)

// Registrar keeps the VM's own keys.
type Registrar interface {
	Lease(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew fails with ErrLeaseGone once the lease has ended.
	Renew(ctx context.Context, lease uint64) error
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// Create fails with ErrExists where the key exists.
	Create(ctx context.Context, key string, value []byte) error
}

// Register keeps the VM's member key alive until ctx ends. It begins with the lease that comes on leases: a VM that
// started again goes on with the key that it had.
func Register(ctx context.Context, r Registrar, self Member, leases <-chan uint64, log logr.Logger) error {
	var lease uint64
	select {
	case lease = <-leases:
	case <-ctx.Done():
		return ctx.Err()
	}
	for ctx.Err() == nil {
		if err := keep(ctx, r, self, lease); err != nil && ctx.Err() == nil {
			log.Info("member key not kept", "error", err.Error())
		}
		lease = 0
		task.Sleep(ctx, jitter(registerPause))
	}
	return ctx.Err()
}

// createSecret makes the secret of the datagrams where there is none, and tries again until the store answers.
func createSecret(ctx context.Context, r Registrar, log logr.Logger) error {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails
	for ctx.Err() == nil {
		err := r.Create(ctx, secretKey, secret)
		if err == nil || errors.Is(err, ErrExists) {
			return nil
		}
		log.Info("secret of the datagrams not made", "error", err.Error())
		task.Sleep(ctx, jitter(registerPause))
	}
	return ctx.Err()
}

// keep writes the member key under a lease, unless it has one already, and renews it until that fails.
func keep(ctx context.Context, r Registrar, self Member, lease uint64) error {
	if lease == 0 || r.Renew(ctx, lease) != nil {
		var err error
		if lease, err = register(ctx, r, self); err != nil {
			return err
		}
	}
	renewed := time.Now()
	for task.Sleep(ctx, jitter(renewInterval)) {
		err := r.Renew(ctx, lease)
		switch {
		case err == nil:
			renewed = time.Now()
		case errors.Is(err, ErrLeaseGone) || time.Since(renewed) > memberLease:
			return err
		}
	}
	return ctx.Err()
}

// register writes the member key under a new lease.
func register(ctx context.Context, r Registrar, self Member) (uint64, error) {
	value, err := json.Marshal(self)
	if err != nil {
		return 0, fmt.Errorf("encode a member: %w", err)
	}
	lease, err := r.Lease(ctx, memberLease)
	if err != nil {
		return 0, err
	}
	return lease, r.Put(ctx, memberPrefix+self.VM, value, lease)
}
