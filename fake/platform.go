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

// maxPoll bounds the wait that a reader may ask for.
const maxPoll = 5 * time.Minute

// Platform is a stand-in for the platform's configuration service and its list
// of VMs. It answers GET /config and GET /live as long polls:
//
//	GET /config?above=N&wait=MS   the document once its revision is above N
//	GET /live?above=N&wait=MS     the list once its version is above N
//
// A scenario with separate processes drives it over HTTP:
//
//	POST /control/config          publishes the body
//	POST /control/live            sets the list in the body
//	POST /control/down?on=true    fails all reads until it is set to false
//	POST /control/stale?on=true   freezes what reads return
type Platform struct {
	server *fasthttp.Server

	mu     sync.Mutex
	newest published
	served published
	down   bool
	stale  bool
	calls  int
	// changed is closed when the answer to a waiting read may have changed.
	changed chan struct{}
	closed  bool
}

// published is what the platform serves.
type published struct {
	document []byte
	revision uint64
	live     wigeonladder.LiveList
}

// NewPlatform returns a platform that has published nothing yet. Reads wait
// until there is something.
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
// document; a document without one counts as the revision after the last, so
// that readers get to see it.
func (p *Platform) Publish(document []byte) {
	var head struct {
		Revision uint64 `json:"revision"`
	}
	err := json.Unmarshal(document, &head)
	p.update(func() {
		if err != nil || head.Revision == 0 {
			head.Revision = p.newest.revision + 1
		}
		p.newest.document = append([]byte(nil), document...)
		p.newest.revision = head.Revision
	})
}

// SetLive replaces the list of VMs.
func (p *Platform) SetLive(l wigeonladder.LiveList) {
	p.update(func() { p.newest.live = l })
}

// SetDown makes all reads fail with status 503, also those that wait, or ends
// that.
func (p *Platform) SetDown(down bool) {
	p.update(func() { p.down = down })
}

// SetStale freezes what reads return, or shows the newest state again.
func (p *Platform) SetStale(stale bool) {
	p.update(func() { p.stale = stale })
}

// Reads returns the number of reads that have arrived.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// update changes the state and wakes waiting reads.
func (p *Platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	if !p.stale {
		p.served = p.newest
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// handle routes one HTTP request.
func (p *Platform) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/config":
		p.read(c, func(s published) ([]byte, uint64, error) {
			return s.document, s.revision, nil
		})
	case "/live":
		p.read(c, func(s published) ([]byte, uint64, error) {
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

// read answers one long poll. The part that it serves is chosen by pick.
func (p *Platform) read(c *fasthttp.RequestCtx, pick func(published) ([]byte, uint64, error)) {
	p.mu.Lock()
	p.calls++
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
		s, changed, failing := p.served, p.changed, p.down || p.closed
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
			answer(c, body, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		}
	}
}

// answer writes what was read, or status 404 if nothing was published yet.
func answer(c *fasthttp.RequestCtx, body []byte, version uint64) {
	if version == 0 {
		c.Error("nothing published", fasthttp.StatusNotFound)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// pollArgs reads the arguments of a long poll. Both may be left out.
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
		wait = min(time.Duration(ms)*time.Millisecond, maxPoll)
	}
	return above, wait, nil
}
