package operator

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
)

// Event is one recorded decision or state change.
type Event struct {
	Time    time.Time `json:"time"`
	Request string    `json:"request,omitempty"`
	Name    string    `json:"event"`
	Fields  []Field   `json:"fields,omitempty"`
}

// Field is one key and value of an event.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// journalEvents is the number of events that a journal keeps. At about 300
// bytes each they take 5 MB of the 32 MB that a daemon may use for control.
const journalEvents = 16384

// Journal implements wigeonladder.Journal. It writes one key=value line to the
// log for each event, counts the events by name, and keeps the newest ones, so
// that operators can ask why a request was placed, queued or refused.
type Journal struct {
	log    log.Interface
	counts *expvar.Map

	mu   sync.Mutex
	ring []Event
	// oldest is the index in ring of the oldest event.
	oldest int
}

// NewJournal returns a journal that writes to a log; a nil log writes nothing.
func NewJournal(l log.Interface) *Journal {
	return &Journal{log: l, counts: new(expvar.Map).Init()}
}

// Note implements wigeonladder.Journal. A key without a value gets an empty
// value.
func (j *Journal) Note(request, event string, fields ...any) {
	e := Event{Time: time.Now(), Request: request, Name: event, Fields: toFields(fields)}
	j.counts.Add(event, 1)
	j.store(e)
	if j.log == nil {
		return
	}
	logFields := make(log.Fields, len(e.Fields)+1)
	for _, f := range e.Fields {
		logFields[f.Key] = f.Value
	}
	if request != "" {
		logFields["request"] = request
	}
	j.log.WithFields(logFields).Info(event)
}

// EventCounts returns the number of events since the start by name, including
// events that are no longer kept.
func (j *Journal) EventCounts() *expvar.Map { return j.counts }

// Explain returns the recorded events of a request, oldest first.
func (j *Journal) Explain(request string) []Event {
	return j.selectEvents(func(e Event) bool { return e.Request == request })
}

// LastEvents returns the newest n events, oldest first.
func (j *Journal) LastEvents(n int) []Event {
	all := j.selectEvents(func(Event) bool { return true })
	if len(all) > n {
		all = all[len(all)-n:]
	}
	return all
}

// store adds an event; if the journal is full, the event replaces the oldest
// one.
func (j *Journal) store(e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.ring) < journalEvents {
		j.ring = append(j.ring, e)
		return
	}
	j.ring[j.oldest] = e
	j.oldest = (j.oldest + 1) % journalEvents
}

// selectEvents returns the kept events that match, oldest first.
func (j *Journal) selectEvents(match func(Event) bool) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var l []Event
	for i := range j.ring {
		e := j.ring[(j.oldest+i)%len(j.ring)]
		if match(e) {
			l = append(l, e)
		}
	}
	return l
}

// toFields converts alternating keys and values to fields.
func toFields(kv []any) []Field {
	l := make([]Field, 0, (len(kv)+1)/2)
	for i := 0; i < len(kv); i += 2 {
		f := Field{Key: fmt.Sprint(kv[i])}
		if i+1 < len(kv) {
			f.Value = fmt.Sprint(kv[i+1])
		}
		l = append(l, f)
	}
	return l
}
