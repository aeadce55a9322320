package place

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against the rest of a stream that waits, and is placed on a server of another
// version or waits on although no server of its version is left.
func TestWaitingJobKeepsItsVersion(t *testing.T) {
	for name, x := range map[string]struct {
		change func(r *rig)
		code   wigeonladder.Code
	}{
		"room":         {func(r *rig) { r.Put(versioned("v1", 2)) }, wigeonladder.CodeOK},
		"version gone": {func(r *rig) { r.RecordLeaving(versioned("v1", 0)); r.RecordLeaving(versioned("v1", 1)) }, wigeonladder.CodeStreamLost},
		"other room":   {func(r *rig) { r.Put(versioned("v2", 3)) }, wigeonladder.CodeOverload},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 0, func(t *testing.T, r *rig) {
				is := is.New(t)
				r.Put(versioned("v1", 0))
				r.Put(versioned("v1", 1))
				r.Put(versioned("v2", 2))
				for i := range 16 {
					j := r.job("w", fmt.Sprint("p", i))
					j.Version = "v1"
					_, _ = r.Acquire(t.Context(), j)
				}
				j := r.job("w", "p")
				j.Version = "v1"
				done := make(chan *wigeonladder.Error, 1)
				var lease *Lease
				go func() {
					var err *wigeonladder.Error
					lease, err = r.Acquire(t.Context(), j)
					done <- err
				}()
				synctest.Wait()
				time.Sleep(50 * time.Millisecond)
				x.change(r)
				err := <-done
				if x.code == wigeonladder.CodeOK {
					is.True(err == nil)
					is.Equal(lease.Instance.Version, "v1")
					return
				}
				is.Equal(err.Code, x.code)
			})
		})
	}
}

// versioned returns a model server of a version.
func versioned(version string, n int) wigeonladder.Instance {
	return wigeonladder.Instance{ID: fmt.Sprintf("%s-%d", version, n), Service: "model", Zone: "zone-a", Slots: 8, Version: version}
}
