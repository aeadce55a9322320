package fake

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// maxPollWait is the maximum duration of a long poll.
const maxPollWait = 5 * time.Minute

// Platform is a stand-in for the platform's configuration service and its list
// of VMs. It answers GET /config and GET /live as long polls:
//
//	GET /config?above=N&wait=MS   the document once its revision is above N
//	GET /live?above=N&wait=MS     the list once its version is above N
//
// A scenario with separate processes controls it over HTTP:
//
//	POST /control/config          publishes the body
//	POST /control/live            sets the list in the body
//	POST /control/down?on=true    fails all reads until it is set to false
//	POST /control/stale?on=true   freezes what reads return until it is set to false
type Platform struct {
	server *fasthttp.Server

	mu     sync.Mutex
	latest platformState
	// visible is the state that reads return. It differs from latest only while
	// stale is set.
	visible platformState
	down    bool
	stale   bool
	reads   int
	// changed is closed and replaced when the answer to a waiting read may have
	// changed.
	changed chan struct{}
	closed  bool
}

// platformState is the data that the platform serves.
type platformState struct {
	document []byte
	revision uint64
	live     wigeonladder.LiveList
}

// NewPlatform returns a platform that has published nothing yet. Reads wait until
// something is published.
func NewPlatform() *Platform {
	p := &Platform{changed: make(chan struct{})}
	p.server = &fasthttp.Server{
		Handler:               p.handle,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    4 << 20,
	}
	return p
}

// Serve answers reads on the listener until Close.
func (p *Platform) Serve(ln net.Listener) error {
	return errors.Wrap(p.server.Serve(ln), "platform")
}

// Close ends all waiting reads and stops the server.
func (p *Platform) Close() error {
	p.update(func() { p.closed = true })
	return errors.Wrap(p.server.Shutdown(), "platform")
}

// Publish replaces the configuration document. Its revision is read from the
// document. A document without a revision gets the one after the last, so that
// readers receive it.
func (p *Platform) Publish(document []byte) {
	var head struct {
		Revision uint64 `json:"revision"`
	}
	err := json.Unmarshal(document, &head)
	p.update(func() {
		if err != nil || head.Revision == 0 {
			head.Revision = p.latest.revision + 1
		}
		p.latest.document = append([]byte(nil), document...)
		p.latest.revision = head.Revision
	})
}

// SetLive replaces the list of VMs.
func (p *Platform) SetLive(l wigeonladder.LiveList) {
	p.update(func() { p.latest.live = l })
}

// SetDown makes all reads fail with status 503, also those that wait, or lets them
// succeed again.
func (p *Platform) SetDown(down bool) {
	p.update(func() { p.down = down })
}

// SetStale freezes what reads return, or lets them return the latest state again.
func (p *Platform) SetStale(stale bool) {
	p.update(func() { p.stale = stale })
}

// Reads returns the number of reads that have arrived.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// update changes the state and makes waiting reads check it.
func (p *Platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	if !p.stale {
		p.visible = p.latest
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// handle routes one HTTP request.
func (p *Platform) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/config":
		p.read(c, func(s platformState) ([]byte, uint64, error) {
			return s.document, s.revision, nil
		})
	case "/live":
		p.read(c, func(s platformState) ([]byte, uint64, error) {
			body, err := json.Marshal(s.live)
			return body, s.live.Version, err
		})
	case "/control/config":
		p.Publish(c.PostBody())
	case "/control/live":
		var l wigeonladder.LiveList
		if err := json.Unmarshal(c.PostBody(), &l); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.SetLive(l)
	case "/control/down":
		p.SetDown(c.QueryArgs().GetBool("on"))
	case "/control/stale":
		p.SetStale(c.QueryArgs().GetBool("on"))
	default:
		c.Error("no such path", fasthttp.StatusNotFound)
	}
}

// read answers one long poll with the body and the version that pick selects from
// the state.
func (p *Platform) read(c *fasthttp.RequestCtx, pick func(platformState) ([]byte, uint64, error)) {
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	above, wait, err := pollArgs(c.QueryArgs())
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		p.mu.Lock()
		s, changed, failing := p.visible, p.changed, p.down || p.closed
		p.mu.Unlock()
		if failing {
			c.Error("platform is down", fasthttp.StatusServiceUnavailable)
			c.SetConnectionClose()
			return
		}
		body, version, err := pick(s)
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		if version > above || !waiting {
			writePollAnswer(c, body, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		}
	}
}

// writePollAnswer writes the body, or status 404 if nothing was published yet.
func writePollAnswer(c *fasthttp.RequestCtx, body []byte, version uint64) {
	if version == 0 {
		c.Error("nothing published", fasthttp.StatusNotFound)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// pollArgs parses the arguments of a long poll. Both are optional and 0 by default.
func pollArgs(a *fasthttp.Args) (above uint64, wait time.Duration, err error) {
	if s := string(a.Peek("above")); s != "" {
		above, err = strconv.ParseUint(s, 10, 64)
		if err != nil {
			return 0, 0, errors.Wrap(err, "above")
		}
	}
	if a.Has("wait") {
		ms, err := a.GetUint("wait")
		if err != nil {
			return 0, 0, errors.Wrap(err, "wait")
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxPollWait)
	}
	return above, wait, nil
}
