package fake

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// PlainServiceOptions are the options of a PlainService.
type PlainServiceOptions struct {
	Listener net.Listener
	// CallTime is the execution time of one call.
	CallTime time.Duration
}

// PlainServiceFaults are the faults that a PlainService injects. The zero value
// has none.
type PlainServiceFaults struct {
	// Times is the number of calls to which the faults apply; zero means all.
	Times int `json:"times,omitempty"`
	// DropAnswer executes the call and closes the connection without an answer.
	DropAnswer bool `json:"drop,omitempty"`
	// ExtraTime is added to the execution time of a call.
	ExtraTime time.Duration `json:"slow,omitempty"`
	// Refuse answers with the header that says that the call did not run.
	Refuse bool `json:"refuse,omitempty"`
	// WrongAttemptID puts the id of another attempt into the answer.
	WrongAttemptID bool `json:"crossed,omitempty"`
	// Truncate ends the answer halfway through its announced length.
	Truncate bool `json:"truncate,omitempty"`
	// Fail executes the call and answers with status 500.
	Fail bool `json:"fail,omitempty"`
}

// PlainService is a stand-in for a backend server of a plain service. It counts how
// often it executes each call.
type PlainService struct {
	*server
	callTime time.Duration

	mu              sync.Mutex
	faults          PlainServiceFaults
	faultyCallsLeft int
	running         int
	runs            map[string]int
}

// NewPlainService serves a PlainService on the listener until Crash is called.
func NewPlainService(o PlainServiceOptions) *PlainService {
	p := &PlainService{callTime: o.CallTime, runs: map[string]int{}}
	p.server = newServer(o.Listener, p.handle)
	return p
}

// RunKey returns the key under which executions of a call are counted.
func RunKey(path string, body []byte) string { return path + " " + string(body) }

// SetFaults replaces the faults for the calls that follow.
func (p *PlainService) SetFaults(f PlainServiceFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.faultyCallsLeft = f.Times
}

// Runs returns how often the call with the given RunKey was executed.
func (p *PlainService) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// AllRuns returns how often each call was executed.
func (p *PlainService) AllRuns() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]int, len(p.runs))
	for k, n := range p.runs {
		all[k] = n
	}
	return all
}

// takeFaults returns the faults for one call and counts the call.
func (p *PlainService) takeFaults() PlainServiceFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	if f.Times == 0 {
		return f
	}
	if p.faultyCallsLeft == 0 {
		return PlainServiceFaults{}
	}
	p.faultyCallsLeft--
	return f
}

// Load returns the number of calls that run now.
func (p *PlainService) Load() wigeonladder.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return wigeonladder.Load{Running: p.running}
}

// addRunning changes the number of running calls.
func (p *PlainService) addRunning(by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += by
}

// handle routes a request.
func (p *PlainService) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/load":
		writeJSON(c, p.Load())
	case "/control/faults":
		applyFaults(c, p.SetFaults)
	case "/control/runs":
		writeJSON(c, p.AllRuns())
	case "/control/die":
		p.Crash()
	default:
		p.execute(c)
	}
}

// execute executes one call and answers it.
func (p *PlainService) execute(c *fasthttp.RequestCtx) {
	f := p.takeFaults()
	id := string(c.Request.Header.Peek(attemptHeader))
	if f.WrongAttemptID {
		id += "0"
	}
	c.Response.Header.Set(attemptHeader, id)
	if f.Refuse {
		refuseNotRun(c)
		return
	}
	method, path, body := string(c.Method()), string(c.RequestURI()), bytes.Clone(c.PostBody())
	p.mu.Lock()
	p.runs[RunKey(path, body)]++
	p.mu.Unlock()
	p.addRunning(1)
	defer p.addRunning(-1)
	// The execution goes on after the caller has disconnected, as in a real
	// application.
	if sleep(p.runContext(), p.callTime+f.ExtraTime) != nil {
		return
	}
	p.sendAnswer(c, f, PlainServiceAnswer(method, path, body))
}

// sendAnswer sends the answer, changed by the faults.
func (p *PlainService) sendAnswer(c *fasthttp.RequestCtx, f PlainServiceFaults, answer []byte) {
	switch {
	case f.DropAnswer:
		_ = c.Conn().Close()
	case f.Truncate:
		sendTruncated(c, answer)
	case f.Fail:
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		c.SetBodyString(`{"error":{"message":"failed"}}`)
	default:
		c.SetContentType("application/json")
		c.SetBody(answer)
	}
}
