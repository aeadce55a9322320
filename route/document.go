package route

import "time"

// Kind is the kind of a route. It determines which calls may be repeated.
type Kind string

// The kinds of routes.
const (
	// Safe means that a call may run more than once.
	Safe Kind = "safe"
	// AtMostOnce means that a call must not run more than once.
	AtMostOnce Kind = "once"
	// Stream means that a call is answered with a stream of events. It must not
	// run more than once unless the route is resumable.
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

// Route maps the calls for a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time for which a caller waits.
	Timeout time.Duration
	// TargetLatency is the time to the first byte within which an answer has
	// its full value, TargetGap the longest pause between two events of a
	// stream.
	TargetLatency, TargetGap time.Duration
	// WeightedServices are the services among which the calls are split by
	// weight.
	WeightedServices []WeightedService
	// MaxAttempts bounds the number of backend servers on which one call may
	// run.
	MaxAttempts int
	// Public is true if calls need no API key.
	Public bool
	// Resumable is true if a stream may be continued on another backend server.
	Resumable bool
	// Priority is the priority of the route; 0 is the highest.
	Priority int
}

// Repeatable reports whether a call may run on a second backend server.
func (r Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// WeightedService is one service of a route and its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a pool of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections of all callers together to one server.
	MaxConns int
	// ColdStart is how long a server is cold after its start, ColdPerSecond the number
	// of requests a second that it takes meanwhile; 0 if it takes as many as otherwise.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is set for model services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// CacheTokens is the memory, in tokens, that running requests and cached
	// prompt parts share.
	CacheTokens int
}

// Workspace is a tenant and its API keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
}

// Limits bounds what callers may send, and states what the services produce.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader, MaxBody         int
	HeaderTimeout, IdleTimeout time.Duration
	// TokensPerSecond is the rate at which all model servers together produce
	// tokens.
	TokensPerSecond float64
}
