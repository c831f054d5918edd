package decisions

// The ledger of effects while several processes of a router run: each tells the others, before it grants a write that must
// not run twice, that the request may run.

import (
	"errors"
	"time"

	"rowanyard/internal/effectlog"
	"rowanyard/internal/grant"
)

// ShareEffects makes the Coordinator tell other processes of the router of its ledger through l, and learn of theirs, from
// Publish until Unpublish. It must be called before Publish.
func (d *Coordinator) ShareEffects(l *effectlog.Log) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.effects = l
}

// Publish implements openids.Publisher.
func (d *Coordinator) Publish() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writeEffects()
}

// Unpublish implements openids.Publisher. What the processes that have ended have written is taken over.
func (d *Coordinator) Unpublish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.readEffects(); err != nil {
		d.log.Error("the ledger of effects of another process is lost", "err", err)
	}
	d.effects.End()
}

// writeEffects writes the whole ledger for other processes. The caller holds the lock.
func (d *Coordinator) writeEffects() error {
	now := d.now()
	var records []effectlog.Record
	for _, e := range d.table.Effects() {
		if e.Until > now {
			records = append(records, effectlog.Record{Request: e.Request, Keep: e.Until - now})
		}
	}
	return d.effects.Begin(records)
}

// readEffects adds what other processes have written to the ledger. The caller holds the lock.
func (d *Coordinator) readEffects() error {
	records, err := d.effects.ReadNew()
	for _, r := range records {
		if r.Keep > 0 {
			d.table.AddEffect(grant.Effect{Request: r.Request, Until: d.now() + r.Keep})
		} else {
			d.table.RemoveEffect(r.Request)
		}
	}
	return err
}

// checkEffects returns an error if a request, whose id is claimed, may have run by a grant of another process. The caller
// holds the lock.
func (d *Coordinator) checkEffects(a ChooseCall) error {
	if !d.effects.IsOpen() {
		return nil
	}
	err := d.readEffects()
	switch {
	case d.table.MayHaveRun(a.Request):
		return grant.ErrMayHaveRun
	case err != nil && a.NonIdempotent:
		d.log.Error("can't read the ledger of effects of another process", "txn", a.Request, "err", err)
		return &Refused{d.core.BusyRetryAfter()}
	}
	return nil
}

// recordEffect tells other processes that a write of the request is about to be granted, which may run until its timeout is
// over. The caller holds the lock.
func (d *Coordinator) recordEffect(s *delegation, timeout time.Duration) error {
	record := effectlog.Record{Request: s.id, Keep: timeout + d.config.EffectRetention}
	err := d.effects.Append(record)
	if errors.Is(err, effectlog.ErrFull) {
		if err = d.writeEffects(); err == nil {
			err = d.effects.Append(record)
		}
	}
	return err
}

// recordNoEffect tells other processes that the request has not run. If they can't be told they refuse it for longer than
// needed. The caller holds the lock.
func (d *Coordinator) recordNoEffect(s *delegation) {
	if err := d.effects.Append(effectlog.Record{Request: s.id}); err != nil {
		d.log.Warn("other processes take a request for one that may have run", "txn", s.id, "err", err)
	}
}
