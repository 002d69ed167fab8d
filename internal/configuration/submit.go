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
	// submitAttempts is the maximum number of attempts at one submission.
	submitAttempts = 16
	// unreachableAttempts is the maximum number of attempts while the platform can't be reached and nothing may have
	// been written.
	unreachableAttempts = 3
	// maxSubmitPause bounds the pause between attempts, which grows with each.
	maxSubmitPause = 200 * time.Millisecond
)

// base is the configuration that a submission is merged into.
type base struct {
	// version is the version of the head key in the platform, which the write of the next head expects.
	version uint64
	head    Head
	cfg     catalog.Configuration
	// reset says that the platform holds an older head than this one, and may lack parts of this one.
	reset bool
}

// errConcurrentWrite reports that another submitter wrote first or that the platform's answer was stale.
var errConcurrentWrite = errors.New("another change was written first")

// Submit merges a change into the newest configuration and returns the revision that holds it. After a lost answer of
// the platform it reads the head again to find out whether the change was stored.
// The error is a *result.Error with Conflict, BadConfiguration, PlatformDown or ChangeUnknown.
// Operators' commands call it, and a VM that proposes a rollout's step or halt.
func (c *Controller) Submit(ctx context.Context, s Submission) (uint64, error) {
	data, err := json.Marshal(s.Change)
	if err != nil || s.ChangeID == "" {
		return 0, result.Errorf(result.BadConfiguration, "a change needs an ID and content: %v", err)
	}
	uncertainRevision := uint64(0)
	var last error
	for n := range submitAttempts {
		if n > 0 && !task.Sleep(ctx, time.Duration(n)*maxSubmitPause/submitAttempts) {
			break
		}
		revision, err := c.trySubmit(ctx, s, digest(data), uncertainRevision)
		var refused *result.Error
		if err == nil || errors.As(err, &refused) {
			return revision, err
		}
		if errors.Is(err, consul.ErrOutcomeUnknown) && revision > 0 {
			uncertainRevision = revision
		}
		last = err
		if uncertainRevision == 0 && n+1 >= unreachableAttempts && !errors.Is(err, errConcurrentWrite) {
			break
		}
	}
	switch {
	case uncertainRevision > 0:
		return 0, result.Errorf(result.ChangeUnknown, "change %s may have been stored as revision %d; submit it again under the same ID: %v", s.ChangeID, uncertainRevision, last)
	case errors.Is(last, errConcurrentWrite):
		return 0, result.Errorf(result.Conflict, "the configuration changed %d times meanwhile; submit again", submitAttempts)
	default:
		return 0, result.Errorf(result.PlatformDown, "%v", last)
	}
}

// trySubmit makes one attempt at a submission and returns the revision that holds the change, or the one that may hold
// it together with ErrOutcomeUnknown. uncertainRevision is the revision that an earlier attempt may have written, or 0.
// Submit calls it.
func (c *Controller) trySubmit(ctx context.Context, s Submission, changeDigest string, uncertainRevision uint64) (uint64, error) {
	b, err := c.loadBase(ctx)
	if err != nil {
		return 0, err
	}
	revision, done, err := Accepted(b.head, s, changeDigest)
	if done || err != nil {
		return revision, err
	}
	if uncertainRevision > 0 && len(b.head.Changes) > 0 && b.head.Changes[0].Revision > uncertainRevision {
		return 0, result.Errorf(result.ChangeUnknown, "change %s may have been stored as revision %d, which is no longer listed", s.ChangeID, uncertainRevision)
	}
	merged, err := Merge(b.head, b.cfg, s)
	if err != nil && b.head.Revision < max(uncertainRevision, s.BaseRevision) {
		return 0, errConcurrentWrite // the read was stale, so the conflict may not be real
	}
	if err != nil {
		return 0, err
	}
	return c.commit(ctx, b, merged, s, changeDigest)
}

