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
	// ArrivedAt is when the call came, Target the time after which its answer
	// loses worth, Deadline when it has none.
	ArrivedAt     time.Time
	TargetLatency time.Duration
	Deadline      time.Time
	// ExcludedServers holds the servers that failed the call before.
	ExcludedServers map[string]bool

	chain chain
	// ready gets the lease of a job that waited.
	ready chan *Lease
	// at is the server for which the job waits, queued what it adds there.
	at     *server
	queued int
	// moved is when a better server was looked for last.
	moved time.Time
}

// late reports whether the answer can no longer come in time if the server
// needs that long.
func (j *Job) late(now time.Time, need time.Duration) bool {
	return j.TargetLatency > 0 && now.Add(need).Sub(j.ArrivedAt) > j.TargetLatency
}

// Lease lends room on a backend server to one call. It must be ended.
type Lease struct {
	pool *Pool
	job  *Job
	// Instance is where the call goes.
	Instance wigeonladder.Instance
	// UncachedTokens is the number of prompt tokens that the server is expected to
	// read, CachedTokens the number that it is believed to hold.
	UncachedTokens, CachedTokens int
	// Standing is how the workspace stood towards its share.
	Standing fair.Standing
	// ExpectedFirstToken is the expected time to the first token.
	ExpectedFirstToken time.Duration
	server             *server
	load               load
	sent               time.Time
	first              bool
	ended              bool
	// silent is true once the lack of a first token was counted as a failure.
	silent bool
}

// Result says how a lease ended.
type Result int

// The results.
const (
	// Completed is a complete answer.
	Completed Result = iota
	// Failed is a failure of the server.
	Failed
	// Unreachable means that no connection could be had.
	Unreachable
	// Declined means that the server refused the call without running it.
	Declined
	// CallerGone means that the caller went or its time was over; it says nothing of
	// the server.
	CallerGone
)
