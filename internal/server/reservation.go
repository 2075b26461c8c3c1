package server

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"github.com/buckthorngap/buckthorngap/internal/limiter"
)

// bytesPerToken is the number of prompt bytes counted as one token for models without a BytesPerToken setting. It is a
// lower bound, so that the estimate is not too low.
const bytesPerToken = 3

// reserve reserves the largest number of tokens that the request can use from its team's limit: an estimate of the
// prompt and the full length of each answer.
func (s *Server) reserve(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		e := request.(*exchange)
		bytesPerPromptToken := e.model.BytesPerToken
		if bytesPerPromptToken <= 0 {
			bytesPerPromptToken = bytesPerToken
		}
		e.promptEstimate = int64(float64(len(e.completion.prompt))/bytesPerPromptToken) + 1
		e.tokens = e.promptEstimate*e.completion.answers + e.completion.tokens*e.completion.answers
		reservation, err := s.config.Reserve(ctx, limiter.Request{
			Team:   e.key.Team,
			Tokens: e.tokens,
		})
		if err != nil {
			return nil, err
		}
		e.reservation = reservation
		return next(ctx, e)
	}
}
