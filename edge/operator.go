package edge

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder/conn"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/place"
)

// Paths that operators request.
const (
	metricsPath = "/debug/vars"
	dumpPath    = "/debug/state"
	explainPath = "/debug/explain"
)

const (
	// operatorReadTimeout bounds the reading of one request of an operator.
	operatorReadTimeout = 5 * time.Second
	// maxOperatorConns bounds the open connections of operators, so that they leave
	// descriptors for callers and backend servers.
	maxOperatorConns = 32
)

// Dump is the state of a daemon, as operators can request it.
type Dump struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	OpenCalls     int    `json:"open"`
	ConfigVersion int64  `json:"version"`
	ConfigAge     string `json:"configurationAge"`
	// StoreRelayed is true while another daemon reads the store for this one.
	StoreRelayed bool     `json:"relayed"`
	LiveDaemons  int      `json:"daemons"`
	Peers        []string `json:"peers"`
	// EvacuatedZones are the zones whose servers get no calls.
	EvacuatedZones []string           `json:"evacuated,omitempty"`
	Servers        []place.ServerDump `json:"servers"`
	Shares         fair.WindowDump    `json:"shares"`
}

// Dump returns the state of the daemon.
func (d *Daemon) Dump() Dump {
	age, _ := d.tableStore.ConfirmationAge()
	s := Dump{
		Name: d.settings.Name, Zone: d.settings.Zone, Ready: d.Ready(), Leaving: d.leaving.Load(),
		OpenCalls: d.front.OpenCalls(), ConfigAge: age.String(), StoreRelayed: d.storeRelayed.Load(), LiveDaemons: d.liveDaemons(), Peers: d.mesh.Load().PeerAddresses(), Servers: d.pool.Dump(),
		Shares: d.window.Dump(), EvacuatedZones: d.pool.EvacuatedZones(),
	}
	if t := d.tableStore.Table(); t != nil {
		s.ConfigVersion = t.Version()
	}
	return s
}

// serveOperators serves metrics, dumps and explanations of requests, if the
// settings name an address for them.
func (d *Daemon) serveOperators(ctx context.Context) error {
	if d.settings.MetricsAddress == "" {
		return nil
	}
	l, err := conn.Listen(ctx, d.settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	vars := new(expvar.Map).Init()
	vars.Set("services", d.meter)
	vars.Set("firstTokens", expvar.Func(func() any { return d.pool.FirstTokens() }))
	vars.Set("events", d.journal.EventCounts())
	vars.Set("open", expvar.Func(func() any { return d.front.OpenCalls() }))
	vars.Set("gate", expvar.Func(func() any { return d.gate.metrics() }))
	vars.Set("connections", expvar.Func(func() any { return d.front.OpenConns() }))
	vars.Set("shed", expvar.Func(func() any { return d.front.ShedConns() }))
	vars.Set("slow", expvar.Func(func() any { return d.front.SlowCalls() }))
	vars.Set("memory", expvar.Func(func() any { return d.front.Memory() }))
	vars.Set("daemons", expvar.Func(func() any { return d.liveDaemons() }))
	vars.Set("reportsSent", expvar.Func(func() any { n, _ := d.mesh.Load().SentTotals(); return n }))
	vars.Set("reportBytesSent", expvar.Func(func() any { _, n := d.mesh.Load().SentTotals(); return n }))
	vars.Set("evacuatedZones", expvar.Func(func() any { return d.pool.EvacuatedZones() }))
	vars.Set("streams", expvar.Func(func() any { return d.streams.origins.Len() }))
	vars.Set("ready", expvar.Func(func() any { return d.Ready() }))
	s := &fasthttp.Server{
		NoDefaultServerHeader: true,
		ReadTimeout:           operatorReadTimeout,
		Handler: func(c *fasthttp.RequestCtx) {
			c.SetContentType("application/json")
			switch string(c.Path()) {
			case metricsPath:
				c.SetBodyString(vars.String())
			case dumpPath:
				writeJSON(c, d.Dump())
			case explainPath:
				writeJSON(c, d.journal.Explain(string(c.QueryArgs().Peek("request"))))
			default:
				c.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
	}
	go func() {
		if err := s.Serve(conn.NewListener(l, conn.Limits{MaxOpen: maxOperatorConns})); err != nil && ctx.Err() == nil {
			d.journal.Note("", "operator_server_ended", "error", err)
		}
	}()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	return nil
}

// writeJSON answers with a JSON document.
func writeJSON(c *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetBody(data)
}
