package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
)

// Host and services of the configuration.
const (
	host         = "soak.example"
	appService   = "app"
	modelService = "model"
)

// routePrefixes are the path prefixes of the routes that callers use.
var routePrefixes = []string{"/safe/", "/once/", "/stream/plain/", "/stream/resume/", "/public/"}

// workspaces is the number of workspaces. Each has one API key at the start.
const workspaces = 6

// initialConfig returns the configuration at the start.
func initialConfig() route.Document {
	newRoute := func(name, prefix string, kind route.Kind, service string, attempts int) route.Route {
		return route.Route{
			Name: name, Host: host, PathPrefix: prefix, Kind: kind, MaxAttempts: attempts, Resumable: name == "resume",
			Public: name == "public", Timeout: 4 * time.Second, TargetLatency: 500 * time.Millisecond,
			WeightedServices: []route.WeightedService{{Service: service, Weight: 1}},
		}
	}
	d := route.Document{
		Version: 1,
		Routes: []route.Route{
			newRoute("safe", routePrefixes[0], route.Safe, appService, 2), newRoute("once", routePrefixes[1], route.AtMostOnce, appService, 1),
			newRoute("plain", routePrefixes[2], route.Stream, modelService, 1), newRoute("resume", routePrefixes[3], route.Stream, modelService, 2),
			newRoute("public", routePrefixes[4], route.Safe, appService, 2),
		},
		Services: []route.Service{
			{Name: appService, MaxConns: 200},
			{Name: modelService, MaxConns: 200, Engine: &route.Engine{Slots: 8, CacheTokens: 200000}},
		},
		Limits: route.Limits{TokensPerSecond: 200000},
	}
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces, route.Workspace{Name: fmt.Sprintf("w%d", i), Keys: []string{workspaceKey(i)}})
	}
	return d
}

// workspaceKey returns the API key of the n-th workspace.
func workspaceKey(n int) string { return fmt.Sprintf("key-%d", n) }

// startCallers starts the callers. They stop when the context ends; the returned
// WaitGroup waits for that.
func (s *soak) startCallers(ctx context.Context) *sync.WaitGroup {
	var done sync.WaitGroup
	for n := range s.options.Callers {
		done.Go(func() {
			random := rand.New(rand.NewPCG(s.options.Seed, uint64(n+2)))
			caller := stub.NewCaller(n%3 != 0)
			defer caller.Close()
			for i := 0; ctx.Err() == nil; i++ {
				s.callOnce(ctx, caller, random, fmt.Sprintf("%d-%d", n, i))
				sleep(ctx, time.Duration(random.IntN(60))*time.Millisecond)
			}
		})
	}
	return &done
}

// callOnce makes one random call and records what the caller observed. In one of
// eight calls the caller disconnects early.
func (s *soak) callOnce(ctx context.Context, caller *stub.Caller, random *rand.Rand, id string) {
	prefix := routePrefixes[random.IntN(len(routePrefixes))]
	workspace := random.IntN(workspaces)
	c := stub.Call{
		ID: id, Host: host, Path: prefix + id, APIKey: workspaceKey(workspace), Body: "body of " + id,
		Timeout: time.Duration(1000+random.IntN(3000)) * time.Millisecond,
	}
	if prefix == "/safe/" && random.IntN(2) == 0 {
		c.Method, c.Body = http.MethodGet, ""
	}
	if prefix == "/public/" {
		c.APIKey, workspace = "", -1
	}
	if slices.Contains(routePrefixes[2:4], prefix) {
		c.PromptParts, c.PromptTokens, c.OutputTokens = fmt.Sprintf("%x:2000,%s:200", random.IntN(12), "ff"+fmt.Sprint(random.IntN(1<<20))), 2200, 30
	}
	p := s.daemons[random.IntN(len(s.daemons))]
	callerTimeout := c.Timeout + time.Second
	if random.IntN(8) == 0 {
		callerTimeout = time.Duration(random.IntN(200)) * time.Millisecond
	}
	callCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := caller.Do(callCtx, p.settings.CallerAddress, c)
	s.checker.recordCall(observedCall{call: c, workspace: workspace, daemon: p.settings.Name, prefix: prefix, sent: sent, ended: time.Now(), reply: reply, err: err, callerGone: callCtx.Err() != nil, daemonUndisturbed: p.isUndisturbed()})
}
