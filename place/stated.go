package place

import (
	"math"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/estimate"
)

const (
	// unreadStep is the weight of the newest prompt in the mean of uncached tokens.
	unreadStep = 0.02
	// steadyWorkTime is the ratio of work times up to which the machine of a server
	// counts as equally fast while it read a prompt.
	steadyWorkTime = 1.25
	// maxStatedAge is the age from which a reported work time tells nothing.
	maxStatedAge = 10 * time.Second
)

// serviceRates is what was learned about the servers of a service together.
type serviceRates struct {
	// runTime is the mean run time, unread the mean number of uncached tokens of a
	// prompt.
	runTime runTime
	unread  float64
	prompts int
	engine  estimate.Rates
	// accuracy compares expected and observed times to the first token.
	accuracy estimate.Accuracy
	// call is the mean time of a call to a plain service at the usual work time.
	call time.Duration
}

// newServiceRates returns the rates of a service before any call.
func newServiceRates() *serviceRates {
	return &serviceRates{
		runTime: runTime{initialRunTime},
		engine:  estimate.NewRates(firstTokenTime, readTokensPerMs, streamTime),
		call:    callTime,
	}
}

// recordPrompt records the number of uncached tokens of a prompt.
func (r *serviceRates) recordPrompt(uncachedTokens int) {
	r.prompts++
	r.unread += (float64(uncachedTokens) - r.unread) * max(1/float64(r.prompts), unreadStep)
}

// RecordLoad records the load that a server stated in the answer to a call that was sent
// at sentAt.
func (p *Pool) RecordLoad(i wigeonladder.Instance, l wigeonladder.ServerLoad, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[i.ID]
	now := time.Now()
	if s == nil || !s.instance.SameStart(i) || sentAt.After(now) {
		return
	}
	s.stated, s.statedAt = l, now
	if l.WorkTime > 0 {
		s.workTime = s.workTime.With(l.WorkTime, now)
		p.stated[s] = struct{}{}
	}
}

// StatedWorkTime is the work time that a server stated, for the other daemons.
type StatedWorkTime struct {
	Server string `json:"s"`
	// WorkTime is in percent of the usual one, AgeMs the time since the statement in
	// milliseconds.
	WorkTime int   `json:"t"`
	AgeMs    int64 `json:"a,omitempty"`
}

// exportStated returns the work times that servers stated to this daemon since the last
// export.
func (p *Pool) exportStated(now time.Time) []StatedWorkTime {
	var l []StatedWorkTime
	for s := range p.stated {
		if p.servers[s.instance.ID] == s && len(l) < maxSent {
			l = append(l, StatedWorkTime{s.instance.ID, int(math.Round(100 * s.stated.WorkTime)), now.Sub(s.statedAt).Milliseconds()})
		}
	}
	clear(p.stated)
	return l
}

// importStated applies a work time that a server stated to another daemon.
func (p *Pool) importStated(x StatedWorkTime, now time.Time) {
	if s := p.servers[x.Server]; s != nil && x.AgeMs >= 0 && x.AgeMs < maxStatedAge.Milliseconds() {
		s.workTime = s.workTime.With(float64(x.WorkTime)/100, now.Add(-time.Duration(x.AgeMs)*time.Millisecond))
	}
}

// learn learns from the first token of a lease that arrived now.
func (s *server) learn(l *Lease, now time.Time) {
	took := now.Sub(l.sentAt)
	s.rates.accuracy.Record(l.ExpectedFirstToken, took)
	if !s.workTime.IsKnown() {
		s.updateLatencyRatio(l.ExpectedFirstToken, took)
		return
	}
	if !s.causesKnown(l, now) {
		return
	}
	sample := estimate.Sample{
		Tokens: l.ahead.unreadTokens + l.UncachedTokens, Streams: l.ahead.running,
		Took: time.Duration(float64(took) / s.workTime.Last()),
	}
	if s.engine != nil {
		s.rates.engine = s.rates.engine.With(sample)
		return
	}
	s.rates.call += time.Duration(float64(sample.Took-s.rates.call) * callStep)
}

// callStep is the weight of the newest call in the mean time of a call to a plain
// service.
const callStep = 0.02

// causesKnown reports whether the causes of a first token that arrives now are known: the
// machine was equally fast all the time, and the server states no more requests than it
// was known to have.
func (s *server) causesKnown(l *Lease, now time.Time) bool {
	if s.statedAt.Before(l.sentAt) || now.Sub(s.statedAt) > time.Millisecond {
		return false
	}
	if r := s.workTime.Last() / l.workTime; r > steadyWorkTime || r < 1/steadyWorkTime {
		return false
	}
	if s.engine == nil {
		return l.ahead.running < s.slots() && s.stated.Waiting == 0
	}
	return float64(s.stated.Waiting) <= 1+float64(l.ahead.unreadTokens)/max(s.rates.unread, 1)
}
