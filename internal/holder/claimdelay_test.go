package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClaimsAfterARestartAreSpread guards against a burst of claims after a restart of all
// instances, which do not know yet which of them are preferred: with few instances each claims again
// soon, and with many about as many claim in each period as would if they knew each other.
func TestClaimsAfterARestartAreSpread(t *testing.T) {
	is := is.New(t)
	started := time.Unix(1000, 0)
	const lease = 3500 * time.Millisecond
	period := lease / renewalsPerLease / 2
	for listed, wait := range map[int]time.Duration{
		0:   period,
		3:   period,
		12:  3 * period,
		59:  lease,
		300: lease,
	} {
		d := newDuty(&Holder{
			started: started,
			config: Config{
				Lease:  lease,
				Now:    func() time.Time { return started },
				Listed: func() int { return listed },
			},
		}, testDuty)
		d.delayNextClaim()
		is.Equal(d.claimAt, started.Add(wait))
		d.holder.config.Now = func() time.Time { return started.Add(time.Minute) }
		d.delayNextClaim()
		is.True(!d.claimAt.After(started.Add(lease))) // long after the start no claim is delayed
	}
}
