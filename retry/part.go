package retry

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// maxCrashesPerPart bounds the crashes in the record of a prompt part; the oldest
	// are dropped.
	maxCrashesPerPart = 8
	// maxPartWorkspaces is the number of workspaces in the record of a prompt part.
	// With two, the quarantine no longer depends on the workspace of a call.
	maxPartWorkspaces = 2
	// concurrentCrashTime is the difference of two crash times up to which the
	// crashes may have one cause, such as the loss of a rack.
	concurrentCrashTime = 500 * time.Millisecond
	// maxQuarantineGrowth bounds how often the quarantine of a part is multiplied by
	// four, after trials that crashed a server.
	maxQuarantineGrowth = 3
	// trialTimeout is the time after which a further trial of a part may begin if the
	// last one ended without an answer and without a crash.
	trialTimeout = 10 * time.Second
	// maxLoggedCrashes bounds the crashLog.
	maxLoggedCrashes = 256
)

// CallKeys identifies a call to Suspects: the call as a whole, and the prompt parts
// that it may share with other calls.
type CallKeys struct {
	// Request is the Fingerprint of the call.
	Request uint64
	// Parts are the fingerprints of the shared prompt parts, without repetitions.
	Parts     []uint64
	Workspace string
}

// NewCallKeys returns the keys of a call with a prompt.
func NewCallKeys(r wigeonladder.Request, p wigeonladder.Prompt) CallKeys {
	k := CallKeys{Request: Fingerprint(r), Workspace: r.Workspace}
	for _, id := range p.SharedIDs() {
		if f := partFingerprint(r.Service, p.Model, id); !slices.Contains(k.Parts, f) {
			k.Parts = append(k.Parts, f)
		}
	}
	return k
}

// partFingerprint identifies a prompt part. It does not contain the workspace,
// because a part crashes servers whoever sends it.
func partFingerprint(service, model, id string) uint64 {
	d := xxhash.New()
	for _, s := range []string{"part", service, model, id} {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(s))))
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}

// partState is the state of a suspect that only prompt parts have.
type partState struct {
	// workspaces are the first workspaces whose calls were unanswered at a crash.
	workspaces []string
	// quarantined is true once the part is quarantined, until it is cleared.
	quarantined bool
	// independent is the largest number of independent crashes found by any daemon.
	independent int
	// trials is the number of trials that crashed a server. Until trialUntil, the call
	// with the key trialCall is the only one that is let through.
	trials     int
	trialUntil time.Time
	trialCall  uint64
	// delay differs between daemons, so that the trials of the fleet do not begin
	// together. It is a fraction of the quarantine.
	delay float64
}

// reset resets the state after an answer has cleared the part.
func (p *partState) reset() { *p = partState{} }

// concerns reports whether the quarantine of the part holds for a workspace.
func (p *partState) concerns(workspace string) bool {
	return len(p.workspaces) >= maxPartWorkspaces || slices.Contains(p.workspaces, workspace)
}

// addWorkspace adds a workspace whose call was unanswered at a crash.
func (p *partState) addWorkspace(name string) {
	if len(p.workspaces) < maxPartWorkspaces && !slices.Contains(p.workspaces, name) {
		p.workspaces = append(p.workspaces, name)
	}
}

// quarantineEnd returns the time at which the quarantine of a part ends at this
// daemon.
func (k *suspect) quarantineEnd() time.Time {
	d := suspicionLifetime << (2 * min(k.part.trials, maxQuarantineGrowth))
	return k.changedAt.Add(d + time.Duration(k.part.delay*float64(d)))
}

// RecordCallCrash records that a server crashed before it began to answer a call
// which was sent to it at sentAt. The crash is attributed to the call and to each
// shared part of its prompt until an answer to another call clears the part. The
// server is the name of one incarnation. RecordCallCrash reports whether the crash was
// not known for the call.
func (s *Suspects) RecordCallCrash(c CallKeys, server string, at, sentAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateQuarantine()
	s.logCrash(server, at)
	for _, f := range c.Parts {
		k := s.getOrCreate(f, true)
		if !at.After(k.clearedAt) {
			continue
		}
		if k.part.quarantined && at.After(k.quarantineEnd()) {
			k.part.trials++
			k.part.trialUntil = time.Time{}
		}
		k.addCrash(crash{server: server, at: at, sentAt: sentAt})
		k.part.addWorkspace(c.Workspace)
		k.changedAt = at
		s.markChanged(k)
	}
	k := s.getOrCreate(c.Request, false)
	k.changedAt = at
	s.markChanged(k)
	return k.addCrash(crash{server: server, at: at})
}

// RecordAnswer records that the answer to a call began, which clears the shared parts
// of its prompt: a part that crashes servers never gets an answer.
func (s *Suspects) RecordAnswer(c CallKeys) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range c.Parts {
		if k := s.findActive(f); k != nil {
			k.clear(time.Now())
			s.markChanged(k)
			s.order.MoveToFront(s.records[f])
		}
	}
}

// CheckCall returns an error with CodeSuspect if the call or a part of its prompt is
// quarantined. The place is that of the error.
//
// A part is quarantined once servers crashed at two times, each before they began to
// answer a call with the part, and no call with the part was answered since. If
// several parts have the same crashes, any of them may be the cause, and only calls
// that contain all of them are refused. A quarantine that comes from the calls of one
// workspace holds for that workspace only. After its end, one call at a time is let
// through, as a trial.
func (s *Suspects) CheckCall(c CallKeys, place string) error {
	return s.checkCall(c, place, false)
}

