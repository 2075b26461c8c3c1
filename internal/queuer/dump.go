package queuer

// ModelState is the state of the queue of one model, as shown to operators.
type ModelState struct {
	// Model is the model that the requests wait for.
	Model string `json:"model"`
	// Teams are the teams with a queue.
	Teams []TeamState `json:"teams"`
	// Throughput is the number of tokens placed a second while requests wait.
	Throughput float64 `json:"pace"`
}

// TeamState is the state of the queue of one team, as shown to operators.
type TeamState struct {
	// Team is the team.
	Team string `json:"team"`
	// Interactive and Overnight are the numbers of waiting requests.
	Interactive int `json:"interactive"`
	Overnight   int `json:"overnight"`
	// Tokens is the sum of the waiting requests' tokens.
	Tokens int64 `json:"tokens"`
}

// Dump returns a ModelState for each model that requests wait for.
func (q *Queuer) Dump() any {
	states := make([]ModelState, 0)
	for _, mq := range q.list("") {
		if mq.count.Load() > 0 {
			states = append(states, mq.dump())
		}
	}
	return states
}

func (mq *modelQueue) dump() ModelState {
	mq.mu.Lock()
	defer mq.mu.Unlock()
	state := ModelState{
		Model:      mq.model,
		Throughput: mq.throughput.rate(),
	}
	for _, tq := range mq.teams {
		state.Teams = append(state.Teams, TeamState{
			Team:        tq.team,
			Interactive: len(tq.interactive),
			Overnight:   len(tq.overnight),
			Tokens:      tq.tokens,
		})
	}
	return state
}
