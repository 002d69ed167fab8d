package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cornelmux/internal/audit"
	"cornelmux/internal/consul"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	submitAttempts      = 16
	unreachableAttempts = 3
	submitPause         = 200 * time.Millisecond
)

// base is what a submission is merged into.
type base struct {
	// version is the head key's version in the platform.
	version uint64
	head    Head
	cfg     catalog.Configuration
	// reset says that the platform holds an older head, and perhaps not the parts of this one.
	reset bool
}

// errRaced reports that another submitter wrote first, or that the platform's answer was stale.
var errRaced = errors.New("another change came first")

// Submit merges a change into the newest configuration and returns the revision that holds it.
// An answer of the platform that was lost is settled by reading the head back.
// The error is a *result.Error: Conflict, BadConfiguration, PlatformDown or ChangeUnknown.
func (c *Controller) Submit(ctx context.Context, s Submission) (uint64, error) {
	data, err := json.Marshal(s.Change)
	if err != nil || s.ChangeID == "" {
		return 0, result.Errorf(result.BadConfiguration, "a change needs an ID and content: %v", err)
	}
	uncertain := uint64(0)
	var last error
	for n := range submitAttempts {
		if n > 0 && !task.Sleep(ctx, time.Duration(n)*submitPause/submitAttempts) {
			break
		}
		revision, err := c.trySubmit(ctx, s, digest(data), uncertain)
		var refused *result.Error
		if err == nil || errors.As(err, &refused) {
			return revision, err
		}
		if errors.Is(err, consul.ErrOutcomeUnknown) && revision > 0 {
			uncertain = revision
		}
		last = err
		if uncertain == 0 && n+1 >= unreachableAttempts && !errors.Is(err, errRaced) {
			break
		}
	}
	switch {
	case uncertain > 0:
		return 0, result.Errorf(result.ChangeUnknown, "change %s may stand at revision %d; submit it again under the same ID: %v", s.ChangeID, uncertain, last)
	case errors.Is(last, errRaced):
		return 0, result.Errorf(result.Conflict, "the configuration changed %d times meanwhile; submit again", submitAttempts)
	default:
		return 0, result.Errorf(result.PlatformDown, "%v", last)
	}
}

// trySubmit returns the revision that holds the change, or the one that may hold it with ErrOutcomeUnknown.
// uncertain is a revision that an earlier try may have written, or 0.
func (c *Controller) trySubmit(ctx context.Context, s Submission, changeDigest string, uncertain uint64) (uint64, error) {
	b, err := c.loadBase(ctx)
	if err != nil {
		return 0, err
	}
	revision, done, err := Accepted(b.head, s, changeDigest)
	if done || err != nil {
		return revision, err
	}
	if uncertain > 0 && len(b.head.Changes) > 0 && b.head.Changes[0].Revision > uncertain {
		return 0, result.Errorf(result.ChangeUnknown, "change %s may stand at revision %d, which is no longer listed", s.ChangeID, uncertain)
	}
	merged, err := Merge(b.head, b.cfg, s)
	if err != nil && b.head.Revision < max(uncertain, s.BaseRevision) {
		return 0, errRaced // the read was stale, so its refusal proves nothing
	}
	if err != nil {
		return 0, err
	}
	return c.commit(ctx, b, merged, s, changeDigest)
}

// loadBase reads the newest head and its parts. A head that is older than the one in force was reset, and is replaced.
func (c *Controller) loadBase(ctx context.Context) (base, error) {
	held, err := c.Replica(ctx)
	if err != nil {
		return base{}, err
	}
	v, err := c.store.Get(ctx, HeadKey)
	if err != nil {
		return base{}, err
	}
	stored, err := parseHead(v)
	if err != nil {
		return base{}, err
	}
	b := base{version: v.Version, head: newest(stored, held.Head), reset: stored.Revision < held.Head.Revision}
	if b.reset {
		c.log.Info("the platform holds an older configuration; the one in force is written again",
			"platform_revision", stored.Revision, "revision", held.Head.Revision)
	}
	full, err := assemble(ctx, held, b.head, c.fromPlatform)
	if err != nil {
		return base{}, err
	}
	b.cfg = full.Snapshot.Catalog
	return b, nil
}

func parseHead(v consul.Value) (Head, error) {
	var head Head
	if v.Version == 0 {
		return head, nil
	}
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return head, result.Errorf(result.Internal, "configuration head: %v", err)
	}
	return head, nil
}