// loadBase reads the platform's head and its parts. If the platform lost data and its head is older than the one
// in force here, the latter is the base and will replace it. trySubmit calls it first.
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
		c.log.Info("platform holds an older configuration, writing the current one again",
			"platform_revision", stored.Revision, "revision", held.Head.Revision)
	}
	full, err := assemble(ctx, held, b.head, c.fromPlatform)
	if err != nil {
		return base{}, err
	}
	b.cfg = full.Snapshot.Catalog
	return b, nil
}

// parseHead decodes the value of the head key; the head of a missing key is empty.
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

// commit writes the audit record and the parts, then the head, whose write makes the change take effect.
// Parts that the new head no longer refers to are deleted afterwards. It returns the new revision, also with an error
// if the write of the head may have succeeded. trySubmit calls it last.
func (c *Controller) commit(ctx context.Context, b base, merged catalog.Configuration, s Submission, changeDigest string) (uint64, error) {
	blobs, err := Split(merged)
	if err != nil {
		return 0, err
	}
	summary := ChangeSummary{
		ChangeID: s.ChangeID, Author: s.Author, UnixTime: time.Now().Unix(),
		Objects: s.Change.Objects(), ChangeDigest: changeDigest,
	}
	if summary.Record, err = c.writeAuditRecord(ctx, b, merged, s, summary); err != nil {
		return 0, err
	}
	parts := make([]Part, 0, len(blobs))
	for _, p := range blobs {
		parts = append(parts, p.Part)
		if b.head.hasPart(p.Digest) && !b.reset {
			continue
		}
		if err := c.putPart(ctx, p); err != nil {
			return 0, err
		}
	}
	next := nextHead(b.head, parts, summary)
	dropped, err := c.droppedParts(ctx, b, next)
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
		return 0, errConcurrentWrite
	}
	c.deleteParts(ctx, dropped)
	return next.Revision, nil
}

// writeAuditRecord stores the audit record of a change and returns its digest. commit calls it before it writes the parts.
// The record becomes part of the trail only when the head that names it is written.
func (c *Controller) writeAuditRecord(ctx context.Context, b base, merged catalog.Configuration, s Submission, n ChangeSummary) (string, error) {
	objects, err := audit.Compare(b.cfg, merged, n.Objects)
	if err != nil {
		return "", result.Errorf(result.Internal, "%v", err)
	}
	r := audit.Record{
		Revision: b.head.Revision + 1, BeforeRevision: b.head.Revision, BaseRevision: s.BaseRevision,
		ChangeID: s.ChangeID, Author: s.Author, UnixTime: n.UnixTime, Objects: objects, Previous: b.head.lastRecord(),
	}
	data, id, err := r.Encode()
	if err != nil {
		return "", err
	}
	_, err = c.store.CAS(ctx, audit.Key(id), data, 0)
	return id, err
}

// putPart stores a part. An existing part is written again, since the key's new version prevents
// a submitter whose head dropped the part from deleting it. commit calls it for each part that the base's head lacks,
// or for all if the platform holds an older head.
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
		err = errConcurrentWrite
	}
	return err
}

// droppedParts returns the parts that the next head no longer refers to, with their current versions. commit calls it
// before it writes the head.
func (c *Controller) droppedParts(ctx context.Context, b base, next Head) ([]consul.Value, error) {
	var list []consul.Value
	for _, p := range b.head.Parts {
		if next.hasPart(p.Digest) || b.reset {
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

// deleteParts deletes dropped parts that are still at the version read before the head was written. A part that another
// submitter needs again has a new version since, and stays. commit calls it after the head is written; a part that it
// fails to delete stays in the platform.
func (c *Controller) deleteParts(ctx context.Context, dropped []consul.Value) {
	for _, v := range dropped {
		if v.Version == 0 {
			continue
		}
		if _, err := c.store.Delete(ctx, v.Key, v.Version); err != nil {
			c.log.V(1).Info("old configuration part not deleted", "key", v.Key, "error", err.Error())
		}
	}
}

// AuditTrail returns at most limit audit records with a revision above after, oldest first; it leaves out the oldest ones
// beyond the limit. The control service calls it for operators. The error is a *result.Error with PlatformDown, or with
// Internal if the head can't be decoded.
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
