package place

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
)

// Job is a call that needs a backend server.
type Job struct {
	ID        string
	Service   string
	Workspace string
	Prompt    wigeonladder.Prompt
	// ArrivedAt is the arrival time of the call. TargetLatency is the time after it
	// from which the answer loses value, Deadline the time from which it has none.
	ArrivedAt     time.Time
	TargetLatency time.Duration
	Deadline      time.Time
	// IsolationKey is not 0 for a job that may crash its server. Jobs with the same
	// key go to the same server, whatever it has cached.
	IsolationKey uint64
	// ExcludedServers contains the servers that have failed the call before.
	ExcludedServers map[string]bool
	// Version is the software version of the servers that may run the job; empty for any.
	Version string

	chain promptChain
	// placed receives what became of a job that waited.
	placed chan placement
	// assigned is the server for which the job waits, queuedTokens the number
	// of tokens that the job adds to the server's queue.
	assigned     *server
	queuedTokens int
	// lastReassigned is the time of the last search for a better server.
	lastReassigned time.Time
}

// placement is the lease of a job that waited, or the error with which it is refused.
type placement struct {
	lease *Lease
	err   *wigeonladder.Error
}

// wouldBeLate reports whether the answer would miss the target latency if the
// server needs the given time.
func (j *Job) wouldBeLate(now time.Time, need time.Duration) bool {
	return j.TargetLatency > 0 && now.Add(need).Sub(j.ArrivedAt) > j.TargetLatency
}

// accepts reports whether the job may run on a server, if that takes calls.
func (j *Job) accepts(s *server) bool {
	return !j.ExcludedServers[s.instance.ID] && (j.Version == "" || j.Version == s.instance.Version)
}

// memoryTokens returns the number of tokens that the job occupies in the memory of an
// engine.
func (j *Job) memoryTokens() int { return j.Prompt.Tokens + j.Prompt.MaxOutputTokens }

// Lease reserves capacity on a backend server for one call. It must be released
// with End.
type Lease struct {
	pool *Pool
	job  *Job
	// Instance is the server to which the call is sent.
	Instance wigeonladder.Instance
	// UncachedTokens is the number of prompt tokens that the server is expected
	// to read, CachedTokens the number that it is believed to have cached.
	UncachedTokens, CachedTokens int
	// Standing is the standing of the workspace when the lease was granted.
	Standing fair.Standing
	// ExpectedFirstToken is the expected time to the first token.
	ExpectedFirstToken time.Duration
	// Unavailable names the servers of the service that take no calls, by reason.
	Unavailable string
	server      *server
	load        load
	// ahead is the load of the server, and workTime its expected work time, when the
	// lease was granted.
	ahead         load
	workTime      float64
	sentAt        time.Time
	firstTokenAt  time.Time
	gotFirstToken bool
	ended         bool
	// countedSilent is true once the late first token was counted as a failure.
	countedSilent bool
}

// Result is the outcome of a lease.
type Result int

// The outcomes of a lease.
const (
	// Completed means that the answer was complete.
	Completed Result = iota
	// Failed means that the server failed.
	Failed
	// Unreachable means that no connection to the server could be established.
	Unreachable
	// Declined means that the server refused the call without running it.
	Declined
	// Inconclusive means that the attempt says nothing about the server: the
	// call was not sent after all, the caller disconnected, its deadline passed,
	// or this daemon is stopping.
	Inconclusive
)
