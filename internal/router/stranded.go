package router

// Stranded reports whether all upstreams that could run a request now are in evacuated failure domains.
func (r *Router) Stranded(need Need) bool {
	current := r.index.Load()
	return len(current.accepting.candidates(&need)) == 0 && len(current.evacuated.candidates(&need)) > 0
}
