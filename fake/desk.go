package fake

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// DeskOptions describes a stand-in for an application server.
type DeskOptions struct {
	Listener net.Listener
	// Work is the time that one call takes.
	Work time.Duration
}

// DeskFaults are the faults of a plain service. The zero value has none.
type DeskFaults struct {
	// Times is the number of calls to which the faults apply; zero means all.
	Times int `json:"times,omitempty"`
	// Drop executes the call and closes the connection before answering.
	Drop bool `json:"drop,omitempty"`
	// Slow is added to the time that a call takes.
	Slow time.Duration `json:"slow,omitempty"`
	// Refuse refuses with the mark that the work did not run.
	Refuse bool `json:"refuse,omitempty"`
	// Crossed echoes the id of another attempt.
	Crossed bool `json:"crossed,omitempty"`
	// Truncate ends the answer halfway through its announced length.
	Truncate bool `json:"truncate,omitempty"`
	// Fail executes the call and answers with status 500.
	Fail bool `json:"fail,omitempty"`
}

// Desk is a stand-in for a plain service that counts what it executes.
type Desk struct {
	*server
	work time.Duration

	mu      sync.Mutex
	faults  DeskFaults
	left    int
	running int
	runs    map[string]int
}

// NewDesk serves a stand-in plain service on the listener until Die is called.
func NewDesk(o DeskOptions) *Desk {
	d := &Desk{work: o.Work, runs: map[string]int{}}
	d.server = newServer(o.Listener, d.handle)
	return d
}

// RunKey returns the key under which executions of a call are counted.
func RunKey(path string, body []byte) string { return path + " " + string(body) }

// SetFaults replaces the faults.
func (d *Desk) SetFaults(f DeskFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
	d.left = f.Times
}

// Runs returns how often the call with the given RunKey was executed.
func (d *Desk) Runs(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[key]
}

// AllRuns returns how often each call was executed.
func (d *Desk) AllRuns() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]int, len(d.runs))
	for k, n := range d.runs {
		all[k] = n
	}
	return all
}

// take returns the faults for one call.
func (d *Desk) take() DeskFaults {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.faults
	if f.Times == 0 {
		return f
	}
	if d.left == 0 {
		return DeskFaults{}
	}
	d.left--
	return f
}

// Load returns the number of calls that run now.
func (d *Desk) Load() wigeonladder.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return wigeonladder.Load{Running: d.running}
}

// change counts a call in or out.
func (d *Desk) change(by int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += by
}

// handle routes a request.
func (d *Desk) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/load":
		writeJSON(c, d.Load())
	case "/control/faults":
		control(c, d.SetFaults)
	case "/control/runs":
		writeJSON(c, d.AllRuns())
	case "/control/die":
		d.Die()
	default:
		d.call(c)
	}
}

// call executes one call.
func (d *Desk) call(c *fasthttp.RequestCtx) {
	f := d.take()
	id := string(c.Request.Header.Peek(attemptHeader))
	if f.Crossed {
		id += "0"
	}
	c.Response.Header.Set(attemptHeader, id)
	if f.Refuse {
		refuse(c)
		return
	}
	method, path, body := string(c.Method()), string(c.RequestURI()), bytes.Clone(c.PostBody())
	d.mu.Lock()
	d.runs[RunKey(path, body)]++
	d.mu.Unlock()
	d.change(1)
	defer d.change(-1)
	// The work goes on when the caller has gone: an execution is not undone.
	if pause(d.life(), d.work+f.Slow) != nil {
		return
	}
	d.answer(c, f, DeskAnswer(method, path, body))
}

// answer sends the answer as the faults have it.
func (d *Desk) answer(c *fasthttp.RequestCtx, f DeskFaults, answer []byte) {
	switch {
	case f.Drop:
		_ = c.Conn().Close()
	case f.Truncate:
		breakOff(c, answer)
	case f.Fail:
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		c.SetBodyString(`{"error":{"message":"failed"}}`)
	default:
		c.SetContentType("application/json")
		c.SetBody(answer)
	}
}
