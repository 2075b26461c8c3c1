package sharemeter

import "sync"

// teamResult counts the outcomes of one team's requests.
type teamResult struct {
	team     team
	mutex    sync.Mutex
	offered  int
	answered int
	// refused counts refusals for the rate, otherRefused those for other reasons, such as
	// the deadline or missing capacity; failed counts requests without a response.
	refused      int
	otherRefused int
	failed       int
	// usedTokens is the number of tokens that the engines used for the team's requests.
	usedTokens int
}
