package endpoint

import "cornelmux/internal/peer"

// Fingerprints identify a request at several widths, to tell which part of it crashes endpoints. They are hashes; 0 is none. Requests
// with one path and other queries are told apart by the narrow ones; those that have another query each time, such as a time stamp, are
// recognized by the wide ones.
type Fingerprints struct {
	// Path is of the client account, the path, the body and the prompt's shared blocks.
	Path uint64
	// Target is of the same with the query, which may be empty; 0 if it isn't known.
	Target uint64
	// Parameters are of the client account, the path and one parameter of the query each.
	Parameters peer.Parameters
}

// Whole returns the fingerprint of the whole request.
func (f *Fingerprints) Whole() uint64 {
	if f.Target != 0 {
		return f.Target
	}
	return f.Path
}

// All returns all fingerprints.
func (f *Fingerprints) All() []uint64 {
	all := f.Parameters.List()
	if f.Target != 0 {
		all = append(all, f.Target)
	}
	return append(all, f.Path)
}
