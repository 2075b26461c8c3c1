package limiter

import "github.com/buckthorngap/buckthorngap/internal/holder"

// Term is the right to lend for one epoch, as long as its Check allows it.
type Term = holder.Fence
