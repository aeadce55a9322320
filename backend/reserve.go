package backend

import (
	"errors"
	"io"
)

// firstReservedBytes is what is reserved for an answer that states no length, before
// any of it has arrived.
const firstReservedBytes = 16 << 10

// readReserved reads a whole body as readBody does, or readToEnd if it is unframed. It
// calls reserve before it takes memory, and gives the memory up if reading fails.
func (x *exchange) readReserved(maxBytes int, unframed bool, reserve func(n int) error) ([]byte, error) {
	length := x.header.ContentLength()
	switch {
	case reserve == nil && unframed:
		return x.readToEnd(maxBytes)
	case reserve == nil || x.noBody || length > maxBytes || length < -1 && !unframed:
		return x.readBody(maxBytes)
	}
	g := growingBody{reserve: reserve}
	x.conn.allowRead(bodyBytes(maxBytes))
	err := g.read(x.body, length, maxBytes)
	if err != nil {
		_ = reserve(-cap(g.bytes))
		return nil, err
	}
	return g.bytes, nil
}

// growingBody is a body whose memory grows as it arrives.
type growingBody struct {
	reserve func(n int) error
	bytes   []byte
}

// read reads a body of the given length, or up to maxBytes of one without a length.
func (g *growingBody) read(r io.Reader, length, maxBytes int) error {
	if length >= 0 {
		if err := g.grow(length); err != nil {
			return err
		}
		g.bytes = g.bytes[:length]
		_, err := io.ReadFull(r, g.bytes)
		return err
	}
	for {
		if len(g.bytes) == cap(g.bytes) {
			if len(g.bytes) > maxBytes {
				return errTooLong
			}
			if err := g.grow(min(max(2*cap(g.bytes), firstReservedBytes), maxBytes+1)); err != nil {
				return err
			}
		}
		n, err := r.Read(g.bytes[len(g.bytes):cap(g.bytes)])
		g.bytes = g.bytes[:len(g.bytes)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			if len(g.bytes) > maxBytes {
				return errTooLong
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow changes the capacity.
func (g *growingBody) grow(capacity int) error {
	if err := g.reserve(capacity); err != nil {
		return err
	}
	old := cap(g.bytes)
	g.bytes = append(make([]byte, 0, capacity), g.bytes...)
	return g.reserve(-old)
}
