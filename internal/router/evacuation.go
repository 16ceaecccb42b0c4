package router

// SetEvacuated replaces the set of failure domains whose workers get no calls.
func (r *Router) SetEvacuated(domains map[string]bool) {
	r.evacuated.Store(&domains)
}

// inUse returns the workers outside of evacuated failure domains.
func (r *Router) inUse(all []*Target) []*Target {
	domains := r.evacuated.Load()
	if domains == nil || len(*domains) == 0 {
		return all
	}
	out := make([]*Target, 0, len(all))
	for _, t := range all {
		if !(*domains)[t.Domain] {
			out = append(out, t)
		}
	}
	return out
}
