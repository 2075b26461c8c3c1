package runner

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// stream is one request that runs or, after its connection broke, can be resumed.
type stream struct {
	id           string
	chat         bool
	request      Completion
	seed         uint64
	answerTokens int
	promptTokens int
	// cached is set if the prompt's prefix is cached, so that the first token is not delayed by Config.FirstTokenDelay.
	cached    bool
	modelCopy *modelCopy
	ctx       context.Context
	cancel    context.CancelFunc
	// finished is set once the answer was sent completely.
	finished bool
}

// serveCompletion runs a request: it waits for a slot of the engine and sends the answer, or injects a fault.
func (r *Runner) serveCompletion(w http.ResponseWriter, request *http.Request) {
	r.faults.StateLimit(w.Header())
	completion, err := readCompletion(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := r.faults.Take(faulter.Cut); ok {
		panic(http.ErrAbortHandler)
	}
	if fault, ok := r.faults.Take(faulter.Refuse); ok {
		fault.StatePause(w.Header())
		refuse(w, request)
		return
	}
	if _, ok := r.faults.Take(faulter.Fail); ok {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	s, ok := r.register(request, completion)
	if !ok {
		refuse(w, request)
		return
	}
	defer r.release(s)
	if r.slots.acquire(s.ctx, request.Header.Get("X-Priority") == "overnight") != nil {
		return
	}
	defer r.slots.release()
	if r.faults.Deadly(completion.Text()) {
		r.Die()
		panic(http.ErrAbortHandler)
	}
	r.respond(w, request, s, 0)
}

// register assigns a request to the ready copy that will run it. It returns
// false if there is none or the engine is leaving.
func (r *Runner) register(request *http.Request, completion Completion) (*stream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target := r.readyCopy(completion.Model)
	if target == nil || r.leaving {
		return nil, false
	}
	text := completion.Text()
	s := &stream{
		id:           request.Header.Get("X-Request-Id"),
		chat:         request.URL.Path == "/v1/chat/completions",
		request:      completion,
		seed:         Seed(completion.Model, text),
		answerTokens: completion.Tokens(),
		promptTokens: promptTokens(text),
		cached:       r.cache.touch(completion.CacheKey),
		modelCopy:    target,
	}
	s.ctx, s.cancel = context.WithCancel(request.Context())
	context.AfterFunc(r.startContext, s.cancel)
	target.running++
	r.streams[s.id] = s
	return s, true
}

// readyCopy returns a ready copy that serves the checkpoint or adapter, or nil. The caller holds the lock.
func (r *Runner) readyCopy(model string) *modelCopy {
	if target, ok := r.copies[model]; ok && target.state == reporter.CopyReady {
		return target
	}
	for _, target := range r.copies {
		if _, ok := target.adapters[model]; ok && target.state == reporter.CopyReady {
			return target
		}
	}
	return nil
}

// release ends a request's use of its copy, and removes the copy if it is
// unloading and no other request uses it. An unfinished request is kept for a
// resume; beyond Config.Resumes the oldest is dropped.
func (r *Runner) release(s *stream) {
	s.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	s.modelCopy.running--
	if s.modelCopy.running == 0 && s.modelCopy.state == reporter.CopyUnloading {
		r.removeCopy(s.modelCopy)
	}
	if s.finished {
		delete(r.streams, s.id)
		return
	}
	r.resumable = append(r.resumable, s.id)
	if len(r.resumable) > r.config.Resumes {
		delete(r.streams, r.resumable[0])
		r.resumable = r.resumable[1:]
	}
}

// respond generates and sends the tokens of an answer that follow the first
// `after` ones, and adds the request to the journal. It injects the faults Lost
// and Slow.
func (r *Runner) respond(w http.ResponseWriter, request *http.Request, s *stream, after int) {
	entry := Request{
		ID:         s.id,
		Model:      s.request.Model,
		Checkpoint: s.modelCopy.checkpoint,
		Prompt:     s.promptTokens,
		Hit:        s.cached,
		Resumed:    after > 0,
		End:        EndBroken,
		Metadata:   recorder.ReadMetadata(request),
	}
	defer func() {
		if entry.End != EndDone {
			r.journal.Add(entry)
		}
	}()
	if !s.cached && sleep(s.ctx, r.config.FirstTokenDelay) != nil {
		entry.End = EndCancelled
		return
	}
	e := r.newEncoder(w, s)
	lostFault, lostArmed := r.faults.Take(faulter.Lost)
	slowFault, slowArmed := r.faults.Take(faulter.Slow)
	for n := after; n < s.answerTokens; n++ {
		if lostArmed && entry.Tokens >= lostFault.After {
			panic(http.ErrAbortHandler)
		}
		delay := r.config.TokenInterval
		if slowArmed {
			delay = slowFault.Duration()
		}
		if n > after && sleep(s.ctx, delay) != nil || s.ctx.Err() != nil {
			entry.End = EndCancelled
			panic(http.ErrAbortHandler)
		}
		e.writeToken(n)
		entry.Tokens++
	}
	// The entry precedes the last bytes, so that whoever has read the answer finds it in the journal.
	entry.End = EndDone
	r.journal.Add(entry)
	e.finish()
	s.finished = true
}

// serveCancel cancels a request if it still runs, and makes it impossible to resume.
func (r *Runner) serveCancel(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.streams[request.PathValue("id")]; ok {
		s.cancel()
		delete(r.streams, s.id)
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveResume sends the rest of a broken stream after the number of tokens that
// the client has received. It answers 410 if the request or its copy is gone.
func (r *Runner) serveResume(w http.ResponseWriter, request *http.Request) {
	r.faults.StateLimit(w.Header())
	after, err := strconv.Atoi(request.URL.Query().Get("after"))
	r.mu.Lock()
	s, ok := r.streams[request.PathValue("id")]
	if err != nil || !ok || after < 0 || after > s.answerTokens || r.copies[s.modelCopy.checkpoint] != s.modelCopy {
		r.mu.Unlock()
		http.Error(w, "request is gone", http.StatusGone)
		return
	}
	s.cancel()
	rest := *s
	rest.cached = true
	rest.ctx, rest.cancel = context.WithCancel(request.Context())
	context.AfterFunc(r.startContext, rest.cancel)
	rest.modelCopy.running++
	r.streams[rest.id] = &rest
	r.mu.Unlock()
	defer r.release(&rest)
	if r.slots.acquire(rest.ctx, false) != nil {
		return
	}
	defer r.slots.release()
	r.respond(w, request, &rest, after)
}

// created returns the time for the "created" field of answers.
func (r *Runner) created() time.Time { return r.config.Now() }
