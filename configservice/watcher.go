package configservice

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder"
)

// Options are the dependencies and settings of a Watcher.
type Options struct {
	Platform wigeonladder.Platform
	// Parse parses and validates a configuration document. Its result must
	// depend on the document alone, so that all daemons decide alike.
	Parse func([]byte) (wigeonladder.Config, error)
	// Journal records which documents were accepted or rejected; nil for none.
	Journal wigeonladder.Journal
	// Seed seeds the jitter. It must differ between daemons, so that their
	// calls to the platform spread.
	Seed uint64
	// StartPolling delays the first call to the platform until the channel is
	// closed, so that peers can be asked first; nil for no delay.
	StartPolling <-chan struct{}
}

// Watcher keeps the newest accepted configuration and the newest live list.
// It is safe for concurrent use.
type Watcher struct {
	options Options

	mu       sync.Mutex
	config   wigeonladder.Config
	document []byte
	live     wigeonladder.LiveList
	rejected *RejectedDocument
	// rejectedRevision is the highest revision from the platform that was
	// rejected. The next poll asks for a higher one.
	rejectedRevision uint64
	// lastErrors are the last errors of the platform, by read (readConfig,
	// readLive).
	lastErrors map[string]string
	changed    chan struct{}
	ready      chan struct{}
	loops      sync.WaitGroup
}

// RejectedDocument describes a document that was not accepted.
type RejectedDocument struct {
	Revision uint64 `json:"revision"`
	From     string `json:"from"`
	Error    string `json:"error"`
}

// Dump is the state of a Watcher for operators.
type Dump struct {
	Revision    uint64 `json:"revision"`
	LiveVersion uint64 `json:"liveVersion"`
	// ConfigError and LiveError are the last errors of the platform; they are
	// empty while its calls succeed.
	ConfigError string `json:"configError,omitempty"`
	LiveError   string `json:"liveError,omitempty"`
	// Rejected is the last document that was rejected.
	Rejected *RejectedDocument `json:"rejected,omitempty"`
}

// The names of the reads from the platform, in the journal.
const (
	readConfig = "config"
	readLive   = "live"
)

// The sources of a document, in the journal and in RejectedDocument.
const (
	fromPlatform = "platform"
	fromPeer     = "peer"
)

// NewWatcher returns a Watcher that follows the platform until the context
// ends.
func NewWatcher(ctx context.Context, o Options) *Watcher {
	w := &Watcher{
		options:    o,
		lastErrors: map[string]string{},
		changed:    make(chan struct{}),
		ready:      make(chan struct{}),
	}
	w.loops.Go(func() { w.pollLoop(ctx, readConfig, w.pollConfig) })
	w.loops.Go(func() { w.pollLoop(ctx, readLive, w.pollLive) })
	return w
}

// Wait returns once the context has ended and no call runs.
func (w *Watcher) Wait() { w.loops.Wait() }

// Config returns the configuration in force. Its revision is 0 until a first
// one is accepted.
func (w *Watcher) Config() wigeonladder.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

// Document returns the document of the configuration in force as it was
// published, to be sent to peers. The caller must not modify it.
func (w *Watcher) Document() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.document
}

// Live returns the newest live list.
func (w *Watcher) Live() wigeonladder.LiveList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.live
}

// Changed returns a channel that is closed at the next change of the
// configuration or of the live list. To miss no change, get the channel before
// reading the state.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// WaitReady returns nil as soon as a first configuration is in force. It
// returns an error if the context ends before that. Once a configuration is in
// force, an ended context is no error.
func (w *Watcher) WaitReady(ctx context.Context) error {
	if w.Config().Revision != 0 {
		return nil
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "no configuration yet")
	}
}

// Dump returns the state of the Watcher for operators.
func (w *Watcher) Dump() Dump {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := Dump{
		Revision:    w.config.Revision,
		LiveVersion: w.live.Version,
		ConfigError: w.lastErrors[readConfig],
		LiveError:   w.lastErrors[readLive],
	}
	if w.rejected != nil {
		r := *w.rejected
		d.Rejected = &r
	}
	return d
}

// ApplyPeerDocument checks a document from a peer in the same way as one from
// the platform and puts it in force if its revision is higher than that in
// force. It returns an error if the document is invalid; a valid document of
// the same or a lower revision is no error.
func (w *Watcher) ApplyPeerDocument(document []byte) error {
	_, err := w.applyDocument(document, fromPeer)
	return err
}

