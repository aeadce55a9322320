package caller_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonladder/wigeonladder/fake"
)

// benchEngine answers immediately, so that the fleet's own time dominates.
var benchEngine = fake.EngineOptions{}

// BenchmarkFirstByte measures the time to the first event, both directly from
// the engine and through the packages caller and backend. The difference is the
// time that these add.
func BenchmarkFirstByte(b *testing.B) {
	r := newRig(b, benchEngine, nil)
	direct := fake.NewClient(r.engine.Address(), "", deadline)
	defer direct.Close()
	for _, c := range []struct {
		name string
		to   *fake.Client
	}{{"direct", direct}, {"fleet", r.caller}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			var times []time.Duration
			for b.Loop() {
				times = append(times, firstByte(b, c.to))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
		})
	}
}

// firstByte sends a chat request and returns the time to its first event.
func firstByte(b *testing.B, c *fake.Client) time.Duration {
	a := c.Chat(context.Background(), chatJSON("hello", 8, true))
	if !a.Complete {
		b.Fatal(a)
	}
	return a.FirstTokenTime
}

// BenchmarkOpenStreams measures the memory of open streams. The engines and the
// callers' sockets are in the same process, so it measures both callers that go
// through the fleet and callers that connect directly to the engine.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	for _, c := range []struct {
		name  string
		fleet bool
	}{{"direct", false}, {"fleet", true}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				r := newRig(b, benchEngine, nil)
				r.engine.SetFaults(fake.EngineFaults{StallAfter: 3})
				address := r.engine.Address()
				if c.fleet {
					address = r.caller.Address
				}
				before := memory()
				conns := openStreams(b, address, streams)
				b.ReportMetric(float64(memory()-before)/streams, "B/stream")
				for _, n := range conns {
					n.Close()
				}
			}
		})
	}
}

// memory returns the size in bytes of the heap and stacks in use.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// openStreams opens n streams and waits for the third token of each.
func openStreams(b *testing.B, address string, n int) []net.Conn {
	conns := make([]net.Conn, n)
	var g sync.WaitGroup
	// Bounds the streams that are opened at once, so that the listen queue does
	// not overflow.
	semaphore := make(chan struct{}, 50)
	for i := range conns {
		g.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Error(err)
				return
			}
			conns[i] = c
			body := chatJSON(strings.Repeat("x", 2000), 9, true)
			fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-alder\r\nX-Attempt-Id: bench.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_ = c.SetReadDeadline(time.Now().Add(deadline))
			one := make([]byte, 1)
			for got := ""; !strings.Contains(got, `"2-`); got += string(one) {
				if _, err := c.Read(one); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	g.Wait()
	return conns
}
