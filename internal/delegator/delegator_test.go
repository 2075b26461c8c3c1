package delegator

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// site is a Delegator of instance "self" in domain "a", with the calls that it makes.
type site struct {
	*Delegator
	holds bool
	owner string
	// answers are the answers of peers by name; an empty one fails.
	answers map[string]string
	// called lists the peers that were called, with "+" if they must not pass the request on.
	called []string
}

func newSite(members ...string) *site {
	s := &site{
		answers: map[string]string{},
	}
	s.Delegator = New(Config{
		Self: messenger.Sender{
			Name:   "self",
			Domain: "a",
		},
		Topic: "topic",
		Term: func(string) (holder.Fence, bool) {
			return holder.Fence{}, s.holds
		},
		Owner: func(string) (messenger.Peer, uint64, bool) {
			return messenger.Peer{
				Name: s.owner,
			}, 1, s.owner != ""
		},
		LiveMembers: func(string) []tracker.Member {
			var listed []tracker.Member
			for _, name := range members {
				listed = append(listed, tracker.Member{
					Peer: messenger.Peer{
						Name: name,
					},
				})
			}
			return listed
		},
		Call: func(_ context.Context, to messenger.Peer, _ string, payload []byte) ([]byte, error) {
			s.called = append(s.called, to.Name+string(payload))
			if s.answers[to.Name] == "" {
				return nil, &NoHolder{
					Duty: "x",
				}
			}
			return []byte(s.answers[to.Name]), nil
		},
	})
	return s
}

// request returns a request to the holder of a duty of a domain.
func request(domain string) Request {
	return Request{
		Domain: domain,
		Duty:   "duty/1",
		Number: 1,
		Encode: func(forwarded bool) ([]byte, error) {
			if forwarded {
				return []byte("+"), nil
			}
			return nil, nil
		},
		Refused: func(answer []byte) bool { return string(answer) == "no" },
		Serve:   func(context.Context, holder.Fence) ([]byte, error) { return []byte("served"), nil },
	}
}

func TestHolderServesTheRequestItself(t *testing.T) {
	is := is.New(t)
	s := newSite()
	s.holds = true
	answer, err := s.Send(context.Background(), request("a"))
	is.NoErr(err)
	is.Equal(string(answer), "served")
	is.Equal(len(s.called), 0)
}

// TestRequestIsPassedOnOnce guards against requests that travel in circles between instances with different views of
// who the holder is.
func TestRequestIsPassedOnOnce(t *testing.T) {
	is := is.New(t)
	s := newSite()
	s.owner, s.answers["b1"] = "b1", "yes"
	answer, err := s.Send(context.Background(), request("a"))
	is.NoErr(err)
	is.Equal(string(answer), "yes")
	is.Equal(s.called, []string{"b1+"})
	passed := request("a")
	passed.Forwarded = true
	_, err = s.ServeOrForward(context.Background(), passed)
	var none *NoHolder
	is.True(errors.As(err, &none))
	s.owner = "self" // the term is over, but nobody else is known
	_, err = s.ServeOrForward(context.Background(), request("a"))
	is.True(errors.As(err, &none))
	is.Equal(len(s.called), 1)
}

// TestAnotherDomainIsAskedThroughTwoInstances checks that an instance that fails or refuses is not the last one asked.
func TestAnotherDomainIsAskedThroughTwoInstances(t *testing.T) {
	is := is.New(t)
	s := newSite("b0", "b1", "b2")
	s.answers["b2"] = "yes"
	answer, err := s.Send(context.Background(), request("b"))
	is.NoErr(err)
	is.Equal(string(answer), "yes")
	is.Equal(s.called, []string{"b1", "b2"})
	s.answers["b1"], s.answers["b2"] = "no", "no"
	answer, err = s.Send(context.Background(), request("b"))
	is.NoErr(err)
	is.Equal(string(answer), "no")
	is.Equal(len(s.called), 4)
	_, err = newSite().Send(context.Background(), request("b"))
	var none *NoHolder
	is.True(errors.As(err, &none))
}
