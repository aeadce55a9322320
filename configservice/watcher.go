package configservice

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder"
)

// Options are what a Watcher needs.
type Options struct {
	Platform wigeonladder.Platform
	// Parse reads and checks a configuration document. It must depend on the
	// document alone, so that all daemons decide alike.
	Parse func([]byte) (wigeonladder.Config, error)
	// Journal takes notes of what was accepted and rejected; nil for none.
	Journal wigeonladder.Journal
	// Seed seeds the jitter. It must differ between daemons.
	Seed uint64
	// StartPolling delays the first call to the platform until the channel is
	// closed, so that peers can be asked first; nil for no delay.
	StartPolling <-chan struct{}
}

// Watcher keeps the newest accepted configuration and the newest list of VMs.
// Its methods may be called at the same time.
type Watcher struct {
	options Options

	mu       sync.Mutex
	config   wigeonladder.Config
	document []byte
	live     wigeonladder.LiveList
	rejected *RejectedDocument
	// rejectedRevision is the highest revision from the platform that was rejected. The
	// platform is asked for revisions above it.
	rejectedRevision uint64
	// lastErrors are the last errors of the platform by what was read.
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
	// ConfigError and LiveError are set while the platform fails.
	ConfigError string `json:"configError,omitempty"`
	LiveError   string `json:"liveError,omitempty"`
	// Rejected is the last revision that was not accepted.
	Rejected *RejectedDocument `json:"rejected,omitempty"`
}

// What is read from the platform.
const (
	readConfig = "config"
	readLive   = "live"
)

// Where a document came from.
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

// Wait returns once the context has ended and no call is running.
func (w *Watcher) Wait() { w.loops.Wait() }

// Config returns the configuration in force. Its revision is 0 before the first
// one was accepted.
func (w *Watcher) Config() wigeonladder.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

// Document returns the configuration in force as it was published, for peers.
// It must not be changed.
func (w *Watcher) Document() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.document
}

// Live returns the newest list of VMs.
func (w *Watcher) Live() wigeonladder.LiveList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.live
}

// Changed returns a channel that is closed at the next change of the
// configuration or the list of VMs. Get the channel before the state, so that
// no change is missed.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// WaitReady returns when a first configuration is in force. An ended context is
// an error only while there is none.
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

// Dump returns the state for operators.
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

// applyDocument checks a document and puts it in force if it is newer. It returns the
// revision that the document claims.
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

// claimedRevision returns the revision that a document claims, or 0 if it cannot be
// read.
func claimedRevision(document []byte) uint64 {
	var head struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(document, &head); err != nil {
		return 0
	}
	return head.Revision
}

// accept puts a valid configuration in force unless a newer one came first.
func (w *Watcher) accept(c wigeonladder.Config, document []byte, from string) {
	if w.replaceConfig(c, document) {
		w.note("config accepted", "revision", c.Revision, "from", from)
	}
}

// replaceConfig sets the configuration if it is newer and reports whether it was.
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

// reject records an invalid document, once for each revision and error.
func (w *Watcher) reject(revision uint64, from string, err error) {
	if w.recordRejection(RejectedDocument{Revision: revision, From: from, Error: err.Error()}) {
		w.note("config rejected", "revision", revision, "from", from, "error", err)
	}
}

// recordRejection keeps a rejection and reports whether it is another than the last.
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

// signalChange tells those who wait for a change.
func (w *Watcher) signalChange() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// note writes to the journal.
func (w *Watcher) note(event string, fields ...any) {
	if w.options.Journal != nil {
		w.options.Journal.Note("", event, fields...)
	}
}

// pollConfig sends one long poll for the document. It reports whether the
// answer was new.
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

// pollLive sends one long poll for the list of VMs. It reports whether the
// answer was new.
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

// replaceLive sets the list if it is newer and reports whether it was.
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

// recordResult keeps the last error of the platform; nil clears it. The journal gets
// the first of a row of errors.
func (w *Watcher) recordResult(what string, err error) {
	if w.setError(what, err) && err != nil {
		w.note("platform fails", "read", what, "error", err)
	}
}

// setError stores the last error and reports whether there was none before.
func (w *Watcher) setError(what string, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.lastErrors[what] == ""
	if err == nil {
		delete(w.lastErrors, what)
		return first
	}
	w.lastErrors[what] = err.Error()
	return first
}

// newRandom returns the random numbers of one loop.
func (w *Watcher) newRandom(stream string) *rand.Rand {
	return rand.New(rand.NewPCG(w.options.Seed, uint64(len(stream))))
}
