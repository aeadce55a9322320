package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/setting"
)

// Ports of a layout. Every party has an IP address of its own. The register holds the
// ports of proxies, so that the links between parties can be cut.
const (
	portPeer          = 7000
	portPeerProxy     = 7100
	portCaller        = 8000
	portOperator      = 9000
	portServer        = 8500
	portServerProxy   = 8600
	portPlatform      = 6000
	portPlatformProxy = 6100
	portControl       = 6500
)

// Host numbers of a layout: daemons count from 1, backend servers from hostServer.
const (
	hostServer   = 100
	hostPlatform = 200
)

// OperatorKey is the operator key of all daemons of a layout.
const OperatorKey = "operator-key"

// Plan lists the stand-ins that one process runs.
type Plan struct {
	// ControlAddress is the address of the control interface, which cuts links.
	ControlAddress string `json:"control"`
	// PlatformAddress is the address of the configuration service.
	PlatformAddress string              `json:"platform"`
	Config          wigeonladder.Config `json:"config"`
	Engines         []Engine            `json:"engines"`
	PlainServices   []PlainService      `json:"desks"`
	Proxies         []Proxy             `json:"relays"`
}

// Engine describes a stand-in for a model engine.
type Engine struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Slots  int    `json:"slots"`
	// FirstToken and InterToken are the time to the first token and the time between
	// two tokens at full speed.
	FirstToken setting.Duration `json:"firstToken"`
	InterToken setting.Duration `json:"interToken"`
}

// PlainService describes a stand-in for an application server.
type PlainService struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	// CallTime is the processing time of one call.
	CallTime setting.Duration `json:"work"`
}

// Proxy describes a TCP proxy, the stand-in for a network link.
type Proxy struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Target string `json:"target"`
}

// ServerTimes holds the response times of the stand-in backend servers at full
// speed.
type ServerTimes struct {
	// FirstToken and InterToken apply to model engines, CallTime to application
	// servers.
	FirstToken setting.Duration
	InterToken setting.Duration
	CallTime   setting.Duration
}

// Layout describes a fleet on one machine: the plan of the stand-ins and the settings
// of each daemon.
type Layout struct {
	Plan     Plan
	Settings []setting.Settings
}

// WorkspaceKey returns the bearer key of a workspace in a layout.
func WorkspaceKey(workspace string) string { return workspace + "-key" }

// KeyHash returns the hexadecimal SHA-256 hash of a key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// NewLayout returns a layout for a register and rules. It gives every party of the
// register an address on a loopback network, and every workspace its WorkspaceKey. The
// network is given as the first three octets of its addresses, such as "127.9.1".
func NewLayout(r wigeonladder.Register, rules wigeonladder.Rules, network string, v ServerTimes) Layout {
	at := func(host, port int) string { return fmt.Sprintf("%s.%d:%d", network, host, port) }
	l := Layout{Plan: Plan{
		ControlAddress:  at(hostPlatform, portControl),
		PlatformAddress: at(hostPlatform, portPlatform),
		Proxies:         []Proxy{{"platform", at(hostPlatform, portPlatformProxy), at(hostPlatform, portPlatform)}},
	}}
	out := wigeonladder.Register{Zones: r.Zones}
	for i, vm := range r.VMs {
		vm.PeerAddress = at(i+1, portPeerProxy)
		vm.CallerAddress = at(i+1, portCaller)
		out.VMs = append(out.VMs, vm)
		l.Plan.Proxies = append(l.Plan.Proxies, Proxy{vm.Name, vm.PeerAddress, at(i+1, portPeer)})
		l.Settings = append(l.Settings, daemonSettings(vm, at, i+1))
	}
	for i := range l.Settings {
		for j, vm := range out.VMs {
			if i != j {
				l.Settings[i].Seeds = append(l.Settings[i].Seeds, vm.PeerAddress)
			}
		}
	}
	host := hostServer
	for _, service := range r.Services {
		servers := make([]wigeonladder.Server, len(service.Servers))
		for i, s := range service.Servers {
			serverAddress := at(host, portServer)
			s.Address = at(host, portServerProxy)
			host++
			servers[i] = s
			l.Plan.Proxies = append(l.Plan.Proxies, Proxy{s.Name, s.Address, serverAddress})
			l.Plan.addServer(service.Kind, s, serverAddress, v)
		}
		service.Servers = servers
		out.Services = append(out.Services, service)
	}
	for _, w := range r.Workspaces {
		w.KeyHashes = []string{KeyHash(WorkspaceKey(w.Name))}
		out.Workspaces = append(out.Workspaces, w)
	}
	l.Plan.Config = wigeonladder.Config{Revision: 1, Register: out, Rules: rules}
	return l
}

// addServer adds the stand-in of a backend server.
func (p *Plan) addServer(k wigeonladder.ServiceKind, s wigeonladder.Server, listen string, v ServerTimes) {
	if k == wigeonladder.KindModel {
		p.Engines = append(p.Engines, Engine{s.Name, listen, s.Slots, v.FirstToken, v.InterToken})
		return
	}
	p.PlainServices = append(p.PlainServices, PlainService{s.Name, listen, v.CallTime})
}

// daemonSettings returns the settings of the daemon on an entry VM.
func daemonSettings(vm wigeonladder.VM, at func(host, port int) string, host int) setting.Settings {
	s := setting.Default()
	s.Name = vm.Name
	s.Zone = vm.Zone
	s.PeerAddress = at(host, portPeer)
	s.CallerAddress = at(host, portCaller)
	s.OperatorAddress = at(host, portOperator)
	s.PlatformAddress = at(hostPlatform, portPlatformProxy)
	s.OperatorKeyHashes = []string{KeyHash(OperatorKey)}
	return s
}

// Write writes the plan to standin.json, the configuration to config.json and the
// settings of each daemon to a file with its name in a directory.
func (l Layout) Write(dir string) error {
	if err := writeJSON(filepath.Join(dir, "standin.json"), l.Plan); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "config.json"), l.Plan.Config); err != nil {
		return err
	}
	for _, s := range l.Settings {
		if err := writeJSON(filepath.Join(dir, s.Name+".json"), s); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
