package placer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"math/bits"
	"time"
)

const (
	// dayMinutes is the number of minutes in a day.
	dayMinutes = 24 * 60
	// recurrenceDays is the number of days that are remembered: one bit of a byte each.
	recurrenceDays = 8
	// minRecurrenceDays is the number of known days below which no demand is predicted.
	minRecurrenceDays = 3
)

// Recurrence records at which minutes of the day each model was requested on the last days.
// A minute extends from 30 seconds before to 30 seconds after its beginning, so that
// requests around a full hour count together. Days are in UTC.
type Recurrence struct {
	// Minute is the minute that was started last, counted from 1970.
	Minute int64 `json:"minute"`
	// Days is the number of known days by minute of the day.
	Days []byte `json:"days"`
	// Models has one byte per model and minute of the day, with one bit per day, the latest
	// day in the lowest bit. A bit is set if the model was requested.
	Models map[string][]byte `json:"models"`
}

// NewRecurrence returns a Recurrence without any known days.
func NewRecurrence() *Recurrence {
	return &Recurrence{
		Days:   make([]byte, dayMinutes),
		Models: map[string][]byte{},
	}
}

// minuteOf returns the minute that a time belongs to, counted from 1970.
func minuteOf(at time.Time) int64 { return at.Add(time.Minute/2).Unix() / 60 }

// StartMinute advances to the minute that a time belongs to and counts its day as known,
// once. A day stays unknown for the minutes that were not started on it.
func (r *Recurrence) StartMinute(now time.Time) {
	minute := minuteOf(now)
	if minute <= r.Minute {
		return
	}
	r.Minute = minute
	minuteOfDay := minute % dayMinutes
	r.Days[minuteOfDay] = min(recurrenceDays, r.Days[minuteOfDay]+1)
	for _, days := range r.Models {
		days[minuteOfDay] <<= 1
	}
}

// Observe records that a model was requested in the current minute or the one before. Other
// times are ignored.
func (r *Recurrence) Observe(model string, used time.Time) {
	minute := minuteOf(used)
	if minute > r.Minute || minute < r.Minute-1 {
		return
	}
	days, ok := r.Models[model]
	if !ok {
		days = make([]byte, dayMinutes)
		r.Models[model] = days
	}
	days[minute%dayMinutes] |= 1
}

// probability returns the share of the earlier known days on which a model was requested in
// the minute of a time.
func (r *Recurrence) probability(model string, at time.Time) float64 {
	days, ok := r.Models[model]
	if !ok {
		return 0
	}
	minute := minuteOf(at)
	requestedDays, knownDays := days[minute%dayMinutes], r.Days[minute%dayMinutes]
	if minute == r.Minute {
		// Today's bit is not final yet, because the minute has just begun.
		requestedDays >>= 1
		knownDays--
	}
	if knownDays < minRecurrenceDays {
		return 0
	}
	return float64(bits.OnesCount8(requestedDays)) / float64(knownDays)
}

// Encode returns the compressed form that DecodeRecurrence reads. Models without a request
// on any day are left out.
func (r *Recurrence) Encode() ([]byte, error) {
	kept := *r
	kept.Models = make(map[string][]byte, len(r.Models))
	for model, days := range r.Models {
		if len(bytes.Trim(days, "\x00")) > 0 {
			kept.Models[model] = days
		}
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if err := json.NewEncoder(writer).Encode(&kept); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// DecodeRecurrence decodes the output of Encode. It returns an *Unreadable error for
// anything else.
func DecodeRecurrence(packed []byte) (*Recurrence, error) {
	unpacked := NewRecurrence()
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err == nil {
		var plain []byte
		if plain, err = io.ReadAll(reader); err == nil {
			err = json.Unmarshal(plain, unpacked)
		}
	}
	complete := len(unpacked.Days) == dayMinutes
	for _, days := range unpacked.Models {
		complete = complete && len(days) == dayMinutes
	}
	if err == nil && !complete {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, &Unreadable{
			Key:   recurrenceKeyPrefix,
			Cause: err,
		}
	}
	return unpacked, nil
}
