package caller

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/wigeonladder/wigeonladder"
)

// maxFormer bounds the number of remembered keys of removed workspaces.
const maxFormer = 10000

// keyHash is the SHA-256 hash of a bearer key.
type keyHash [sha256.Size]byte

// index finds what a request names in constant time. It belongs to one
// revision of the configuration.
type index struct {
	revision   uint64
	rules      wigeonladder.Rules
	workspaces map[keyHash]string
	// former holds the keys of removed workspaces, to tell them from keys that
	// never existed.
	former   map[keyHash]string
	services map[string]wigeonladder.Service
	// models gives the service of a model.
	models map[string]string
	// sole is the only model service, if there is just one.
	sole string
}

// current returns the index of the configuration in force.
func (s *Server) current() *index {
	c := s.options.Config()
	x := s.index.Load()
	if x != nil && x.revision == c.Revision {
		return x
	}
	n := newIndex(c, x)
	s.index.CompareAndSwap(x, n)
	return n
}

// newIndex builds the index of a configuration. The old one may be nil.
func newIndex(c wigeonladder.Config, old *index) *index {
	x := &index{
		revision:   c.Revision,
		rules:      c.Rules,
		workspaces: map[keyHash]string{},
		former:     map[keyHash]string{},
		services:   map[string]wigeonladder.Service{},
		models:     map[string]string{},
	}
	names := map[string]bool{}
	for _, w := range c.Register.Workspaces {
		names[w.Name] = true
		for _, k := range w.KeyHashes {
			if h, ok := parseHash(k); ok {
				x.workspaces[h] = w.Name
			}
		}
	}
	x.addServices(c.Register.Services)
	x.addFormer(old, names)
	return x
}

// parseHash reads a hash in hexadecimal.
func parseHash(s string) (keyHash, bool) {
	var h keyHash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, false
	}
	copy(h[:], b)
	return h, true
}

// addServices adds services and their models.
func (x *index) addServices(services []wigeonladder.Service) {
	count := 0
	for _, v := range services {
		x.services[v.Name] = v
		if v.Kind != wigeonladder.KindModel {
			continue
		}
		count++
		x.sole = v.Name
		for m := range modelsOf(v) {
			if _, ok := x.models[m]; !ok {
				x.models[m] = v.Name
			}
		}
	}
	if count != 1 {
		x.sole = ""
	}
}

// addFormer remembers the keys whose workspace was removed.
func (x *index) addFormer(old *index, names map[string]bool) {
	if old == nil {
		return
	}
	for _, keys := range []map[keyHash]string{old.workspaces, old.former} {
		for h, w := range keys {
			if _, ok := x.workspaces[h]; !ok && !names[w] && len(x.former) < maxFormer {
				x.former[h] = w
			}
		}
	}
}

// modelsOf returns the models of a service's servers.
func modelsOf(v wigeonladder.Service) map[string]bool {
	models := map[string]bool{}
	for _, b := range v.Servers {
		for _, m := range b.Models {
			models[m] = true
		}
	}
	return models
}

// workspace returns the workspace of a bearer key.
func (x *index) workspace(key []byte) (string, error) {
	h := keyHash(sha256.Sum256(key))
	if w, ok := x.workspaces[h]; ok {
		return w, nil
	}
	if _, ok := x.former[h]; ok {
		return "", wigeonladder.Errorf(wigeonladder.CodeNoWorkspace, "", "the workspace was removed")
	}
	return "", wigeonladder.Errorf(wigeonladder.CodeBadCredential, "", "the key belongs to no workspace")
}

// chatService returns the service of a chat request and the model that its
// servers must have, empty for any.
func (x *index) chatService(name, model string) (wigeonladder.Service, string, error) {
	if name == "" {
		name = x.models[model]
	}
	if name == "" {
		name = x.sole
	}
	v, ok := x.services[name]
	switch {
	case name == "" && model != "":
		return v, "", wigeonladder.Errorf(wigeonladder.CodeNoModel, "model", "no service has the model %q", model)
	case name == "":
		return v, "", wigeonladder.Errorf(wigeonladder.CodeNoService, "model", "name a model or, in X-Service, a service")
	case !ok || v.Kind != wigeonladder.KindModel:
		return v, "", wigeonladder.Errorf(wigeonladder.CodeNoService, headerService, "no model service %q", name)
	}
	models := modelsOf(v)
	if model == "" || len(models) == 0 {
		return v, "", nil
	}
	if !models[model] {
		return v, "", wigeonladder.Errorf(wigeonladder.CodeNoModel, "model", "service %q does not have the model %q", name, model)
	}
	return v, model, nil
}