// commit writes the audit record and the parts, then the head. Parts that fell out of the head are deleted afterwards.
func (c *Controller) commit(ctx context.Context, b base, merged catalog.Configuration, s Submission, changeDigest string) (uint64, error) {
	blobs, err := Split(merged)
	if err != nil {
		return 0, err
	}
	note := ChangeNote{
		ChangeID: s.ChangeID, Author: s.Author, UnixTime: time.Now().Unix(),
		Objects: s.Change.Objects(), ChangeDigest: changeDigest,
	}
	if note.Record, err = c.record(ctx, b, merged, s, note); err != nil {
		return 0, err
	}
	parts := make([]Part, 0, len(blobs))
	for _, p := range blobs {
		parts = append(parts, p.Part)
		if b.head.has(p.Digest) && !b.reset {
			continue
		}
		if err := c.putPart(ctx, p); err != nil {
			return 0, err
		}
	}
	next := advance(b.head, parts, note)
	dropped, err := c.dropped(ctx, b, next)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, result.Errorf(result.Internal, "configuration head: %v", err)
	}
	if len(data) > consul.MaxValueBytes {
		return 0, result.Errorf(result.BadConfiguration, "the head has %d bytes, over the platform's %d", len(data), consul.MaxValueBytes)
	}
	done, err := c.store.CAS(ctx, HeadKey, data, b.version)
	if err != nil {
		return next.Revision, err
	}
	if !done {
		return 0, errRaced
	}
	c.collect(ctx, dropped)
	return next.Revision, nil
}

func (c *Controller) record(ctx context.Context, b base, merged catalog.Configuration, s Submission, n ChangeNote) (string, error) {
	objects, err := audit.Compare(b.cfg, merged, n.Objects)
	if err != nil {
		return "", result.Errorf(result.Internal, "%v", err)
	}
	r := audit.Record{
		Revision: b.head.Revision + 1, BeforeRevision: b.head.Revision, BaseRevision: s.BaseRevision,
		ChangeID: s.ChangeID, Author: s.Author, UnixTime: n.UnixTime, Objects: objects, Previous: b.head.lastRecord(),
	}
	data, id, err := r.Seal()
	if err != nil {
		return "", err
	}
	_, err = c.store.CAS(ctx, audit.Key(id), data, 0)
	return id, err
}

// putPart stores a part. One that exists already is written again, since a new version of its key
// keeps the submitter who dropped it from the head from deleting it.
func (c *Controller) putPart(ctx context.Context, b Blob) error {
	created, err := c.store.CAS(ctx, partPrefix+b.Digest, b.Content, 0)
	if err != nil || created {
		return err
	}
	v, err := c.store.Get(ctx, partPrefix+b.Digest)
	if err != nil {
		return err
	}
	done, err := c.store.CAS(ctx, partPrefix+b.Digest, b.Content, v.Version)
	if err == nil && !done {
		err = errRaced
	}
	return err
}

// dropped returns the parts that the next head leaves out, in their present versions.
func (c *Controller) dropped(ctx context.Context, b base, next Head) ([]consul.Value, error) {
	var list []consul.Value
	for _, p := range b.head.Parts {
		if next.has(p.Digest) || b.reset {
			continue
		}
		v, err := c.store.Get(ctx, partPrefix+p.Digest)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	return list, nil
}

// collect deletes parts that fell out of the head, in the versions that were read before the head was written:
// a submitter that needs one again since then has written it anew.
func (c *Controller) collect(ctx context.Context, dropped []consul.Value) {
	for _, v := range dropped {
		if v.Version == 0 {
			continue
		}
		if _, err := c.store.Delete(ctx, v.Key, v.Version); err != nil {
			c.log.V(1).Info("an old part stays in the platform", "key", v.Key, "error", err.Error())
		}
	}
}

// AuditTrail returns at most limit audit records with a revision above after, oldest first.
func (c *Controller) AuditTrail(ctx context.Context, after uint64, limit int) ([]audit.Record, error) {
	v, err := c.store.Get(ctx, HeadKey)
	if err != nil {
		return nil, result.Errorf(result.PlatformDown, "%v", err)
	}
	head, err := parseHead(v)
	if err != nil {
		return nil, err
	}
	list, err := audit.Read(ctx, c.store, head.lastRecord(), after, limit)
	if err != nil {
		return nil, result.Errorf(result.PlatformDown, "%v", err)
	}
	return list, nil
}
