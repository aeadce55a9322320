package front

import (
	"errors"
	"net"
	"os"

	"github.com/valyala/fasthttp"
)

// asSmall reports whether the header of a request did not fit.
func asSmall(err error, small **fasthttp.ErrSmallBuffer) bool { return errors.As(err, small) }

// isTooLarge reports whether the body of a request did not fit.
func isTooLarge(err error) bool { return errors.Is(err, fasthttp.ErrBodyTooLarge) }

// isTimeout reports whether a request was sent too slowly.
func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
