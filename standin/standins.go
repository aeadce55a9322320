package standin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// loadReportAge is the age of the load reports of the stand-in engines.
const loadReportAge = 500 * time.Millisecond

// StandIns holds the running stand-ins of a plan.
type StandIns struct {
	Platform        *fake.Platform
	Engines         map[string]*fake.Engine
	PlainServices   map[string]*fake.PlainService
	Proxies         map[string]*fake.Proxy
	controlListener net.Listener
}

// Start starts the stand-ins of a plan, which run until Close.
func Start(ctx context.Context, p Plan) (*StandIns, error) {
	s := &StandIns{
		Platform:      fake.NewPlatform(),
		Engines:       map[string]*fake.Engine{},
		PlainServices: map[string]*fake.PlainService{},
		Proxies:       map[string]*fake.Proxy{},
	}
	if err := s.start(ctx, p); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *StandIns) start(ctx context.Context, p Plan) error {
	for _, e := range p.Engines {
		ln, err := listen(ctx, e.Listen)
		if err != nil {
			return err
		}
		s.Engines[e.Name] = fake.NewEngine(fake.EngineOptions{
			Listener:   ln,
			Slots:      e.Slots,
			FirstToken: time.Duration(e.FirstToken),
			InterToken: time.Duration(e.InterToken),
			LoadLag:    loadReportAge,
		})
	}
	for _, d := range p.PlainServices {
		ln, err := listen(ctx, d.Listen)
		if err != nil {
			return err
		}
		s.PlainServices[d.Name] = fake.NewPlainService(fake.PlainServiceOptions{Listener: ln, CallTime: time.Duration(d.CallTime)})
	}
	for _, r := range p.Proxies {
		ln, err := listen(ctx, r.Listen)
		if err != nil {
			return err
		}
		s.Proxies[r.Name] = fake.NewProxy(ln, r.Target)
	}
	if err := s.startPlatform(ctx, p); err != nil {
		return err
	}
	return s.startControl(ctx, p.ControlAddress)
}

// startPlatform publishes the configuration and a live list of all VMs and backend
// servers, and starts the platform.
func (s *StandIns) startPlatform(ctx context.Context, p Plan) error {
	doc, err := json.Marshal(p.Config)
	if err != nil {
		return err
	}
	s.Platform.Publish(doc)
	s.Platform.SetLive(LiveListOf(p.Config.Register, 1))
	ln, err := listen(ctx, p.PlatformAddress)
	if err != nil {
		return err
	}
	go func() { _ = s.Platform.Serve(ln) }()
	return nil
}

// LiveListOf returns a live list of all VMs and backend servers of a register. Those
// that are named as leaving have the state leaving, all others are live.
func LiveListOf(r wigeonladder.Register, version uint64, leaving ...string) wigeonladder.LiveList {
	l := wigeonladder.LiveList{Version: version}
	add := func(name string) {
		state := wigeonladder.StateLive
		for _, n := range leaving {
			if n == name {
				state = wigeonladder.StateLeaving
			}
		}
		l.VMs = append(l.VMs, wigeonladder.LiveVM{Name: name, State: state})
	}
	for _, vm := range r.VMs {
		add(vm.Name)
	}
	for _, v := range r.Services {
		for _, s := range v.Servers {
			add(s.Name)
		}
	}
	return l
}

// startControl serves POST /cut?relay=NAME&source=IP&on=BOOL. If on is true, this cuts
// the link that the proxy NAME stands for, for connections from the source; otherwise
// it restores the link. The source "*" is every source.
func (s *StandIns) startControl(ctx context.Context, address string) error {
	if address == "" {
		return nil
	}
	ln, err := listen(ctx, address)
	if err != nil {
		return err
	}
	s.controlListener = ln
	h := &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	go func() { _ = h.Serve(ln) }()
	return nil
}

func (s *StandIns) handle(c *fasthttp.RequestCtx) {
	q := c.QueryArgs()
	r, ok := s.Proxies[string(q.Peek("relay"))]
	if !ok || string(c.Path()) != "/cut" {
		c.Error("no such relay or path", fasthttp.StatusNotFound)
		return
	}
	r.SetLinkCut(string(q.Peek("source")), q.GetBool("on"))
}

// Close stops all stand-ins.
func (s *StandIns) Close() {
	if s.controlListener != nil {
		_ = s.controlListener.Close()
	}
	for _, r := range s.Proxies {
		_ = r.Close()
	}
	for _, e := range s.Engines {
		e.Crash()
	}
	for _, d := range s.PlainServices {
		d.Crash()
	}
	_ = s.Platform.Close()
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	return ln, errors.Wrap(err, "stand-in")
}
