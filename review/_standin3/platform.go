package main

import (
	"encoding/json"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// Names of the small installation that the cases share.
const (
	host        = "guild.example"
	deskService = "desk"
	penService  = "scribe"
	// canaryService is a second service for the requests of penService.
	canaryService = "scribe-next"
	heartbeat     = 1200 * time.Millisecond
)

// zones are the zones of mng-ladder.
var zones = []string{"ebene", "rose-hill", "curepipe"}

// config is the configuration of the administrator.
type config struct {
	version int
	// machine tells the slots and the memory of a model replica.
	machine machine
	// tenants maps the names of tenants to their keys; empty for an installation
	// without tenants.
	tenants map[string][]string
	// canary is true if the resumable route is split between two services.
	canary bool
}

// encode returns the document as PROTOCOL.md describes it.
func (c config) encode() []byte {
	route := func(name, prefix, kind, service string, attempts int, timeoutMs int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "maxAttempts": attempts,
			"timeoutMs": timeoutMs, "targetLatencyMs": 600, "targetGapMs": 300, "priority": 1, "resumable": resumable,
		}
	}
	tenants := []map[string]any{}
	for name, keys := range c.tenants {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys, "priority": 1})
	}
	note := route("note", "/stream/note/", "streaming", penService, 2, 8000, true)
	if c.canary {
		delete(note, "service")
		note["weightedBackends"] = []map[string]any{{"service": penService, "weight": 1}, {"service": canaryService, "weight": 1}}
	}
	data, err := json.Marshal(map[string]any{
		"version": c.version,
		"routes": []map[string]any{
			route("lookup", "/lookup/", "safe", deskService, 2, 1000, false),
			route("booking", "/booking/", "unsafe", deskService, 1, 1000, false),
			route("proposal", "/stream/proposal/", "streaming", penService, 1, 8000, false),
			note,
		},
		"services": []map[string]any{
			{"name": deskService, "healthPath": "/health", "maxConnections": 100},
			{"name": canaryService, "healthPath": "/health", "maxConnections": 300, "engine": map[string]any{"slots": c.machine.engineSlots, "kvCapacityTokens": c.machine.cache}},
			{"name": penService, "healthPath": "/health", "maxConnections": 300, "engine": map[string]any{"slots": c.machine.engineSlots, "kvCapacityTokens": c.machine.cache}},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000, "tokensPerS": 330000,
		},
		"tenants": tenants,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// replica is a backend server with its entry in the store.
type replica struct {
	*stub.Server
	entry wigeonladder.Instance
}

// newReplica starts a backend server.
func newReplica(id, service, zone, version string) *replica {
	r := &replica{Server: stub.NewServer(listen(), wigeonladder.Instance{
		ID: id, StartUnixMs: time.Now().UnixMilli(), Service: service, Zone: zone, Slots: 48, Version: version,
	})}
	r.Delay = 15 * time.Millisecond
	r.entry = r.Instance()
	return r
}

// beat writes the entries of replicas to the store at each heartbeat until done is
// closed.
func beat(store *stub.Store, replicas func() []*replica, done <-chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		for _, r := range replicas() {
			store.PutServer(r.entry)
		}
		select {
		case <-done:
			return
		case <-t.C:
		}
	}
}
