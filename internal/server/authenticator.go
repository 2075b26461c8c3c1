package server

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

const (
	bearerPrefix = "bearer "
	// maxSecretBytes is the size of the longest accepted secret, in bytes.
	maxSecretBytes = 512
)

// credentials returns every secret in a request's header. The first one authenticates the request; the others are
// collected so that they can be kept out of logs and of requests to upstreams.
func (f HeaderFormat) credentials(r *http.Request) []string {
	if f.Key != "" {
		return r.Header[f.Key]
	}
	var secrets []string
	for _, value := range r.Header["Authorization"] {
		if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			value = strings.TrimSpace(value[len(bearerPrefix):])
		}
		secrets = append(secrets, value)
	}
	return append(secrets, r.Header["X-Api-Key"]...)
}

// authenticate looks up the key of a request by the hash of its secret: one hash and one lookup, whether or not the
// secret is valid. Requests to open services and routes need no key.
func (s *Server) authenticate(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		e := request.(*exchange)
		if e.service.Open || e.route.Open {
			return next(ctx, e)
		}
		if len(e.secrets) == 0 || e.secrets[0] == "" {
			return nil, newRefusal(refuser.CodeNoKey, "the request carries no key")
		}
		if len(e.secrets[0]) > maxSecretBytes {
			return nil, newRefusal(refuser.CodeBadKey, "the key is not known")
		}
		snapshot := s.config.Snapshot()
		e.hash = sha256.Sum256([]byte(e.secrets[0]))
		key, ok := snapshot.KeyByHash(e.hash)
		if !ok {
			return nil, newRefusal(refuser.CodeBadKey, "the key is not known")
		}
		e.key = key
		e.authenticated = true
		if snapshot.KeyWithdrawn(key) {
			return nil, newRefusal(refuser.CodeWithdrawn, "the key was withdrawn")
		}
		return next(ctx, e)
	}
}

// newRefusal returns a refusal with outcome NotRun, for a request that was not sent to any upstream.
func newRefusal(code refuser.Code, detail string) *refuser.Refusal {
	return &refuser.Refusal{
		Code:    code,
		Outcome: refuser.NotRun,
		Detail:  detail,
	}
}
