package configuration

import (
	"slices"
	"strings"

	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	maxKeptChanges   = 256
	maxKeptBytes     = 32 << 10
	maxListedObjects = 100
	noteBytes        = 300
	objectBytes      = 4
)

// Submission is a change that an operator or a VM sends.
type Submission struct {
	ChangeID string
	Author   string
	// BaseRevision is the revision that the change was made from; 0 means before the first.
	BaseRevision uint64
	Change       catalog.Change
}

// Accepted returns the revision that already holds the change, if it was accepted before.
// The error is a *result.Error: Conflict where the ID names another change.
func Accepted(head Head, s Submission, changeDigest string) (uint64, bool, error) {
	i := slices.IndexFunc(head.Changes, func(n ChangeNote) bool { return n.ChangeID == s.ChangeID })
	if i < 0 {
		return 0, false, nil
	}
	n := head.Changes[i]
	if n.ChangeDigest != changeDigest {
		return 0, false, result.Errorf(result.Conflict, "change ID %s names another change, by %s at revision %d; take a new ID", n.ChangeID, n.Author, n.Revision)
	}
	return n.Revision, true, nil
}

// Merge applies a submission to the newest configuration, or fails where a later change touched the same objects.
// A withdrawal conflicts with nothing, so that it wins over any concurrent change.
// The error is a *result.Error: Conflict or BadConfiguration.
func Merge(head Head, cfg catalog.Configuration, s Submission) (catalog.Configuration, error) {
	if s.BaseRevision > head.Revision {
		return cfg, result.Errorf(result.Conflict, "the change was made from revision %d, but the newest is %d", s.BaseRevision, head.Revision)
	}
	if contested := contestedObjects(s.Change); len(contested) > 0 {
		if err := findConflict(head, s.BaseRevision, contested); err != nil {
			return cfg, err
		}
	}
	merged, err := s.Change.Apply(cfg)
	if err != nil {
		return cfg, result.Errorf(result.BadConfiguration, "%v", err)
	}
	return merged, nil
}

// contestedObjects names what the change touches, without the versions that it withdraws.
func contestedObjects(ch catalog.Change) []string {
	ch.Set.Withdrawals = nil
	return ch.Objects()
}

func findConflict(head Head, base uint64, objects []string) error {
	if len(head.Changes) > 0 && base+1 < head.Changes[0].Revision {
		return result.Errorf(result.Conflict, "changes after revision %d are no longer listed; submit again from revision %d", base, head.Revision)
	}
	for _, n := range head.Changes {
		if n.Revision <= base {
			continue
		}
		if n.Wide {
			return result.Errorf(result.Conflict, "change %s by %s touched many objects at revision %d; submit again from it", n.ChangeID, n.Author, n.Revision)
		}
		for _, o := range n.Objects {
			if slices.Contains(objects, o) {
				return result.Errorf(result.Conflict, "change %s by %s set %s at revision %d", n.ChangeID, n.Author, o, n.Revision)
			}
		}
	}
	return nil
}

// advance makes the head after an accepted change; the oldest notes are cut to keep it small.
func advance(head Head, parts []Part, n ChangeNote) Head {
	n.Revision = head.Revision + 1
	if len(n.Objects) > maxListedObjects {
		n.Objects, n.Wide = nil, true
	}
	notes := append(slices.Clone(head.Changes), n)
	size := 0
	first := len(notes)
	for first > 0 && len(notes)-first < maxKeptChanges {
		size += noteSize(notes[first-1])
		if size > maxKeptBytes && first < len(notes) {
			break
		}
		first--
	}
	return Head{Revision: n.Revision, Parts: parts, Changes: notes[first:]}
}

func noteSize(n ChangeNote) int {
	return noteBytes + len(n.ChangeID) + len(n.Author) + len(strings.Join(n.Objects, "")) + objectBytes*len(n.Objects)
}

// Advances reports whether a VM that holds one head may take another: only a higher revision is newer.
func Advances(held, offered Head) bool { return offered.Revision > held.Revision }

// Contradicts reports whether two heads claim the same revision with different content.
func Contradicts(held, offered Head) bool {
	return held.Revision != 0 && offered.Revision == held.Revision && !offered.SameContent(held)
}

// newest returns the head with the higher revision; the platform may answer with an older one after a reset.
func newest(platformHead, held Head) Head {
	if held.Revision > platformHead.Revision {
		return held
	}
	return platformHead
}
