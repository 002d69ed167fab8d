package configuration

import (
	"slices"
	"strings"

	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	// maxSummaries and maxSummaryBytes bound the changes that a head lists, by their number and by their estimated
	// JSON.
	maxSummaries    = 256
	maxSummaryBytes = 32 << 10
	// maxListedObjects is the maximum number of objects that a change lists.
	maxListedObjects = 100
	// summaryOverhead and objectOverhead are the bytes of JSON around the texts of a summary and of an object's name.
	summaryOverhead = 300
	objectOverhead  = 4
)

// Submission is a change submitted by an operator or a VM.
type Submission struct {
	ChangeID string
	Author   string
	// BaseRevision is the revision that the change is based on; 0 means an empty configuration.
	BaseRevision uint64
	Change       catalog.Change
}

// Accepted reports whether the head lists the change as accepted, and its revision. trySubmit calls it before Merge.
// The error is a *result.Error with Conflict if the ID belongs to another change.
func Accepted(head Head, s Submission, changeDigest string) (uint64, bool, error) {
	i := slices.IndexFunc(head.Changes, func(n ChangeSummary) bool { return n.ChangeID == s.ChangeID })
	if i < 0 {
		return 0, false, nil
	}
	n := head.Changes[i]
	if n.ChangeDigest != changeDigest {
		return 0, false, result.Errorf(result.Conflict, "change ID %s names another change, by %s at revision %d; take a new ID", n.ChangeID, n.Author, n.Revision)
	}
	return n.Revision, true, nil
}

// Merge applies a submission to the newest configuration. It fails if a change after the base revision touched the same
// objects. A withdrawal conflicts with nothing, so that it prevails over any concurrent change.
// The error is a *result.Error with Conflict or BadConfiguration. trySubmit calls it.
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

// contestedObjects returns the names of the objects that the change touches, except withdrawals that it adds.
func contestedObjects(ch catalog.Change) []string {
	ch.Set.Withdrawals = nil
	return ch.Objects()
}

// findConflict returns a Conflict error if a change after the base revision touched one of the objects, or if that
// can't be told because the head no longer lists all of those changes or their objects. Merge calls it.
func findConflict(head Head, base uint64, objects []string) error {
	if len(head.Changes) > 0 && base+1 < head.Changes[0].Revision {
		return result.Errorf(result.Conflict, "changes after revision %d are no longer listed; submit again from revision %d", base, head.Revision)
	}
	for _, n := range head.Changes {
		if n.Revision <= base {
			continue
		}
		if n.ManyObjects {
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

// nextHead returns the head after an accepted change. It drops the oldest summaries beyond maxSummaries and maxSummaryBytes.
// commit calls it.
func nextHead(head Head, parts []Part, n ChangeSummary) Head {
	n.Revision = head.Revision + 1
	if len(n.Objects) > maxListedObjects {
		n.Objects, n.ManyObjects = nil, true
	}
	summaries := append(slices.Clone(head.Changes), n)
	size := 0
	first := len(summaries)
	for first > 0 && len(summaries)-first < maxSummaries {
		size += summarySize(summaries[first-1])
		if size > maxSummaryBytes && first < len(summaries) {
			break
		}
		first--
	}
	return Head{Revision: n.Revision, Parts: parts, Changes: summaries[first:]}
}

// summarySize estimates the bytes of the summary's JSON.
func summarySize(n ChangeSummary) int {
	return summaryOverhead + len(n.ChangeID) + len(n.Author) + len(strings.Join(n.Objects, "")) + objectOverhead*len(n.Objects)
}

// IsNewer reports whether the offered head has a higher revision than the one held.
func IsNewer(held, offered Head) bool { return offered.Revision > held.Revision }

// Contradicts reports whether two heads have the same revision but different content.
func Contradicts(held, offered Head) bool {
	return held.Revision != 0 && offered.Revision == held.Revision && !offered.SameContent(held)
}

// newest returns the head with the higher revision. The platform may hold an older one after it lost data.
func newest(platformHead, held Head) Head {
	if held.Revision > platformHead.Revision {
		return held
	}
	return platformHead
}
