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

// Withdraw ends keys, versions, adapters or batches for ever. It needs no
// store: the withdrawals are in force here at once and are pushed to all
// instances that can be reached. The receipt says whether the store has them
// too; if not, they are written once it answers. The error is *Invalid of
// configurator; then nothing is withdrawn.
func (s *Spreader) Withdraw(ctx context.Context, withdrawals ...configurator.Withdrawal) (Receipt, error) {
	added, err := configurator.NewWithdrawals().Add(withdrawals...)
	if err != nil {
		return Receipt{}, err
	}
	s.merge(added)
	content, err := json.Marshal(withdrawals)
	if err != nil {
		return Receipt{}, err
	}
	job := &persistence{
		spreader:  s,
		deadline:  time.Now().Add(persistWait),
		documents: filled(added),
		done:      make(chan struct{}),
	}
	go job.run(context.WithoutCancel(ctx))
	receipt := Receipt{
		ID:       "withdrawal-" + rand.Text(),
		Revision: s.Current().Revision(),
		InForce:  1,
	}
	s.push(ctx, message(s.currentSummary(), "", nil, content), &receipt)
	receipt.Durable = job.durable()
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

// persistence writes withdrawals to the store beside the push to the instances.
type persistence struct {
	spreader  *Spreader
	documents []string
	// deadline is when the receipt no longer waits for the store.
	deadline time.Time
	done     chan struct{}
	err      error
}

// durable waits until the store has the withdrawals, or until the deadline.
// The writing goes on after it.
func (p *persistence) durable() bool {
	timer := time.NewTimer(time.Until(p.deadline))
	defer timer.Stop()
	select {
	case <-p.done:
		return p.err == nil
	case <-timer.C:
		return false
	}
}

func (p *persistence) run(ctx context.Context) {
	defer close(p.done)
	bounded, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	for _, name := range p.documents {
		if p.err = p.spreader.persistDocument(bounded, name); p.err != nil {
			return
		}
	}
}

// filled are the names of the documents that hold withdrawals.
func filled(withdrawals *configurator.Withdrawals) []string {
	var names []string
	for _, document := range withdrawals.Documents() {
		if document.Digest != (configurator.Digest{}) {
			names = append(names, document.Name)
		}
	}
	return names
}

// undurable returns the documents of withdrawals that the store may lack.
func (s *Spreader) undurable() []configurator.Document {
	s.mutex.Lock()
	durable := s.durable
	s.mutex.Unlock()
	own, stored := s.Current().Withdrawals().Documents(), durable.Documents()
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
	for _, document := range s.undurable() {
		if err := s.persistDocument(ctx, document.Name); err != nil {
			return err
		}
	}
	return nil
}

// persistDocument writes the union of the store's document and the own one.
func (s *Spreader) persistDocument(ctx context.Context, name string) error {
	for range actAttempts {
		err := s.unite(ctx, name)
		var conflict *storer.Conflict
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return &Contended{}
}

func (s *Spreader) unite(ctx context.Context, name string) error {
	entry, err := s.config.Store.Get(ctx, withdrawalPrefix+name)
	var absent *storer.Absent
	if err != nil && !errors.As(err, &absent) {
		return err
	}
	if err := s.takeStored(entry); err != nil {
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
	}, func(value []byte) bool { return holds(value, content) })
	if err != nil {
		return err
	}
	return s.takeStored(written)
}

// holds tells whether one document has all withdrawals of another.
func holds(value, content []byte) bool {
	found, err := configurator.NewWithdrawals().Decode(value)
	if err != nil {
		return false
	}
	wanted, err := configurator.NewWithdrawals().Decode(content)
	return err == nil && len(found.Missing(wanted)) == 0
}

// takeStored merges a document that was read from the store and remembers
// that the store has it.
func (s *Spreader) takeStored(entry storer.Entry) error {
	if len(entry.Value) == 0 {
		return nil
	}
	found, err := configurator.NewWithdrawals().Decode(entry.Value)
	if err != nil {
		return err
	}
	s.merge(found)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.durable = s.durable.Union(found)
	return nil
}

// resetDurable forgets what the store was known to have, and takes over what
// a whole reading found in it.
func (s *Spreader) resetDurable(entries []storer.Entry) {
	s.mutex.Lock()
	s.durable = configurator.NewWithdrawals()
	s.mutex.Unlock()
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Key, withdrawalPrefix) {
			continue
		}
		if err := s.takeStored(entry); err != nil {
			s.config.Log.WithFields(logrus.Fields{
				"key":   entry.Key,
				"error": err,
			}).Error("withdrawal.unreadable")
		}
	}
}
