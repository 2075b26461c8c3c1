package limiter

import "github.com/buckthorngap/buckthorngap/internal/holder"

// Term is the right to lend, as long as its Check allows.
type Term = holder.Fence
