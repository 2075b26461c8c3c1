package forwarder

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/router"
)

const (
	// maxPause is the longest time for which an upstream is believed to want no requests.
	maxPause = time.Hour
	// unreadPause is used if an upstream states a time that cannot be read.
	unreadPause = time.Second
)

// ParsePause decodes the seconds for which an upstream wants no requests, a decimal number that is not negative. It returns
// false for any other text and for a longer time than maxPause, with the time that is used instead.
func ParsePause(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil && !math.IsInf(seconds, 0) || math.IsNaN(seconds):
		return unreadPause, false
	case seconds < 0:
		return 0, false
	case seconds > maxPause.Seconds():
		return maxPause, false
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

// observePause stops requests to an upstream that turned one away, if the answer states for how long.
func (f *Forwarder) observePause(choice *router.Choice, text string) {
	if text == "" {
		return
	}
	pause, exact := ParsePause(text)
	if pause == 0 || !choice.ObservePause(f.config.Now().Add(pause)) || f.config.Log == nil {
		return
	}
	f.config.Log.WithFields(logrus.Fields{
		"upstream": choice.Upstream,
		"pause":    pause,
		"exact":    exact,
		"stated":   text[:min(len(text), maxStated)],
	}).Info("upstream.paused")
}

// maxStated limits the text of an upstream in a log line.
const maxStated = 40
