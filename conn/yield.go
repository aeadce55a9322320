package conn

import (
	"os"
	"runtime"
	"syscall"
)

// Yielder lets a goroutine wait for its turn behind all work that is ready, including
// what the network has brought meanwhile. runtime.Gosched is not enough for that: while
// a goroutine that called it is ready, the runtime polls the network only every ten
// milliseconds. A Yielder serves one goroutine.
type Yielder struct {
	read, write *os.File
	raw         syscall.RawConn
}

// NewYielder returns a Yielder, which holds two file descriptors until it is closed.
func NewYielder() *Yielder {
	r, w, err := os.Pipe()
	if err != nil {
		return &Yielder{}
	}
	y := &Yielder{read: r, write: w}
	if y.raw, err = r.SyscallConn(); err != nil {
		y.raw = nil
	}
	return y
}

// Yield returns once the runtime has run the goroutines that were ready and has polled
// the network.
func (y *Yielder) Yield() {
	if y.raw == nil {
		runtime.Gosched()
		return
	}
	// The byte is written once the goroutine is about to wait for it, so that only the
	// poll of the network makes the goroutine ready.
	written, read := false, false
	err := y.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		if !written {
			written = true
			_, err := y.write.Write(b[:])
			return err != nil
		}
		_, err := syscall.Read(int(fd), b[:]) // #nosec G115
		read = err == nil
		return true
	})
	if err != nil || !read {
		runtime.Gosched()
	}
}

// Close releases the file descriptors and ends a Yield.
func (y *Yielder) Close() {
	if y.read != nil {
		_ = y.read.Close()
		_ = y.write.Close()
	}
}
