package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamCount is the number of streams that are broken, and of new ones that are compared with them.
	streamCount = 24
	// streamEvents and streamStep set how long a stream takes.
	streamEvents = 70
	streamStep   = 250 * time.Millisecond
	// streamLimit is the clients' time limit.
	streamLimit = 25 * time.Second
	// downTime is how long the killed processes stay down.
	downTime = time.Second
)

// reader is a client that reads one stream and takes it up again after its channel has broken.
type reader struct {
	site   *site
	number int
	// first is the attempt that brought the first event.
	first string
	began time.Time
	// seen are the versions that wrote the events so far.
	seen map[string]bool
	last int
	// taken is set once a machine in touch was asked to go on, and went once one did.
	taken, went bool
}

func (c *reader) try(id string, front *front, left time.Duration) try {
	t := try{
		front: front, id: id, method: http.MethodPost, target: fmt.Sprintf("/night/%d", c.number), limit: left, body: "prompt",
		header: map[string]string{
			"Model": modelName, "Token-Count": "100,280", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:60,%x:40", 0x91bd0000+c.number),
		},
	}
	if c.last > 0 {
		t.header["Last-Event-Id"] = strconv.Itoa(c.last)
		t.header["Resumes"] = c.first
	}
	return t
}

// take adds the events of an outcome.
func (c *reader) take(id string, o outcome) bool {
	for number, text := range o.events {
		version, _, _ := strings.Cut(text, " ")
		c.seen[version] = true
		c.last = max(c.last, number)
	}
	if c.first == "" && len(o.events) > 0 {
		c.first = id
	}
	return len(o.events) > 0
}

// begin reads the stream until its channel breaks or the context ends.
func (c *reader) begin(ctx context.Context, front *front) {
	id := newID()
	c.began = time.Now()
	t := c.try(id, front, streamLimit)
	c.take(id, t.send(ctx, c.site.record))
}

// goOn takes the stream up once a second until it goes on or the time limit comes near.
func (c *reader) goOn() {
	for attempt := 1; time.Since(c.began) < streamLimit-5*time.Second; attempt++ {
		f := c.site.fronts[(c.number+attempt)%len(c.site.fronts)]
		inTouch := f.upFor(time.Now()) > stableTime
		id := newID()
		t := c.try(id, f, streamLimit-time.Since(c.began))
		o := t.send(context.Background(), c.site.record)
		c.taken = c.taken || inTouch
		if c.take(id, o) {
			c.went = c.went || inTouch
			return
		}
		time.Sleep(time.Second)
	}
}

func init() { cases["streams"] = playStreams }

// playStreams lets many streams break at once while engines of two software versions serve, and has the clients take them up.
// With the trouble, all instances are killed; without it, the clients' channels break alone.
func playStreams(s *site) (bool, error) {
	s.store.put("op/config", configuration(7))
	for number := range 6 {
		err := s.addEngine(&engine{
			id: fmt.Sprintf("i-%d", number+1), zone: zones[number%3], version: fmt.Sprintf("v%d", 1+number%2), service: modelService,
			answer: func(e *engine, w http.ResponseWriter, r *http.Request) { e.stream(w, r, streamEvents, streamStep) },
		})
		if err != nil {
			return false, err
		}
	}
	if err := s.startFronts(6); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second) // both versions are in use by now
	ctx, breakChannels := context.WithCancel(context.Background())
	readers, group := make([]*reader, streamCount), sync.WaitGroup{}
	for number := range readers {
		readers[number] = &reader{
			site: s, number: number, seen: map[string]bool{},
		}
		group.Go(func() { readers[number].begin(ctx, s.fronts[number%len(s.fronts)]) })
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.record.note("all instances are killed")
		for _, f := range s.fronts {
			f.holdDown(true)
			f.signal(syscall.SIGKILL)
		}
		time.AfterFunc(downTime, func() {
			for _, f := range s.fronts {
				f.holdDown(false)
			}
		})
	} else {
		s.record.note("the clients' channels break")
		breakChannels()
	}
	group.Wait()
	breakChannels()
	for _, c := range readers {
		group.Go(c.goOn)
	}
	began := make([]bool, streamCount)
	time.Sleep(downTime + stableTime + time.Second)
	for number := range began {
		group.Go(func() {
			c := &reader{
				site: s, number: 100 + number, seen: map[string]bool{},
			}
			c.begin(context.Background(), s.fronts[number%len(s.fronts)])
			began[number] = c.first != ""
		})
	}
	group.Wait()
	return judgeStreams(s, readers, began), nil
}

// judgeStreams applies the rules LOST and ORDER.
func judgeStreams(s *site, readers []*reader, began []bool) bool {
	taken, went, versions, mixed := 0, 0, map[string]int{}, 0
	for _, c := range readers {
		if len(c.seen) > 1 {
			mixed++
		}
		for version := range c.seen {
			versions[version]++
		}
		if c.taken {
			taken++
		}
		if c.taken && c.went {
			went++
		}
	}
	begun := 0
	for _, ok := range began {
		if ok {
			begun++
		}
	}
	s.record.note("streams by version %v, with events of two versions %d", versions, mixed)
	s.record.note("taken up at machines in touch %d, of which %d went on; new streams %d, of which %d began", taken, went, len(began), begun)
	shareOn, shareNew := float64(went)/float64(max(1, taken)), float64(begun)/float64(len(began))
	return mixed > 2 || taken >= 12 && shareOn < shareNew/2
}
