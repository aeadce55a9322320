package front

import (
	"errors"
	"net"
	"os"

	"github.com/valyala/fasthttp"
)

// asHeaderTooLarge reports whether the header of a request exceeds the limit,
// and stores the error that says so in headerTooLarge.
func asHeaderTooLarge(err error, headerTooLarge **fasthttp.ErrSmallBuffer) bool {
	return errors.As(err, headerTooLarge)
}

// isBodyTooLarge reports whether the body of a request exceeds the limit.
func isBodyTooLarge(err error) bool { return errors.Is(err, fasthttp.ErrBodyTooLarge) }

// isTimeout reports whether a request was sent too slowly.
func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
