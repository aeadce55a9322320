package front

import (
	"bytes"

	"github.com/wigeonladder/wigeonladder"
)

// checkFraming returns an error for a header whose message length another
// parser may read in another way: one with a line that is folded or ends
// without CR LF, or with both Content-Length and Transfer-Encoding. One parser
// takes what follows such a header for a call, another for the rest of a body,
// so that a caller could smuggle in a call.
func checkFraming(raw []byte) *wigeonladder.Error {
	hasLength, hasCoding := false, false
	for line := range bytes.Lines(raw) {
		withoutLF, hasLF := bytes.CutSuffix(line, []byte("\n"))
		text, hasCR := bytes.CutSuffix(withoutLF, []byte("\r"))
		if hasLF && !hasCR || bytes.IndexByte(text, '\r') >= 0 {
			return wigeonladder.Errorf(wigeonladder.CodeMalformed, "header", "a line does not end with CR LF")
		}
		if len(text) > 0 && (text[0] == ' ' || text[0] == '\t') {
			return wigeonladder.Errorf(wigeonladder.CodeMalformed, "header", "a folded line")
		}
		name, _, _ := bytes.Cut(text, []byte(":"))
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		hasCoding = hasCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	if hasLength && hasCoding {
		return wigeonladder.Errorf(wigeonladder.CodeMalformed, "header", "both Content-Length and Transfer-Encoding")
	}
	return nil
}
