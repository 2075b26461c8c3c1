// Package queuer queues requests for each model within bounds: fair between teams by tokens, earliest
// deadline first within a team, interactive before overnight. Every waiting request is answered by its
// deadline.
package queuer