// applyDocument parses a document and puts it in force if it is newer. It
// returns the revision of the document, or 0 if that cannot be read.
func (w *Watcher) applyDocument(document []byte, from string) (uint64, error) {
	claimed := claimedRevision(document)
	if claimed != 0 && claimed <= w.Config().Revision {
		return claimed, nil
	}
	c, err := w.options.Parse(document)
	if err != nil {
		w.reject(claimed, from, err)
		return claimed, err
	}
	w.accept(c, document, from)
	return c.Revision, nil
}

// claimedRevision reads the revision of a document without validating the rest.
// It returns 0 if the document cannot be read.
func claimedRevision(document []byte) uint64 {
	var head struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(document, &head); err != nil {
		return 0
	}
	return head.Revision
}

// accept puts a valid configuration in force if its revision is higher than
// that in force.
func (w *Watcher) accept(c wigeonladder.Config, document []byte, from string) {
	if w.replaceConfig(c, document) {
		w.note("config accepted", "revision", c.Revision, "from", from)
	}
}

// replaceConfig stores the configuration if it is newer and reports whether it
// is.
func (w *Watcher) replaceConfig(c wigeonladder.Config, document []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Revision <= w.config.Revision {
		return false
	}
	if w.config.Revision == 0 {
		close(w.ready)
	}
	w.config = c
	w.document = append([]byte(nil), document...)
	w.signalChange()
	return true
}

// reject records an invalid document. If the same revision is rejected with
// the same error several times in a row, the journal gets one entry.
func (w *Watcher) reject(revision uint64, from string, err error) {
	if w.recordRejection(RejectedDocument{Revision: revision, From: from, Error: err.Error()}) {
		w.note("config rejected", "revision", revision, "from", from, "error", err)
	}
}

// recordRejection stores a rejection and reports whether it differs from the
// last one.
func (w *Watcher) recordRejection(r RejectedDocument) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.From == fromPlatform {
		w.rejectedRevision = max(w.rejectedRevision, r.Revision)
	}
	if w.rejected != nil && w.rejected.Revision == r.Revision && w.rejected.Error == r.Error {
		return false
	}
	w.rejected = &r
	return true
}

// signalChange closes the channel of Changed. w.mu must be held.
func (w *Watcher) signalChange() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// note records an event if there is a journal.
func (w *Watcher) note(event string, fields ...any) {
	if w.options.Journal != nil {
		w.options.Journal.Note("", event, fields...)
	}
}

// pollConfig sends one long poll for the configuration. It reports whether the
// answer was a change.
func (w *Watcher) pollConfig(ctx context.Context) (bool, error) {
	w.mu.Lock()
	above := max(w.config.Revision, w.rejectedRevision)
	w.mu.Unlock()
	document, err := w.options.Platform.Config(ctx, above, pollTimeout)
	if err != nil {
		return false, err
	}
	revision, err := w.applyDocument(document, fromPlatform)
	if revision == 0 {
		return false, err
	}
	return revision > above, nil
}

// pollLive sends one long poll for the live list. It reports whether the answer
// was a change.
func (w *Watcher) pollLive(ctx context.Context) (bool, error) {
	above := w.Live().Version
	l, err := w.options.Platform.Live(ctx, above, pollTimeout)
	if err != nil {
		return false, err
	}
	if !w.replaceLive(l) {
		return false, nil
	}
	w.note("live list accepted", "version", l.Version, "vms", len(l.VMs))
	return true, nil
}

// replaceLive stores the live list if it is newer and reports whether it is.
func (w *Watcher) replaceLive(l wigeonladder.LiveList) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Version <= w.live.Version {
		return false
	}
	w.live = l
	w.signalChange()
	return true
}

// recordResult stores the result of a call to the platform; a nil error means
// success. The journal gets only the first of several errors in a row.
func (w *Watcher) recordResult(read string, err error) {
	if w.setError(read, err) && err != nil {
		w.note("platform fails", "read", read, "error", err)
	}
}

// setError stores or clears the last error of a read. It reports whether there
// was none before.
func (w *Watcher) setError(read string, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.lastErrors[read] == ""
	if err == nil {
		delete(w.lastErrors, read)
		return first
	}
	w.lastErrors[read] = err.Error()
	return first
}

// newRandom returns the random number generator of one polling loop. The
// lengths of the names of the two reads differ, so that the loops get different
// numbers.
func (w *Watcher) newRandom(read string) *rand.Rand {
	return rand.New(rand.NewPCG(w.options.Seed, uint64(len(read))))
}
