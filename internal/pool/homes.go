package pool

// inHomes reports whether the endpoint is in a region in which the run may be served. An endpoint whose zone has no known region is in
// no home. eligible calls it, so that it binds every path that sends.
func (r *Record) inHomes(q *Query) bool {
	return !q.Homes.Limited || (r.Region != "" && q.Homes.Has(r.Region))
}

// hasHome reports whether the directory lists an endpoint of the service in a region in which the run may be served, though it may be
// down or leaving. Choose calls it if no endpoint is left.
func (t *Table) hasHome(q *Query) bool {
	if !q.Homes.Limited {
		return true
	}
	for _, r := range t.services[q.Service] {
		if !r.withdrawn && r.inHomes(q) {
			return true
		}
	}
	return false
}
