package certifier

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// SharedStoreKey is the key in the store under which SharedAuthority keeps the authority.
const SharedStoreKey = "authority"

// sharedLifetime is the validity period of a shared authority. It is long because a new authority is generated only with a
// new store.
const sharedLifetime = 20 * 365 * 24 * time.Hour

// SharedAuthority returns the authority that all instances using the store share, and creates it if there is none. Anyone
// who can read the store can impersonate an instance, since the store holds the authority's private key; SharedAuthority
// is meant for platforms where only the instances can read it. The errors are those of the store, or *Unusable.
func SharedAuthority(ctx context.Context, store *storer.Store) (*Authority, error) {
	stored, err := store.Get(ctx, SharedStoreKey)
	var absent *storer.Absent
	if errors.As(err, &absent) {
		return createShared(ctx, store)
	}
	if err != nil {
		return nil, err
	}
	return decodeAuthority(stored.Value)
}

// createShared generates an authority and writes it to the store, unless another instance has written one first; that one
// is returned then.
func createShared(ctx context.Context, store *storer.Store) (*Authority, error) {
	created, err := NewAuthority(time.Now().Add(sharedLifetime), time.Now)
	if err != nil {
		return nil, err
	}
	value, err := created.encode()
	if err != nil {
		return nil, err
	}
	_, err = store.Swap(ctx, storer.Swap{
		Key:   SharedStoreKey,
		Value: value,
	})
	if err == nil {
		return created, nil
	}
	// Another instance wrote its authority first, or the store's response was lost: the stored authority is the valid one.
	stored, readErr := store.Get(ctx, SharedStoreKey)
	if readErr != nil {
		return nil, err
	}
	return decodeAuthority(stored.Value)
}

// KeepShared writes the authority to the store again if there is none, as after the store was restored from a copy that lacks
// it: instances that start later would create another one, and not trust those that run. The errors are those of the store,
// *Unusable, or *Replaced if the store has another authority.
func KeepShared(ctx context.Context, store *storer.Store, authority *Authority) error {
	value, err := authority.encode()
	if err != nil {
		return err
	}
	stored, err := store.Get(ctx, SharedStoreKey)
	var absent *storer.Absent
	if errors.As(err, &absent) {
		_, err = store.Swap(ctx, storer.Swap{
			Key:   SharedStoreKey,
			Value: value,
		})
		return err
	}
	if err == nil && !bytes.Equal(stored.Value, value) {
		return &Replaced{}
	}
	return err
}

// encode returns the certificate followed by the private key, both in PEM.
func (a *Authority) encode() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, newUnusable("authority", err)
	}
	return append(append([]byte(nil), a.Certificate...), encodePEM("PRIVATE KEY", key)...), nil
}

// decodeAuthority is the inverse of encode. The error is *Unusable.
func decodeAuthority(data []byte) (*Authority, error) {
	certificate, rest := pem.Decode(data)
	if certificate == nil {
		return nil, newUnusable("authority", nil)
	}
	private, _ := pem.Decode(rest)
	if private == nil {
		return nil, newUnusable("authority", nil)
	}
	parsed, err := x509.ParseCertificate(certificate.Bytes)
	if err != nil {
		return nil, newUnusable("authority", err)
	}
	key, err := x509.ParsePKCS8PrivateKey(private.Bytes)
	if err != nil {
		return nil, newUnusable("authority", err)
	}
	signer, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, newUnusable("authority", nil)
	}
	return &Authority{
		Certificate: encodePEM("CERTIFICATE", certificate.Bytes),
		parsed:      parsed,
		key:         signer,
		deadline:    parsed.NotAfter,
		now:         time.Now,
	}, nil
}
