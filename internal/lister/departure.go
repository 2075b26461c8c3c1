package lister

import (
	"github.com/buckthorngap/buckthorngap/internal/drainer"
)

// departure returns the departure that would be the row's.
func (r Row) departure() drainer.Departure {
	return drainer.Departure{
		Upstream: r.Instance.Name,
		Start:    r.Report.Start,
		Address:  r.Instance.Address,
	}
}

// depart returns the row of an upstream that has told in an answer that it leaves, whatever its entry says.
func (r Row) depart() Row {
	r.Departed, r.Instance.Leaving, r.Report.Leaving = true, true, true
	return r
}

// Leave lists an upstream as leaving until it starts again or is at another address, whatever the store says. It returns false
// if the start of the upstream is not listed, or is listed as leaving.
func (l *Lister) Leave(departure drainer.Departure) bool {
	if !l.leave(departure) {
		return false
	}
	l.config.Changed(departure.Upstream)
	return true
}

func (l *Lister) leave(departure drainer.Departure) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	row, known := l.rows[departure.Upstream]
	if !known || row.Departed || row.departure() != departure {
		return false
	}
	leaving := row.Instance.Leaving
	l.rows[departure.Upstream] = row.depart()
	l.list = nil
	return !leaving
}

// keepDeparture returns a row that was read from the store, as leaving if the start of the upstream has told so.
func (l *Lister) keepDeparture(name string, row Row) Row {
	former, known := l.rows[name]
	if !known {
		former = l.gone[name].row
	}
	if former.Departed && former.departure() == row.departure() {
		return row.depart()
	}
	return row
}
