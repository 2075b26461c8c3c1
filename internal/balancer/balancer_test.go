package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// share returns how often each option is drawn, over evenly spread random numbers.
func share(options []Option) []float64 {
	const draws = 1000
	shares := make([]float64, len(options))
	for i := range draws {
		shares[Draw(options, (float64(i)+0.5)/draws)] += 1.0 / draws
	}
	return shares
}

func TestDrawFillsTheRoomBelowOneLevel(t *testing.T) {
	for name, test := range map[string]struct {
		times  []float64
		unseen float64
		want   []float64
	}{
		"one": {
			times:  []float64{5},
			unseen: 0,
			want:   []float64{1},
		},
		"fresh": {
			times:  []float64{3, 1, 2},
			unseen: 0,
			want:   []float64{0, 1, 0},
		},
		"aged": {
			times:  []float64{3, 1, 2},
			unseen: 1,
			want:   []float64{1.0 / 12, 7.0 / 12, 4.0 / 12}, // four requests raise all to 10/3
		},
		"alike": {
			times:  []float64{2, 2},
			unseen: 3,
			want:   []float64{0.5, 0.5},
		},
		"out of reach": {
			times:  []float64{100, 1, 1},
			unseen: 1,
			want:   []float64{0, 0.5, 0.5},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			options := make([]Option, len(test.times))
			for i := range options {
				options[i] = Option{
					Time:   test.times[i],
					Step:   1,
					Unseen: test.unseen,
				}
			}
			for i, got := range share(options) {
				is.True(math.Abs(got-test.want[i]) < 0.01) // share
			}
		})
	}
}

func TestLeaveMovesWhatIsTooMuch(t *testing.T) {
	for name, test := range map[string]struct {
		home Option
		best float64
		want float64
	}{
		"home is best": {
			home: Option{
				Time:  3,
				Ahead: 2,
			},
			best: 4,
			want: 0,
		},
		"a quarter too much": {
			home: Option{
				Time:  5,
				Ahead: 4,
			},
			best: 4,
			want: 0.25,
		},
		"nothing of it is load": {
			home: Option{
				Time: 5,
			},
			best: 4,
			want: 0,
		},
		"slower even when empty": {
			home: Option{
				Time:  5,
				Ahead: 1,
			},
			best: 2,
			want: 1,
		},
		"all of it is too much": {
			home: Option{
				Time:  5,
				Ahead: 3,
			},
			best: 2,
			want: 1,
		},
		"reading again is slower": {
			home: Option{
				Time:  5,
				Ahead: 4,
			},
			best: 6,
			want: 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other := Option{
				Time: test.best,
			}
			is.Equal(Leave(test.home, []Option{test.home, other}), test.want)
		})
	}
}

// TestStatementsCountLessWithAge checks that a stated load and pace give way to what is usual, the pace sooner.
func TestStatementsCountLessWithAge(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	var mean Mean
	var e Estimator
	unknown := e.Expect(at, &mean)
	is.Equal(unknown, Estimate{
		Pace: 1,
	})
	is.True(!mean.Paced())
	for range 100 {
		mean.Observe(at, Load{
			Pace: 1,
		}, 2)
	}
	is.True(mean.Paced())
	e.Observe(at, Load{
		Pace: 3,
	}, 12)
	before := e.Expect(at, &mean)
	is.Equal(before.Others, 12.0)
	is.Equal(before.Pace, 3.0)
	is.Equal(before.Unseen, 0.0)
	for _, age := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 10 * time.Second} {
		next := e.Expect(at.Add(age), &mean)
		is.True(next.Others < before.Others && next.Others > 2)
		is.True(next.Pace < before.Pace && next.Pace > 1)
		is.True(next.Unseen > before.Unseen)
		is.True(next.Pace/3 < next.Others/12 || age > time.Second)
		before = next
	}
	e.Observe(at.Add(-time.Second), Load{}, 50)
	is.Equal(e.Expect(at, &mean).Others, 12.0) // older than the last one
	e.Forget()
	is.Equal(math.Round(e.Expect(at, &mean).Others), 2.0)
	is.True(e.Expect(at, &mean).Pace > 1) // the machine is the same
}
