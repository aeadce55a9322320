package route

import "time"

// Kind tells what of a route's calls may be repeated.
type Kind string

// The kinds of routes.
const (
	// Safe calls may run more than once.
	Safe Kind = "safe"
	// AtMostOnce calls run at most once for each call.
	AtMostOnce Kind = "once"
	// Stream calls are answered with a series of events. They run at most once
	// unless the route allows resuming.
	Stream Kind = "stream"
)

// Document is one version of the routing configuration.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route is where the calls of a host and a path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the first byte within which an answer has its full
	// worth, TargetGap the longest pause between two events.
	TargetLatency, TargetGap time.Duration
	// WeightedServices are the services among which the calls are split by weight.
	WeightedServices []WeightedService
	// MaxAttempts bounds the backend servers on which one call may run.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued on another backend server.
	Resumable bool
	// Priority is the rank of the route; 0 is the highest.
	Priority int
}

// Repeatable reports whether a call may run on a second backend server.
func (r Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// WeightedService is one service of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a pool of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections of all callers to one server.
	MaxConns int
	// Engine is set for model services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// CacheTokens is the memory that running requests and cached prompt parts
	// share.
	CacheTokens int
}

// Workspace is a tenant with its API keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
}

// Limits bound what callers may send, and what the services produce.
type Limits struct {
	MaxHeader, MaxBody         int
	HeaderTimeout, IdleTimeout time.Duration
	// TokensPerSecond is what all model servers together produce.
	TokensPerSecond float64
}
