package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/wigeonladder/wigeonladder"
)

// macSize is the number of signature bytes in a ticket. 128 bits cannot be
// guessed within the life of an incarnation.
const macSize = 16

// name is a parsed ticket.
type name struct {
	vm          string
	incarnation string
	number      uint64
	mac         string
}

// String returns the ticket: issuing VM, incarnation, number and signature,
// separated by colons, which the escaping keeps out of the names.
func (n name) String() string {
	return url.QueryEscape(n.vm) + ":" + url.QueryEscape(n.incarnation) + ":" +
		strconv.FormatUint(n.number, 10) + ":" + n.mac
}

// parse reads a ticket without checking its signature.
func parse(s string) (name, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 4 {
		return name{}, fmt.Errorf("ticket has %d parts, want 4", len(parts))
	}
	vm, err := url.QueryUnescape(parts[0])
	if err != nil {
		return name{}, err
	}
	incarnation, err := url.QueryUnescape(parts[1])
	if err != nil {
		return name{}, err
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return name{}, err
	}
	return name{vm: vm, incarnation: incarnation, number: number, mac: parts[3]}, nil
}

// call is what a ticket is bound to.
type call struct {
	workspace, service, method, path string
}

// callOf returns the call of a request.
func callOf(r wigeonladder.Request) call {
	return call{r.Workspace, r.Service, r.Method, r.Path}
}

// sign returns the signature over a call and a number. The fields are quoted,
// so that no two calls have the same signed text.
func sign(key []byte, c call, number uint64) string {
	m := hmac.New(sha256.New, key)
	_, _ = fmt.Fprintf(m, "%q %q %q %q %d", c.workspace, c.service, c.method, c.path, number)
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil)[:macSize])
}

// signed reports whether a ticket carries the signature over a call.
func signed(key []byte, c call, n name) bool {
	return hmac.Equal([]byte(sign(key, c, n.number)), []byte(n.mac))
}