// AdmitCall is CheckCall for a call that is about to be sent, which begins a trial of
// parts whose quarantine has ended.
func (s *Suspects) AdmitCall(c CallKeys, place string) error {
	return s.checkCall(c, place, true)
}

// checkCall implements CheckCall and AdmitCall.
func (s *Suspects) checkCall(c CallKeys, place string, sending bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.quarantineError(s.findActive(c.Request), place); err != nil {
		return err
	}
	s.updateQuarantine()
	if len(s.quarantined) == 0 {
		return nil
	}
	now := time.Now()
	var trials []*suspect
	for _, f := range c.Parts {
		group := s.quarantined[f]
		if len(group) == 0 || !containsAll(c.Parts, group) {
			continue
		}
		k := s.records[f].Value.(*suspect)
		if !k.part.concerns(c.Workspace) {
			continue
		}
		until := k.quarantineEnd()
		if k.part.trialCall != c.Request {
			until = maxTime(until, k.part.trialUntil)
		}
		if now.Before(until) {
			return wigeonladder.Errorf(wigeonladder.CodeSuspect, place,
				"the backend servers %q crashed before they answered a call with a part of this prompt", k.servers()).
				WithRetryAfter(int(math.Ceil(until.Sub(now).Seconds())))
		}
		trials = append(trials, k)
	}
	if sending {
		for _, k := range trials {
			k.part.trialUntil, k.part.trialCall = now.Add(trialTimeout), c.Request
		}
	}
	return nil
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// containsAll reports whether a list contains all fingerprints of another one.
func containsAll(l, all []uint64) bool {
	for _, f := range all {
		if !slices.Contains(l, f) {
			return false
		}
	}
	return true
}

// IsolationKey returns the key of the part of a call that is most suspected of
// crashing servers; 0 if none is. Calls with the same key have to run on the same
// server, so that concurrent calls of all daemons crash at most one server.
func (s *Suspects) IsolationKey(c CallKeys) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var most *suspect
	for _, f := range c.Parts {
		k := s.findActive(f)
		if k == nil {
			continue
		}
		if most == nil || len(k.crashes) > len(most.crashes) || len(k.crashes) == len(most.crashes) && f < most.fingerprint {
			most = k
		}
	}
	if most == nil {
		return 0
	}
	return most.fingerprint
}

// QuarantinedParts returns the number of quarantined parts.
func (s *Suspects) QuarantinedParts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateQuarantine()
	return len(s.quarantined)
}

// updateQuarantine determines the quarantined parts after a change, those with most
// crashes first. Crashes that a quarantined part explains do not count for other parts.
func (s *Suspects) updateQuarantine() {
	if !s.quarantineIsOld {
		return
	}
	s.quarantineIsOld = false
	s.quarantined = map[uint64][]uint64{}
	candidates := s.partsWithRepeatedCrashes()
	explained := map[string]bool{}
	for len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b *suspect) int {
			return cmp.Or(cmp.Compare(len(b.unexplained(explained)), len(a.unexplained(explained))), cmp.Compare(a.fingerprint, b.fingerprint))
		})
		crashes := best.unexplained(explained)
		if s.independentCrashes(best, crashes) < quarantineCrashes {
			candidates = slices.DeleteFunc(candidates, func(k *suspect) bool { return k == best })
			best.part.quarantined = false
			continue
		}
		var group []uint64
		servers := serversOf(crashes)
		candidates = slices.DeleteFunc(candidates, func(k *suspect) bool {
			if !k.hasServers(servers) {
				return false
			}
			k.quarantine()
			group = append(group, k.fingerprint)
			return true
		})
		for _, f := range group {
			s.quarantined[f] = group
		}
		for _, server := range servers {
			explained[server] = true
		}
	}
}

// partsWithRepeatedCrashes returns the parts that can be quarantined.
func (s *Suspects) partsWithRepeatedCrashes() []*suspect {
	var l []*suspect
	for e := s.order.Front(); e != nil; e = e.Next() {
		k := e.Value.(*suspect)
		if k.isPart && len(k.crashes) >= quarantineCrashes && !k.expired() {
			l = append(l, k)
		}
	}
	return l
}

// quarantine marks the part as quarantined.
func (k *suspect) quarantine() {
	if !k.part.quarantined {
		k.part.quarantined = true
		k.part.delay = rand.Float64() // #nosec G404
	}
}

// unexplained returns the crashes of servers that are not explained by another part.
func (k *suspect) unexplained(explained map[string]bool) []crash {
	if len(explained) == 0 {
		return k.crashes
	}
	return slices.DeleteFunc(slices.Clone(k.crashes), func(c crash) bool { return explained[c.server] })
}

// independentCrashes returns the number of independent crashes of a part: the call was
// sent after the previous crash, and at least half of the servers that crashed at about
// the same time had unanswered calls with the part. A daemon that knows the times more
// precisely may have reported more.
func (s *Suspects) independentCrashes(k *suspect, unexplained []crash) int {
	n := 0
	var last time.Time
	for _, c := range unexplained {
		if n > 0 && !c.sentAt.After(last) || !s.explains(unexplained, c.at) {
			continue
		}
		n++
		last = c.at
	}
	if len(unexplained) < len(k.crashes) {
		return n
	}
	k.part.independent = max(k.part.independent, n)
	return k.part.independent
}

// explains reports whether crashes are at least half of all crashes about a time.
func (s *Suspects) explains(l []crash, at time.Time) bool {
	n := 0
	for _, c := range l {
		if c.at.Sub(at).Abs() <= concurrentCrashTime {
			n++
		}
	}
	return 2*n >= s.crashLog.count(at)
}
