package caller

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/wigeonladder/wigeonladder"
)

// maxRemovedKeys bounds the number of keys of removed workspaces that are kept.
const maxRemovedKeys = 10000

// keyHash is the SHA-256 hash of a bearer key.
type keyHash [sha256.Size]byte

// index looks up the workspace, the service and the model of a request in
// constant time. It is built for one revision of the configuration.
type index struct {
	revision   uint64
	rules      wigeonladder.Rules
	workspaces map[keyHash]string
	// removedKeys maps the keys of removed workspaces to their workspaces. It
	// tells these keys from keys that never existed.
	removedKeys map[keyHash]string
	services    map[string]wigeonladder.Service
	// serviceOfModel maps a model to the first service that has it.
	serviceOfModel map[string]string
	// onlyModelService is the name of the model service if there is exactly
	// one; empty otherwise.
	onlyModelService string
}

// currentIndex returns the index of the current configuration.
func (s *Server) currentIndex() *index {
	c := s.options.Config()
	x := s.index.Load()
	if x != nil && x.revision == c.Revision {
		return x
	}
	next := newIndex(c, x)
	s.index.CompareAndSwap(x, next)
	return next
}

// newIndex builds the index of a configuration. The previous index is the
// source of the removed keys; it may be nil.
func newIndex(c wigeonladder.Config, previous *index) *index {
	x := &index{
		revision:       c.Revision,
		rules:          c.Rules,
		workspaces:     map[keyHash]string{},
		removedKeys:    map[keyHash]string{},
		services:       map[string]wigeonladder.Service{},
		serviceOfModel: map[string]string{},
	}
	names := map[string]bool{}
	for _, w := range c.Register.Workspaces {
		names[w.Name] = true
		for _, k := range w.KeyHashes {
			if h, ok := parseKeyHash(k); ok {
				x.workspaces[h] = w.Name
			}
		}
	}
	x.addServices(c.Register.Services)
	x.addRemovedKeys(previous, names)
	return x
}

// parseKeyHash parses a hash in hexadecimal.
func parseKeyHash(s string) (keyHash, bool) {
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
	modelServices := 0
	for _, v := range services {
		x.services[v.Name] = v
		if v.Kind != wigeonladder.KindModel {
			continue
		}
		modelServices++
		x.onlyModelService = v.Name
		for m := range modelsOf(v) {
			if _, ok := x.serviceOfModel[m]; !ok {
				x.serviceOfModel[m] = v.Name
			}
		}
	}
	if modelServices != 1 {
		x.onlyModelService = ""
	}
}

// addRemovedKeys adds the keys of the previous index whose workspace is no
// longer present.
func (x *index) addRemovedKeys(previous *index, present map[string]bool) {
	if previous == nil {
		return
	}
	for _, keys := range []map[keyHash]string{previous.workspaces, previous.removedKeys} {
		for h, w := range keys {
			if _, ok := x.workspaces[h]; !ok && !present[w] && len(x.removedKeys) < maxRemovedKeys {
				x.removedKeys[h] = w
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

// workspace returns the workspace to which a bearer key belongs.
func (x *index) workspace(key []byte) (string, error) {
	h := keyHash(sha256.Sum256(key))
	if w, ok := x.workspaces[h]; ok {
		return w, nil
	}
	if _, ok := x.removedKeys[h]; ok {
		return "", wigeonladder.Errorf(wigeonladder.CodeNoWorkspace, "", "the workspace was removed")
	}
	return "", wigeonladder.Errorf(wigeonladder.CodeBadCredential, "", "the key belongs to no workspace")
}

// chatService returns the service for a chat request and the model that its
// server must have, which is empty if any server will do. The name and the
// model are those that the request states; both may be empty.
func (x *index) chatService(name, model string) (wigeonladder.Service, string, error) {
	if name == "" {
		name = x.serviceOfModel[model]
	}
	if name == "" {
		name = x.onlyModelService
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
