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

// relay checks the head of an answer and sends the answer to the caller.
func (r *callRun) relay(ctx context.Context, l *place.Lease, p *backend.Response) *wigeonladder.Error {
	if err := r.checkAnswer(l, p); err != nil {
		return err
	}
	if p.Stream && p.Status < 300 {
		return r.relayStream(ctx, l, p)
	}
	body, err := p.ReadBody()
	if err != nil {
		return err
	}
	r.recordFirstToken(l, p)
	r.firstByteAt = time.Now()
	if p.Status >= 500 && !r.headSent {
		return r.keepFailure(l, p, body)
	}
	if r.headSent {
		return wigeonladder.Errorf(wigeonladder.CodeBackend, l.Instance.ID, "status %d in place of the rest of a stream", p.Status)
	}
	if e := r.reply.SendWhole(p.Answer, body); e != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", e)
	}
	return nil
}

// recordFirstToken records that the answer of the current attempt has begun. An error
// may be answered before a server has read the prompt, so it clears no part.
func (r *callRun) recordFirstToken(l *place.Lease, p *backend.Response) {
	l.RecordFirstToken()
	if !r.began && p.Status < 300 {
		r.forwarder.options.Suspects.RecordAnswer(r.keys)
	}
	r.began = true
}

// checkAnswer returns an error if the answer must not reach the caller. The code of a
// stream says that the server may go on with it.
func (r *callRun) checkAnswer(l *place.Lease, p *backend.Response) *wigeonladder.Error {
	serverID, code := l.Instance.ID, wigeonladder.CodeBackend
	if p.Stream {
		code = wigeonladder.CodeCrossed
	}
	switch {
	case p.NotRun:
		return wigeonladder.Errorf(wigeonladder.CodeRefused, serverID, "status %d", p.Status)
	case p.ContentEncoded:
		return wigeonladder.Errorf(code, serverID, "the body is encoded")
	case p.Status < 300 && !p.Signed:
		return wigeonladder.Errorf(code, serverID, "status %d without a signature", p.Status)
	case promisesNotRun(p.Status):
		return wigeonladder.Errorf(code, serverID, "status %d of a call that may have run", p.Status)
	}
	return nil
}

// promisesNotRun reports whether callers take a status as a statement that the
// call did not run.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// keepFailure stores an error answer of a backend server as the fallback and
// returns its error.
func (r *callRun) keepFailure(l *place.Lease, p *backend.Response, body []byte) *wigeonladder.Error {
	r.fallback = &completeAnswer{p.Answer, body}
	return wigeonladder.Errorf(wigeonladder.CodeBackend, l.Instance.ID, "status %d", p.Status)
}

// relayStream sends the events of an answer to the caller.
func (r *callRun) relayStream(ctx context.Context, l *place.Lease, p *backend.Response) *wigeonladder.Error {
	r.resumed = r.headSent
	for {
		event, err := p.NextEvent()
		if err != nil {
			return err
		}
		if event == nil {
			return r.endStream(p)
		}
		r.recordFirstToken(l, p)
		if err := r.relayEvent(ctx, l, p, event); err != nil {
			return err
		}
	}
}

// endStream ends the answer to the caller.
func (r *callRun) endStream(p *backend.Response) *wigeonladder.Error {
	if !r.headSent {
		if err := r.beginStream(p); err != nil {
			return err
		}
	}
	if err := r.reply.EndStream(); err != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", err)
	}
	return nil
}

// beginStream sends the head of the answer to the caller.
func (r *callRun) beginStream(p *backend.Response) *wigeonladder.Error {
	r.headSent = true
	r.firstByteAt = time.Now()
	if err := r.reply.BeginStream(p.Answer); err != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", err)
	}
	return nil
}

// relayEvent sends one event to the caller, unless the caller already has it.
func (r *callRun) relayEvent(ctx context.Context, l *place.Lease, p *backend.Response, event []byte) *wigeonladder.Error {
	id := eventID(event)
	isNew, err := r.checkPosition(l.Instance.ID, id, event)
	if err != nil || !isNew {
		return err
	}
	if !r.headSent {
		r.beginStreamAt(l)
		if err := r.beginStream(p); err != nil {
			return err
		}
	}
	if err := r.reply.SendEvent(event); err != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", err)
	}
	if id != "" {
		r.lastEventID = id
	} else if hasData(event) {
		r.positionLost = true
	}
	return nil
}

// checkPosition reports whether an event comes next in the caller's stream. A
// resumed stream may repeat events, which the caller already has. After a gap in
// the event numbers, and in a resumed stream after an event without a number, it
// returns an error, because the stream must not continue.
func (r *callRun) checkPosition(serverID, id string, event []byte) (isNew bool, err *wigeonladder.Error) {
	last, errLast := strconv.ParseUint(r.lastEventID, 10, 64)
	number, errNumber := strconv.ParseUint(id, 10, 64)
	switch {
	case errLast == nil && errNumber == nil:
		if number > last+1 {
			return false, wigeonladder.Errorf(wigeonladder.CodeCrossed, serverID, "event %d follows event %d", number, last)
		}
		return number > last, nil
	case !r.resumed:
		return true, nil
	case id == "" && !hasData(event):
		return false, nil
	}
	return false, wigeonladder.Errorf(wigeonladder.CodeCrossed, serverID, "event %q in place of the one after %q", id, r.lastEventID)
}

// hasData reports whether an event carries data, which a comment does not.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// eventID returns the id of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// note records an event of the call in the journal.
func (r *callRun) note(event string, fields ...any) {
	r.forwarder.options.Journal.Note(r.call.ID, event, fields...)
}

// recordEnd records the end of the call in the journal and the meter.
func (r *callRun) recordEnd(err *wigeonladder.Error) {
	code, detail := wigeonladder.CodeOK, ""
	if err != nil {
		code, detail = err.Code, err.Place+": "+err.Detail
	}
	whole := time.Since(r.call.Received)
	first := time.Duration(0)
	if !r.firstByteAt.IsZero() {
		first = r.firstByteAt.Sub(r.call.Received)
	}
	r.note("ended", "code", code, "detail", detail, "route", r.match.Route.Name, "workspace", r.match.Workspace,
		"service", r.match.Service.Name, "version", r.match.Version, "sends", r.sends, "first", first, "whole", whole)
	if r.forwarder.options.Meter != nil {
		r.forwarder.options.Meter.ObserveCall(r.match.Service.Name, code, first, whole)
	}
}
