package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Severity tells what a Finding means for calls.
type Severity string

// The severities of findings.
const (
	// Mistake means that calls are refused or reach the wrong service.
	Mistake Severity = "error"
	// Doubt means that a part of the document has no effect or contradicts another.
	Doubt Severity = "warning"
)

// Finding is one result of Check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path names the place in the document, such as routes[2].pathPrefix.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Check returns what is wrong or doubtful in a document, mistakes first, then by path:
// values that no call can be served with, entries that can never match, and limits that
// contradict each other. It does not need the backend servers.
func Check(d Document) []Finding {
	c := &check{doc: d, services: map[string]bool{}, named: map[string]bool{}}
	c.checkServices()
	c.checkRoutes()
	c.checkWorkspaces()
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Path, b.Path))
	})
	return c.findings
}

// check collects the findings of one document.
type check struct {
	doc      Document
	findings []Finding
	// services are the names of the services, named those that a route sends calls to.
	services, named map[string]bool
}

// mistake adds a finding that affects calls.
func (c *check) mistake(path, format string, values ...any) {
	c.findings = append(c.findings, Finding{Mistake, path, fmt.Sprintf(format, values...)})
}

// doubt adds a finding without an effect on calls.
func (c *check) doubt(path, format string, values ...any) {
	c.findings = append(c.findings, Finding{Doubt, path, fmt.Sprintf(format, values...)})
}

// checkServices checks the services by themselves.
func (c *check) checkServices() {
	for i, s := range c.doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		switch {
		case s.Name == "":
			c.mistake(path+".name", "is empty")
		case c.services[s.Name]:
			c.mistake(path+".name", "%q is listed before", s.Name)
		}
		c.services[s.Name] = true
		if s.MaxConns < 0 {
			c.mistake(path+".maxConnections", "%d is negative", s.MaxConns)
		}
		e := s.Engine
		if e == nil {
			continue
		}
		if e.Slots < 1 {
			c.mistake(path+".engine.slots", "%d: a server could run no request", e.Slots)
		}
		if e.CacheTokens < 1 {
			c.mistake(path+".engine.kvCapacityTokens", "%d: no prompt would fit", e.CacheTokens)
		}
		if s.MaxConns > 0 && s.MaxConns < e.Slots {
			c.doubt(path+".maxConnections", "%d connections cannot fill %d slots", s.MaxConns, e.Slots)
		}
	}
}

// checkRoutes checks the routes, and which services they name.
func (c *check) checkRoutes() {
	names, matches := map[string]int{}, map[string]int{}
	for i, r := range c.doc.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if first, ok := names[r.Name]; ok {
			c.mistake(path+".name", "%q is the name of routes[%d]", r.Name, first)
		} else {
			names[r.Name] = i
		}
		match := strings.ToLower(r.Host) + " " + r.PathPrefix
		if first, ok := matches[match]; ok {
			c.mistake(path, "never matches: routes[%d] has the same host and prefix", first)
		} else {
			matches[match] = i
		}
		c.checkMatch(path, r)
		c.checkTimes(path, r)
		c.checkTargets(path, r)
	}
	for i, s := range c.doc.Services {
		if !c.named[s.Name] {
			c.doubt(fmt.Sprintf("services[%d]", i), "%q gets no calls from any route", s.Name)
		}
	}
}

// checkMatch checks whether calls can match a route.
func (c *check) checkMatch(path string, r Route) {
	if r.Host == "" || strings.ContainsAny(r.Host, "/ ?#") || strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]") {
		c.mistake(path+".host", "%q never matches: the host of a call has no port, path or space", r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.mistake(path+".pathPrefix", "%q does not begin and end with a slash", r.PathPrefix)
	}
	if strings.ContainsAny(r.PathPrefix, "?# ") {
		c.mistake(path+".pathPrefix", "%q never matches: the path of a call has no query, fragment or space", r.PathPrefix)
	}
	if most := c.doc.Limits.MaxHeader; most > 0 && len(r.PathPrefix) >= most {
		c.mistake(path+".pathPrefix", "never matches: %d bytes exceed limits.maxHeaderBytes", len(r.PathPrefix))
	}
	if !r.Public && len(c.doc.Workspaces) > 0 && !slices.ContainsFunc(c.doc.Workspaces, func(w Workspace) bool { return len(w.Keys) > 0 }) {
		c.mistake(path, "refuses every call: it is not public and no workspace has a key")
	}
}

