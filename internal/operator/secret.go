package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// CreateKey creates a key with a new secret. The secret is generated on the client, returned once and never sent; only
// its SHA-256 is. The errors are those of Act. After *UnknownOutcome the act must be repeated with the same operation,
// not with a new secret; therefore the secret is returned along with every error except *Refused.
func (c *Client) CreateKey(
	ctx context.Context, id string, key configurator.Key,
) (secret string, receipt spreader.Receipt, err error) {
	secret, key.Hash = NewSecret()
	receipt, err = c.Act(ctx, id, configurator.Operation{
		Action: configurator.ActionCreate,
		Key:    &key,
	})
	var refused *Refused
	if errors.As(err, &refused) {
		return "", receipt, err
	}
	return secret, receipt, err
}

// NewSecret generates a random secret and returns it with its SHA-256 in hexadecimal.
func NewSecret() (secret, hash string) {
	secret = rand.Text()
	sum := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(sum[:])
}
