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

// signatureBytes is the length of the signature in a ticket. 128 bits cannot be
// guessed within the lifetime of an incarnation.
const signatureBytes = 16

// parsedTicket holds the parts of a ticket.
type parsedTicket struct {
	vm          string
	incarnation string
	number      uint64
	signature   string
}

// String returns the ticket: issuing VM, incarnation, number and signature,
// separated by colons. VM and incarnation are escaped, so they contain no colon.
func (n parsedTicket) String() string {
	return url.QueryEscape(n.vm) + ":" + url.QueryEscape(n.incarnation) + ":" +
		strconv.FormatUint(n.number, 10) + ":" + n.signature
}

// parseTicket reads a ticket without checking its signature.
func parseTicket(s string) (parsedTicket, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 4 {
		return parsedTicket{}, fmt.Errorf("ticket has %d parts, want 4", len(parts))
	}
	vm, err := url.QueryUnescape(parts[0])
	if err != nil {
		return parsedTicket{}, err
	}
	incarnation, err := url.QueryUnescape(parts[1])
	if err != nil {
		return parsedTicket{}, err
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return parsedTicket{}, err
	}
	return parsedTicket{vm: vm, incarnation: incarnation, number: number, signature: parts[3]}, nil
}

// boundCall identifies the call that a ticket is valid for.
type boundCall struct {
	workspace, service, method, path string
}

// boundCallOf returns the call of a request.
func boundCallOf(r wigeonladder.Request) boundCall {
	return boundCall{r.Workspace, r.Service, r.Method, r.Path}
}

// sign returns the signature over a call and a number. The fields are quoted,
// so that no two calls have the same signed text.
func sign(key []byte, c boundCall, number uint64) string {
	m := hmac.New(sha256.New, key)
	_, _ = fmt.Fprintf(m, "%q %q %q %q %d", c.workspace, c.service, c.method, c.path, number)
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil)[:signatureBytes])
}

// validSignature reports whether a ticket carries the signature over a call.
func validSignature(key []byte, c boundCall, n parsedTicket) bool {
	return hmac.Equal([]byte(sign(key, c, n.number)), []byte(n.signature))
}
