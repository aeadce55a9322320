package front

import (
	"bytes"

	"github.com/wigeonladder/wigeonladder"
)

// checkFraming returns an error for a header whose message length another
// parser may read in another way: one with a line that is folded or ends
// without CR LF, or with both Content-Length and Transfer-Encoding. What
// follows such a header may be a call or the rest of a body, so it could be
// used to smuggle in a call.
func checkFraming(raw []byte) *wigeonladder.Error {
	length, coding := false, false
	for line := range bytes.Lines(raw) {
		end, ended := bytes.CutSuffix(line, []byte("\n"))
		text, clean := bytes.CutSuffix(end, []byte("\r"))
		if ended && !clean || bytes.IndexByte(text, '\r') >= 0 {
			return wigeonladder.Errorf(wigeonladder.CodeMalformed, "header", "a line does not end with CR LF")
		}
		if len(text) > 0 && (text[0] == ' ' || text[0] == '\t') {
			return wigeonladder.Errorf(wigeonladder.CodeMalformed, "header", "a folded line")
		}
		name, _, _ := bytes.Cut(text, []byte(":"))
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		coding = coding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	if length && coding {
		return wigeonladder.Errorf(wigeonladder.CodeMalformed, "header", "both Content-Length and Transfer-Encoding")
	}
	return nil
}
