package spreader

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Withdraw permanently disables keys, versions, adapters or batches. It works without the
// store: the withdrawals are in force on this instance at once and are pushed to all reachable
// instances. The receipt reports whether the store has them too; if not, they are written once
// it is reachable. The error is *configurator.Invalid; then nothing is withdrawn.
func (s *Spreader) Withdraw(ctx context.Context, withdrawals ...configurator.Withdrawal) (Receipt, error) {
	added, err := configurator.NewWithdrawals().Add(withdrawals...)
	if err != nil {
		return Receipt{}, err
	}
	s.addWithdrawals(added)
	content, err := json.Marshal(withdrawals)
	if err != nil {
		return Receipt{}, err
	}
	job := &persistence{
		spreader:  s,
		deadline:  time.Now().Add(persistWait),
		documents: nonEmptyDocuments(added),
		done:      make(chan struct{}),
	}
	go job.run(context.WithoutCancel(ctx))
	receipt := Receipt{
		ID:       "withdrawal-" + rand.Text(),
		Revision: s.Current().Revision(),
		InForce:  1,
	}
	s.push(ctx, newPush(s.currentSummary(), "", nil, content), &receipt)
	receipt.Durable = job.waitDurable()
	metrics.GetOrCreateCounter(`buckthorngap_config_withdrawals_total`).Add(len(withdrawals))
	s.config.Log.WithFields(logrus.Fields{
		"id":      receipt.ID,
		"count":   len(withdrawals),
		"inforce": receipt.InForce,
		"members": receipt.Members,
		"durable": receipt.Durable,
	}).Info("withdrawal")
	return receipt, nil
}

// persistence writes withdrawals to the store, concurrently with the push to the instances.
type persistence struct {
	spreader  *Spreader
	documents []string
	// deadline is when the receipt no longer waits for the store.
	deadline time.Time
	done     chan struct{}
	err      error
}

// waitDurable waits until the store has the withdrawals, but not beyond the deadline, and reports
// whether it has them. Writing continues after the deadline.
func (p *persistence) waitDurable() bool {
	timer := time.NewTimer(time.Until(p.deadline))
	defer timer.Stop()
	select {
	case <-p.done:
		return p.err == nil
	case <-timer.C:
		return false
	}
}

// run writes the documents until one fails.
func (p *persistence) run(ctx context.Context) {
	defer close(p.done)
	bounded, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	for _, name := range p.documents {
		if p.err = p.spreader.persistDocument(bounded, name); p.err != nil {
			return
		}
	}
}

// nonEmptyDocuments returns the names of the documents that contain any withdrawal.
func nonEmptyDocuments(withdrawals *configurator.Withdrawals) []string {
	var names []string
	for _, document := range withdrawals.Documents() {
		if document.Digest != (configurator.Digest{}) {
			names = append(names, document.Name)
		}
	}
	return names
}

// unpersisted returns the documents with withdrawals that the store may lack.
func (s *Spreader) unpersisted() []configurator.Document {
	s.mutex.Lock()
	persisted := s.persisted
	s.mutex.Unlock()
	own, stored := s.Current().Withdrawals().Documents(), persisted.Documents()
	var missing []configurator.Document
	for i, document := range own {
		if document.Digest != stored[i].Digest {
			missing = append(missing, document)
		}
	}
	return missing
}

// persist writes all withdrawals that the store may lack.
func (s *Spreader) persist(ctx context.Context) error {
	for _, document := range s.unpersisted() {
		if err := s.persistDocument(ctx, document.Name); err != nil {
			return err
		}
	}
	return nil
}

// persistDocument writes the union of the store's document and this instance's document. It tries
// again while other instances write first.
func (s *Spreader) persistDocument(ctx context.Context, name string) error {
	for range maxActAttempts {
		err := s.mergeDocument(ctx, name)
		var conflict *storer.Conflict
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return &Contended{}
}

// mergeDocument merges the store's document into the withdrawals in force, and writes the
// result if the store lacks some.
func (s *Spreader) mergeDocument(ctx context.Context, name string) error {
	entry, err := s.config.Store.Get(ctx, withdrawalPrefix+name)
	var absent *storer.Absent
	if err != nil && !errors.As(err, &absent) {
		return err
	}
	if err := s.mergeStored(entry); err != nil {
		return err
	}
	union := s.Current().Withdrawals()
	content, err := union.Encode(name)
	if err != nil || string(content) == string(entry.Value) {
		return err
	}
	written, err := s.config.Store.SwapIdentified(ctx, storer.Swap{
		Key:      withdrawalPrefix + name,
		Value:    content,
		Expected: entry.Revision,
	}, func(value []byte) bool { return containsAll(value, content) })
	if err != nil {
		return err
	}
	return s.mergeStored(written)
}

// containsAll reports whether one document contains all withdrawals of another.
func containsAll(value, content []byte) bool {
	stored, err := configurator.NewWithdrawals().Decode(value)
	if err != nil {
		return false
	}
	required, err := configurator.NewWithdrawals().Decode(content)
	return err == nil && len(stored.Missing(required)) == 0
}

// mergeStored merges a document that was read from the store, and records that the store has
// it.
func (s *Spreader) mergeStored(entry storer.Entry) error {
	if len(entry.Value) == 0 {
		return nil
	}
	stored, err := configurator.NewWithdrawals().Decode(entry.Value)
	if err != nil {
		return err
	}
	s.addWithdrawals(stored)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.persisted = s.persisted.Union(stored)
	return nil
}

// resetPersisted replaces the withdrawals that the store is known to have by those of a full
// read.
func (s *Spreader) resetPersisted(entries []storer.Entry) {
	s.mutex.Lock()
	s.persisted = configurator.NewWithdrawals()
	s.mutex.Unlock()
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Key, withdrawalPrefix) {
			continue
		}
		if err := s.mergeStored(entry); err != nil {
			s.config.Log.WithFields(logrus.Fields{
				"key":   entry.Key,
				"error": err,
			}).Error("withdrawal.unreadable")
		}
	}
}
