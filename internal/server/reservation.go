package server

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"github.com/buckthorngap/buckthorngap/internal/limiter"
)

// bytesPerToken is the least number of prompt bytes in a token where the model does not say.
const bytesPerToken = 3

// reserve spends the tokens that the request may take.
func (s *Server) reserve(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(*passage)
		size := p.model.BytesPerToken
		if size <= 0 {
			size = bytesPerToken
		}
		p.estimate = int64(float64(len(p.completion.prompt))/size) + 1
		p.tokens = p.estimate*p.completion.answers + p.completion.tokens*p.completion.answers
		reservation, err := s.config.Reserve(ctx, limiter.Request{
			Team:   p.key.Team,
			Tokens: p.tokens,
		})
		if err != nil {
			return nil, err
		}
		p.reservation = reservation
		return next(ctx, p)
	}
}
