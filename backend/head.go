package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// statusLineShape is the beginning of a status line; 0 stands for any digit.
const statusLineShape = "HTTP/0.0 000"

// strayBytesError returns the error of an answer that may consist of bytes of several
// answers, so that nothing in it tells what became of the call.
func strayBytesError(format string, args ...any) error {
	return wigeonladder.Errorf(wigeonladder.CodeCrossed, "", format, args...)
}

// awaitHead waits until the reader holds a whole head and checks that it is the head
// of a single answer. Bytes that a server left on the connection before it wrote the
// answer would otherwise become a part of the head: the HTTP library skips empty
// lines, and takes a status line in the middle of another line as text.
//
// The error is io.EOF if the connection ends before the first byte, and
// io.ErrUnexpectedEOF if it ends later.
func awaitHead(r *bufio.Reader) error {
	var c headCheck
	for seen := 0; ; {
		_, err := r.Peek(seen + 1)
		b, _ := r.Peek(r.Buffered())
		whole, checkErr := c.add(b)
		switch {
		case checkErr != nil:
			return checkErr
		case whole:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			return errTooLong
		case errors.Is(err, io.EOF) && len(b) > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		seen = len(b)
	}
}

// headCheck checks a head line by line while it arrives.
type headCheck struct {
	// lineStart is the offset of the first line that has not been checked.
	lineStart int
	// framings and types count the headers that state where the body ends, and the
	// type of the body.
	framings, types int
}

// add checks the lines that are complete in the bytes of a head so far. It reports
// whether the head is whole.
func (c *headCheck) add(b []byte) (whole bool, err error) {
	if !hasStatusLineShape(b) {
		return false, strayBytesError("the answer begins with %.40q", b)
	}
	for {
		n := bytes.IndexByte(b[c.lineStart:], '\n')
		if n < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(b[c.lineStart:c.lineStart+n], []byte{'\r'})
		isFirst := c.lineStart == 0
		c.lineStart += n + 1
		switch {
		case isFirst:
			err = checkStatusLine(line)
		case len(line) == 0:
			return true, nil
		default:
			err = c.checkHeaderLine(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// hasStatusLineShape reports whether the bytes begin like a status line, as far as
// they go.
func hasStatusLineShape(b []byte) bool {
	for i := range min(len(b), len(statusLineShape)) {
		if want := statusLineShape[i]; want == '0' && !isDigit(b[i]) || want != '0' && b[i] != want {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// httpVersions are the versions of HTTP that servers may answer in.
var httpVersions = [][]byte{[]byte("HTTP/1.1 "), []byte("HTTP/1.0 ")}

// maxStatus is the largest status of an answer. Others are not in the protocol, and the
// HTTP library takes a status of 0 for 200.
const maxStatus = 599

// checkStatusLine checks the first line of a head.
func checkStatusLine(line []byte) error {
	rest := line[min(len(line), len(statusLineShape)):]
	if len(line) < len(statusLineShape) || len(rest) > 0 && rest[0] != ' ' {
		return strayBytesError("status line %.40q", line)
	}
	if !slices.ContainsFunc(httpVersions, func(v []byte) bool { return bytes.HasPrefix(line, v) }) {
		return strayBytesError("version in status line %.40q", line)
	}
	status, err := strconv.Atoi(string(line[len(statusLineShape)-3 : len(statusLineShape)]))
	if err != nil || status < fasthttp.StatusContinue || status > maxStatus || status == fasthttp.StatusSwitchingProtocols {
		return strayBytesError("status in status line %.40q", line)
	}
	return checkText(rest)
}

// checkHeaderLine checks a line with one header. It counts those that may stand only
// once, because two of them come from two answers.
func (c *headCheck) checkHeaderLine(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) {
		return strayBytesError("header line %.40q", line)
	}
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		c.framings++
		if _, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63); err != nil {
			return strayBytesError("length %.40q", value)
		}
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		c.framings++
		if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
			return strayBytesError("transfer encoding %.40q", value)
		}
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentType)):
		c.types++
	}
	if c.framings > 1 || c.types > 1 {
		return strayBytesError("a second header %q", name)
	}
	return checkText(value)
}

// isToken reports whether the bytes can be the name of a header.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// checkText checks a reason phrase or the value of a header. A status line in it is
// the beginning of another answer.
func checkText(b []byte) error {
	if bytes.IndexByte(b, '\r') >= 0 {
		return strayBytesError("a carriage return in %.40q", b)
	}
	for rest := b; ; {
		i := bytes.Index(rest, []byte(statusLineShape[:5]))
		if i < 0 {
			return nil
		}
		rest = rest[i:]
		if len(rest) >= len(statusLineShape) && hasStatusLineShape(rest) {
			return strayBytesError("a status line in %.80q", b)
		}
		rest = rest[1:]
	}
}

// Repeated reports whether one of the headers stands more than once. If each answer
// has it once at most, the head is that of two answers.
func Repeated(h *fasthttp.ResponseHeader, names ...string) bool {
	for _, n := range names {
		if len(h.PeekAll(n)) > 1 {
			return true
		}
	}
	return false
}

// isContradictory reports whether a head cannot be that of a single answer: it repeats
// what stands once, or says "not run" in an answer that only a run can have.
func (h AnswerHead) isContradictory() bool {
	return h.Repeated || h.NotRun && (h.Signed || h.Status < fasthttp.StatusBadRequest)
}
