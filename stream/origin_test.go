package stream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var (
	originA = Origin{Service: "s", Version: "v1"}
	originB = Origin{Service: "s", Version: "v2"}
)

// wantOrigin asserts what is known of the stream that a call of workspace w began.
func wantOrigin(t *testing.T, o *Origins, id string, want Origin, known bool) {
	t.Helper()
	is := is.New(t)
	got, ok := o.Find(NewKey("w", id))
	is.Equal(ok, known)
	is.Equal(got, want)
}

func always(string) bool { return true }

// Guards against a stream that is taken for one of another workspace, or for another one
// with the same id.
func TestOriginsAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewOrigins()
		o.Begin(NewKey("w", "a"), originA, "x")
		o.Begin(NewKey("other", "a"), originB, "x")
		wantOrigin(t, o, "a", originA, true)
		wantOrigin(t, o, "b", Origin{}, false)
		is.New(t).True(NewKey("w", "xa") != NewKey("wx", "a"))
		o.Begin(NewKey("w", "a"), originA, "y")
		wantOrigin(t, o, "a", originA, true)
		o.Import([]Record{{NewKey("w", "a"), originB}})
		wantOrigin(t, o, "a", ambiguous, true)
		time.Sleep(Lifetime)
		wantOrigin(t, o, "a", Origin{}, false)
	})
}

// Guards against a stream that goes on at the old version although its server had already
// started anew with another one.
func TestChangedServerMakesItsStreamsAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := NewOrigins()
		o.Begin(NewKey("w", "before"), originA, "x")
		time.Sleep(5 * time.Second)
		o.Begin(NewKey("w", "late"), originA, "x")
		o.Begin(NewKey("w", "elsewhere"), originA, "y")
		is.Equal(len(o.Export(always)), 3)
		time.Sleep(time.Second)
		o.ServerChanged("x", 3*time.Second)
		wantOrigin(t, o, "before", originA, true)
		wantOrigin(t, o, "late", ambiguous, true)
		wantOrigin(t, o, "elsewhere", originA, true)
		is.Equal(o.Export(func(string) bool { return false }), []Record{{NewKey("w", "late"), ambiguous}})
	})
}

// Guards against origins that are passed on without need, twice, or not at all once they
// are needed.
func TestOriginsAreExportedWhenNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := NewOrigins()
		o.Begin(NewKey("w", "a"), originA, "x")
		o.Begin(NewKey("w", "b"), Origin{Service: "t", Version: "v1"}, "x")
		o.Import([]Record{{NewKey("w", "c"), originA}})
		is.Equal(len(o.Export(func(string) bool { return false })), 0)
		onlyS := func(service string) bool { return service == "s" }
		is.Equal(o.Export(onlyS), []Record{{NewKey("w", "a"), originA}})
		is.Equal(len(o.Export(onlyS)), 0)
		is.Equal(len(o.Export(always)), 1)
		time.Sleep(Lifetime)
		o.Begin(NewKey("w", "d"), originA, "x")
		is.Equal(o.Len(), 1)
	})
}

// Guards against a caller that fills the memory with streams.
func TestOriginsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := NewOrigins()
		for i := range maxRecords + 1000 {
			o.Begin(NewKey("w", fmt.Sprint(i)), originA, "x")
		}
		is.True(o.Len() <= maxRecords)
		wantOrigin(t, o, "0", Origin{}, false)
		wantOrigin(t, o, fmt.Sprint(maxRecords+999), originA, true)
		is.Equal(len(o.Export(always)), MaxBatch)
	})
}
