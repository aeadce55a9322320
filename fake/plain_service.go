package fake

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// PlainServiceOptions describes a stand-in for an application server.
type PlainServiceOptions struct {
	Listener net.Listener
	// CallTime is the time that one call takes.
	CallTime time.Duration
}

// PlainServiceFaults are the faults of a plain service. The zero value has none.
type PlainServiceFaults struct {
	// Times is the number of calls to which the faults apply; zero means all.
	Times int `json:"times,omitempty"`
	// DropAnswer executes the call and closes the connection before answering.
	DropAnswer bool `json:"drop,omitempty"`
	// ExtraTime is added to the time that a call takes.
	ExtraTime time.Duration `json:"slow,omitempty"`
	// Refuse refuses with the mark that the work did not run.
	Refuse bool `json:"refuse,omitempty"`
	// WrongAttemptID echoes the id of another attempt.
	WrongAttemptID bool `json:"crossed,omitempty"`
	// Truncate ends the answer halfway through its announced length.
	Truncate bool `json:"truncate,omitempty"`
	// Fail executes the call and answers with status 500.
	Fail bool `json:"fail,omitempty"`
}

// PlainService is a stand-in for a plain service that counts what it executes.
type PlainService struct {
	*server
	work time.Duration

	mu      sync.Mutex
	faults  PlainServiceFaults
	left    int
	running int
	runs    map[string]int
}

// NewPlainService serves a stand-in plain service on the listener until Die is called.
func NewPlainService(o PlainServiceOptions) *PlainService {
	d := &PlainService{work: o.CallTime, runs: map[string]int{}}
	d.server = newServer(o.Listener, d.handle)
	return d
}

// RunKey returns the key under which executions of a call are counted.
func RunKey(path string, body []byte) string { return path + " " + string(body) }

// SetFaults replaces the faults.
func (d *PlainService) SetFaults(f PlainServiceFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
	d.left = f.Times
}

// Runs returns how often the call with the given RunKey was executed.
func (d *PlainService) Runs(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[key]
}

// AllRuns returns how often each call was executed.
func (d *PlainService) AllRuns() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]int, len(d.runs))
	for k, n := range d.runs {
		all[k] = n
	}
	return all
}

// take returns the faults for one call.
func (d *PlainService) take() PlainServiceFaults {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.faults
	if f.Times == 0 {
		return f
	}
	if d.left == 0 {
		return PlainServiceFaults{}
	}
	d.left--
	return f
}

// Load returns the number of calls that run now.
func (d *PlainService) Load() wigeonladder.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return wigeonladder.Load{Running: d.running}
}

// change counts a call in or out.
func (d *PlainService) change(by int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += by
}

// handle routes a request.
func (d *PlainService) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/load":
		writeJSON(c, d.Load())
	case "/control/faults":
		control(c, d.SetFaults)
	case "/control/runs":
		writeJSON(c, d.AllRuns())
	case "/control/die":
		d.Crash()
	default:
		d.call(c)
	}
}

// call executes one call.
func (d *PlainService) call(c *fasthttp.RequestCtx) {
	f := d.take()
	id := string(c.Request.Header.Peek(attemptHeader))
	if f.WrongAttemptID {
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
	if pause(d.life(), d.work+f.ExtraTime) != nil {
		return
	}
	d.answer(c, f, PlainServiceAnswer(method, path, body))
}

// answer sends the answer as the faults have it.
func (d *PlainService) answer(c *fasthttp.RequestCtx, f PlainServiceFaults, answer []byte) {
	switch {
	case f.DropAnswer:
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
