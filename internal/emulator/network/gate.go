package network

import (
	"runtime"
	"sync"
	"time"
)

// Gate emulates the suspension and death of a process. The code of an emulated
// process calls Wait, or Now, around every external effect. While the gate is
// frozen these calls block, as after SIGSTOP; once it is killed, they end the
// calling goroutine.
type Gate struct {
	lock   sync.Mutex
	frozen chan struct{}
	killed bool
}

// Freeze makes Wait block until Thaw or Kill.
func (g *Gate) Freeze() {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.frozen == nil && !g.killed {
		g.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (g *Gate) Thaw() {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// Kill makes every current and later call of Wait end its goroutine.
func (g *Gate) Kill() {
	g.lock.Lock()
	g.killed = true
	g.lock.Unlock()
	g.Thaw()
}

// Killed reports whether Kill was called.
func (g *Gate) Killed() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.killed
}

// Wait returns as soon as the gate is not frozen. If the gate is killed, it ends
// the calling goroutine instead.
func (g *Gate) Wait() {
	for {
		g.lock.Lock()
		frozen, killed := g.frozen, g.killed
		g.lock.Unlock()
		if killed {
			runtime.Goexit()
		}
		if frozen == nil {
			return
		}
		<-frozen
	}
}

// Now is the clock of the emulated process: it returns the time after Wait.
func (g *Gate) Now() time.Time {
	g.Wait()
	return time.Now()
}