// checkTimes checks the times of a route against each other.
func (c *check) checkTimes(path string, r Route) {
	if r.Timeout <= 0 {
		c.mistake(path+".timeoutMs", "%v: every call has timed out when it arrives", r.Timeout)
		return
	}
	if r.TargetLatency > r.Timeout {
		c.doubt(path+".targetLatencyMs", "%v is longer than the timeout of %v", r.TargetLatency, r.Timeout)
	}
	if r.TargetGap > r.Timeout {
		c.doubt(path+".targetGapMs", "%v is longer than the timeout of %v", r.TargetGap, r.Timeout)
	}
	if r.Kind != Stream && (r.Resumable || r.TargetGap > 0) {
		c.doubt(path+".kind", "only a stream has a gap between events or can be resumed")
	}
}

// checkTargets checks the services to which a route sends calls.
func (c *check) checkTargets(path string, r Route) {
	if len(r.WeightedServices) == 0 {
		c.mistake(path, "names no service")
	}
	total := 0
	for _, s := range r.WeightedServices {
		total += max(s.Weight, 0)
	}
	for i, s := range r.WeightedServices {
		path := path + ".service"
		if len(r.WeightedServices) > 1 {
			path = fmt.Sprintf("%s[%d]", strings.TrimSuffix(path, "service")+"weightedBackends", i)
		}
		if !c.services[s.Service] {
			c.mistake(path, "no service %q", s.Service)
		}
		if s.Weight < 0 {
			c.mistake(path+".weight", "%d is negative", s.Weight)
		}
		if s.Weight > 0 || total == 0 && i == 0 {
			c.named[s.Service] = true
		} else {
			c.doubt(path+".weight", "%q gets no calls of this route", s.Service)
		}
	}
}

// checkWorkspaces checks the workspaces and their keys. Keys are not printed.
func (c *check) checkWorkspaces() {
	names, keys := map[string]bool{}, map[string]string{}
	for i, w := range c.doc.Workspaces {
		path := fmt.Sprintf("tenants[%d]", i)
		if w.Name == "" || names[w.Name] {
			c.mistake(path+".name", "%q is empty or listed before", w.Name)
		}
		names[w.Name] = true
		if len(w.Keys) == 0 {
			c.doubt(path+".apiKeys", "%q has no key: none of its calls is accepted", w.Name)
		}
		for j, k := range w.Keys {
			path := fmt.Sprintf("%s.apiKeys[%d]", path, j)
			switch owner, ok := keys[k]; {
			case k == "" || strings.TrimSpace(k) != k:
				c.mistake(path, "never matches: the key is empty or begins or ends with a space")
			case ok && owner != w.Name:
				c.mistake(path, "the key belongs to %q, too", owner)
			case ok:
				c.doubt(path, "the key is listed before")
			}
			keys[k] = w.Name
		}
	}
}

// checkLimits checks the limits of callers against each other.
func (c *check) checkLimits() {
	l := c.doc.Limits
	for _, x := range []struct {
		name  string
		value float64
	}{
		{"maxHeaderBytes", float64(l.MaxHeader)},
		{"maxBodyBytes", float64(l.MaxBody)},
		{"headerTimeoutMs", float64(l.HeaderTimeout / time.Millisecond)},
		{"idleTimeoutMs", float64(l.IdleTimeout / time.Millisecond)},
	} {
		if x.value < 0 {
			c.mistake("limits."+x.name, "%v is negative", x.value)
		}
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.doubt("limits.headerTimeoutMs", "%v is longer than the idle timeout of %v", l.HeaderTimeout, l.IdleTimeout)
	}
	engines := slices.ContainsFunc(c.doc.Services, func(s Service) bool { return s.Engine != nil })
	if engines && l.TokensPerSecond <= 0 {
		c.doubt("limits.tokensPerS", "%v: the shares of the workspaces at the model services are unknown", l.TokensPerSecond)
	}
}
