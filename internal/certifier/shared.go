package certifier

import (
	"context"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// SharedKey is where Shared keeps the authority in the store.
const SharedKey = "authority"

// sharedLife is how long a shared authority is valid. A new one is made only
// with a new store.
const sharedLife = 20 * 365 * 24 * time.Hour

// Shared returns the authority that all instances on a store have in common,
// and makes it if there is none. Whoever can read that store can pass for an
// instance; it is meant for platforms where only the instances can. Errors are
// those of the store, or *Unusable.
func Shared(ctx context.Context, store *storer.Store) (*Authority, error) {
	found, err := store.Get(ctx, SharedKey)
	var absent *storer.Absent
	if errors.As(err, &absent) {
		return makeShared(ctx, store)
	}
	if err != nil {
		return nil, err
	}
	return decodeAuthority(found.Value)
}

func makeShared(ctx context.Context, store *storer.Store) (*Authority, error) {
	made, err := NewAuthority(time.Now().Add(sharedLife), time.Now)
	if err != nil {
		return nil, err
	}
	value, err := made.encode()
	if err != nil {
		return nil, err
	}
	_, err = store.Swap(ctx, storer.Swap{
		Key:   SharedKey,
		Value: value,
	})
	if err == nil {
		return made, nil
	}
	// Another instance was first, or the answer was lost: what stands there counts.
	found, readErr := store.Get(ctx, SharedKey)
	if readErr != nil {
		return nil, err
	}
	return decodeAuthority(found.Value)
}

// encode writes the certificate and the key, in PEM.
func (a *Authority) encode() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, unusable("authority", err)
	}
	return append(append([]byte(nil), a.Certificate...), armor("PRIVATE KEY", key)...), nil
}

func decodeAuthority(data []byte) (*Authority, error) {
	certificate, rest := pem.Decode(data)
	if certificate == nil {
		return nil, unusable("authority", nil)
	}
	private, _ := pem.Decode(rest)
	if private == nil {
		return nil, unusable("authority", nil)
	}
	parsed, err := x509.ParseCertificate(certificate.Bytes)
	if err != nil {
		return nil, unusable("authority", err)
	}
	key, err := x509.ParsePKCS8PrivateKey(private.Bytes)
	if err != nil {
		return nil, unusable("authority", err)
	}
	signer, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, unusable("authority", nil)
	}
	return &Authority{
		Certificate: armor("CERTIFICATE", certificate.Bytes),
		parsed:      parsed,
		key:         signer,
		deadline:    parsed.NotAfter,
		now:         time.Now,
	}, nil
}
