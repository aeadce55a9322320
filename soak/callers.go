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

// Names of the deployment.
const (
	host         = "soak.example"
	appService   = "app"
	modelService = "model"
)

// kinds are the routes that callers use, by their prefix.
var kinds = []string{"/safe/", "/once/", "/stream/plain/", "/stream/resume/", "/public/"}

// keys is the number of API keys at the start.
const keys = 6

// document returns the first configuration.
func document() route.Document {
	at := func(name, prefix string, kind route.Kind, service string, attempts int) route.Route {
		return route.Route{
			Name: name, Host: host, PathPrefix: prefix, Kind: kind, MaxAttempts: attempts, Resumable: name == "resume",
			Public: name == "public", Timeout: 4 * time.Second, TargetLatency: 500 * time.Millisecond,
			WeightedServices: []route.WeightedService{{Service: service, Weight: 1}},
		}
	}
	d := route.Document{
		Version: 1,
		Routes: []route.Route{
			at("safe", kinds[0], route.Safe, appService, 2), at("once", kinds[1], route.AtMostOnce, appService, 1),
			at("plain", kinds[2], route.Stream, modelService, 1), at("resume", kinds[3], route.Stream, modelService, 2),
			at("public", kinds[4], route.Safe, appService, 2),
		},
		Services: []route.Service{
			{Name: appService, MaxConns: 200},
			{Name: modelService, MaxConns: 200, Engine: &route.Engine{Slots: 8, CacheTokens: 200000}},
		},
		Limits: route.Limits{TokensPerSecond: 200000},
	}
	for i := range keys {
		d.Workspaces = append(d.Workspaces, route.Workspace{Name: fmt.Sprintf("w%d", i), Keys: []string{keyOf(i)}})
	}
	return d
}

// keyOf returns the key of a workspace.
func keyOf(n int) string { return fmt.Sprintf("key-%d", n) }

// call starts the callers. They end with the context.
func (s *soak) call(ctx context.Context) *sync.WaitGroup {
	var done sync.WaitGroup
	for n := range s.o.Callers {
		done.Go(func() {
			random := rand.New(rand.NewPCG(s.o.Seed, uint64(n+2)))
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

// callOnce makes one call and has it checked. Every eighth caller leaves early.
func (s *soak) callOnce(ctx context.Context, caller *stub.Caller, random *rand.Rand, id string) {
	kind := kinds[random.IntN(len(kinds))]
	workspace := random.IntN(keys)
	c := stub.Call{
		ID: id, Host: host, Path: kind + id, APIKey: keyOf(workspace), Body: "body of " + id,
		Timeout: time.Duration(1000+random.IntN(3000)) * time.Millisecond,
	}
	if kind == "/safe/" && random.IntN(2) == 0 {
		c.Method, c.Body = http.MethodGet, ""
	}
	if kind == "/public/" {
		c.APIKey, workspace = "", -1
	}
	if slices.Contains(kinds[2:4], kind) {
		c.PromptParts, c.PromptTokens, c.OutputTokens = fmt.Sprintf("%x:2000,%s:200", random.IntN(12), "ff"+fmt.Sprint(random.IntN(1<<20))), 2200, 30
	}
	p := s.fleet[random.IntN(len(s.fleet))]
	patience := c.Timeout + time.Second
	if random.IntN(8) == 0 {
		patience = time.Duration(random.IntN(200)) * time.Millisecond
	}
	call, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	sent := time.Now()
	reply, err := caller.Do(call, p.settings.CallerAddress, c)
	s.check.ended(seen{call: c, workspace: workspace, kind: kind, sent: sent, ended: time.Now(), reply: reply, err: err, left: call.Err() != nil, inTouch: p.inTouch()})
}
