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
	bearer = "bearer "
	// secretBytes is the largest secret, in bytes.
	secretBytes = 512
)

// credentials are the secrets that a request shows, the deciding one first.
func credentials(r *http.Request) []string {
	var secrets []string
	for _, value := range r.Header["Authorization"] {
		if len(value) > len(bearer) && strings.EqualFold(value[:len(bearer)], bearer) {
			value = strings.TrimSpace(value[len(bearer):])
		}
		secrets = append(secrets, value)
	}
	return append(secrets, r.Header["X-Api-Key"]...)
}

// authenticate finds the key of a request. Every secret costs one hash and one lookup.
func (s *Server) authenticate(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(*passage)
		if p.service.Open || p.route.Open {
			return next(ctx, p)
		}
		if len(p.secrets) == 0 || p.secrets[0] == "" {
			return nil, refuse(refuser.CodeNoKey, "the request carries no key")
		}
		if len(p.secrets[0]) > secretBytes {
			return nil, refuse(refuser.CodeBadKey, "the key is not known")
		}
		snapshot := s.config.Snapshot()
		p.hash = sha256.Sum256([]byte(p.secrets[0]))
		key, ok := snapshot.KeyByHash(p.hash)
		if !ok {
			return nil, refuse(refuser.CodeBadKey, "the key is not known")
		}
		p.key = key
		p.keyed = true
		if snapshot.KeyWithdrawn(key) {
			return nil, refuse(refuser.CodeWithdrawn, "the key was withdrawn")
		}
		return next(ctx, p)
	}
}

// refuse is the refusal of a request that no upstream has seen.
func refuse(code refuser.Code, detail string) *refuser.Refusal {
	return &refuser.Refusal{
		Code:    code,
		Outcome: refuser.NotRun,
		Detail:  detail,
	}
}
