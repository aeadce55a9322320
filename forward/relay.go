package forward

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/place"
)

// relay judges the head of an answer and hands the answer on.
func (r *run) relay(ctx context.Context, l *place.Lease, p *backend.Response) *wigeonladder.Error {
	if err := r.judge(l, p); err != nil {
		return err
	}
	if p.Stream && p.Status < 300 {
		return r.stream(ctx, l, p)
	}
	body, err := p.ReadBody()
	if err != nil {
		return err
	}
	l.RecordFirstToken()
	r.first = time.Now()
	if p.Status >= 500 && !r.begun {
		return r.keep(l, p, body)
	}
	if r.begun {
		return wigeonladder.Errorf(wigeonladder.CodeBackend, l.Instance.ID, "status %d in place of the rest of a stream", p.Status)
	}
	if e := r.reply.SendWhole(p.Answer, body); e != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", e)
	}
	return nil
}

// judge returns the error of an answer that must not be handed on.
func (r *run) judge(l *place.Lease, p *backend.Response) *wigeonladder.Error {
	name := l.Instance.ID
	switch {
	case p.NotRun:
		return wigeonladder.Errorf(wigeonladder.CodeRefused, name, "status %d", p.Status)
	case p.ContentEncoded:
		return wigeonladder.Errorf(wigeonladder.CodeBackend, name, "the body is encoded")
	case p.Status < 300 && !p.Signed:
		return wigeonladder.Errorf(wigeonladder.CodeBackend, name, "status %d without a signature", p.Status)
	case promisesNotRun(p.Status):
		return wigeonladder.Errorf(wigeonladder.CodeBackend, name, "status %d of a call that may have run", p.Status)
	}
	return nil
}

// promisesNotRun reports whether callers take a status as the promise that the
// call did not run.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// keep keeps a backend server's failure, to be handed on if no other sending
// succeeds.
func (r *run) keep(l *place.Lease, p *backend.Response, body []byte) *wigeonladder.Error {
	r.spare = &answer{p.Answer, body}
	return wigeonladder.Errorf(wigeonladder.CodeBackend, l.Instance.ID, "status %d", p.Status)
}

// stream hands on the events of an answer.
func (r *run) stream(ctx context.Context, l *place.Lease, p *backend.Response) *wigeonladder.Error {
	for {
		event, err := p.NextEvent()
		if err != nil {
			return err
		}
		if event == nil {
			return r.endStream(p)
		}
		l.RecordFirstToken()
		if err := r.event(ctx, l, p, event); err != nil {
			return err
		}
	}
}

// endStream ends the stream at the caller.
func (r *run) endStream(p *backend.Response) *wigeonladder.Error {
	if !r.begun {
		if err := r.begin(p); err != nil {
			return err
		}
	}
	if err := r.reply.EndStream(); err != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", err)
	}
	return nil
}

// begin sends the head of the first backend server's answer.
func (r *run) begin(p *backend.Response) *wigeonladder.Error {
	r.begun = true
	r.first = time.Now()
	if err := r.reply.BeginStream(p.Answer); err != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", err)
	}
	return nil
}

// event hands on one event. An event that the caller already has is left out;
// after a gap the stream must not go on.
func (r *run) event(ctx context.Context, l *place.Lease, p *backend.Response, event []byte) *wigeonladder.Error {
	id := eventID(event)
	if id != "" && r.last != "" {
		have, errHave := strconv.ParseUint(r.last, 10, 64)
		now, errNow := strconv.ParseUint(id, 10, 64)
		if errHave == nil && errNow == nil {
			if now <= have {
				return nil
			}
			if now > have+1 {
				return wigeonladder.Errorf(wigeonladder.CodeCrossed, l.Instance.ID, "event %d follows event %d", now, have)
			}
		}
	}
	if !r.begun {
		if err := r.begin(p); err != nil {
			return err
		}
	}
	if err := r.reply.SendEvent(event); err != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", err)
	}
	if id != "" {
		r.last = id
	}
	return nil
}

// eventID returns the id of an event; empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// note writes to the journal.
func (r *run) note(event string, fields ...any) {
	r.f.o.Journal.Note(r.call.ID, event, fields...)
}

// ended records the end of the call.
func (r *run) ended(err *wigeonladder.Error) {
	code, detail := wigeonladder.CodeOK, ""
	if err != nil {
		code, detail = err.Code, err.Place+": "+err.Detail
	}
	whole := time.Since(r.call.Received)
	first := time.Duration(0)
	if !r.first.IsZero() {
		first = r.first.Sub(r.call.Received)
	}
	r.note("ended", "code", code, "detail", detail, "route", r.match.Route.Name, "workspace", r.match.Workspace,
		"service", r.match.Service.Name, "version", r.match.Version, "sends", r.sends, "first", first, "whole", whole)
	if r.f.o.Meter != nil {
		r.f.o.Meter.ObserveCall(r.match.Service.Name, code, first, whole)
	}
}
