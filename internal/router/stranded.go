package router

import "slices"

// Stranded reports whether no upstream could run a request now, but some in a failure domain that is evacuated could otherwise. An
// empty domain means any.
func (r *Router) Stranded(need Need, domain string) bool {
	current := r.index.Load()
	if len(current.accepting.candidates(&need)) > 0 {
		return false
	}
	return slices.ContainsFunc(current.evacuated.candidates(&need), func(u *upstream) bool {
		return domain == "" || *u.domain.Load() == domain
	})
}
