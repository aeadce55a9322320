package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/place"
)

// form is one of the forms in which a packer packs reports.
type form struct {
	name string
	pack func(*packer, []Report) (json.RawMessage, error)
}

var forms = []form{{"rows", (*packer).pack}, {"columns", (*packer).packColumns}}

// Guards against reports that change when they are packed and unpacked, against
// compression that saves less than half, and against a message that fills the
// memory of its receiver when it is unpacked.
func TestPack(t *testing.T) {
	var r Report
	for i := range 90 {
		r.Place.Loads = append(r.Place.Loads, place.ServerLoad{Server: fmt.Sprintf("i-%010x", uint64(i)*2654435761), Running: i % 5, UnreadTokens: i * 91, MemoryTokens: i * 1003})
	}
	for _, f := range forms {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			p := newPacker("a")
			for range 2 {
				data, err := f.pack(p, []Report{r})
				is.NoErr(err)
				plain, err := json.Marshal(r)
				is.NoErr(err)
				is.True(2*len(data) < len(plain))
				from, got, err := unpack(data)
				is.NoErr(err)
				is.Equal(from, "a")
				is.Equal(got, []Report{r})
			}
			data, err := f.pack(p, []Report{{From: strings.Repeat("a", maxUnpacked)}})
			is.NoErr(err)
			_, _, err = unpack(data)
			is.True(err != nil)
		})
	}
	_, _, err := unpack(json.RawMessage(`{"z":"AAAA"}`))
	is.New(t).True(err != nil)
}

// drawReport returns a report with any content.
func drawReport(t *rapid.T) Report {
	name := rapid.SampledFrom([]string{"", "a", "b", "i-1", "i-2", "w"})
	number := rapid.Int64Range(0, 1<<50)
	r := Report{
		From: name.Draw(t, "from"), Zone: name.Draw(t, "zone"), Incarnation: name.Draw(t, "incarnation"),
		Sequence: number.Draw(t, "sequence"), MaxIntervalMs: number.Draw(t, "interval"),
	}
	for range rapid.IntRange(0, 4).Draw(t, "loads") {
		r.Place.Loads = append(r.Place.Loads, place.ServerLoad{Server: name.Draw(t, "server"), Running: rapid.Int().Draw(t, "running"), UnreadTokens: rapid.Int().Draw(t, "unread"), MemoryTokens: rapid.Int().Draw(t, "memory")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "sent") {
		r.Place.Sent = append(r.Place.Sent, place.SentPart{Server: name.Draw(t, "server"), Part: rapid.Uint64().Draw(t, "part"), Tokens: rapid.IntRange(0, 1<<40).Draw(t, "tokens")})
	}
	for range rapid.IntRange(0, 2).Draw(t, "leaving") {
		r.Place.Leaving = append(r.Place.Leaving, place.LeavingServer{Server: name.Draw(t, "server"), StartUnixMs: number.Draw(t, "start"), Address: name.Draw(t, "address")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "stated") {
		r.Place.Stated = append(r.Place.Stated, place.StatedWorkTime{Server: name.Draw(t, "server"), WorkTime: rapid.Int().Draw(t, "work time"), AgeMs: number.Draw(t, "age")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "totals") {
		r.Totals = append(r.Totals, fair.WorkspaceTotals{Workspace: name.Draw(t, "workspace"), Demand: number.Draw(t, "demand"), Service: number.Draw(t, "service"), Throttled: rapid.Bool().Draw(t, "throttled"), RecentDemand: number.Draw(t, "recent demand"), RecentService: number.Draw(t, "recent service")})
	}
	if rapid.Bool().Draw(t, "charges") {
		r.Charges = &wigeonladder.ChargeReport{HomeIncarnation: name.Draw(t, "home"), Slots: rapid.IntRange(0, 99).Draw(t, "slots")}
		for range rapid.IntRange(0, 3).Draw(t, "rows") {
			r.Charges.Rows = append(r.Charges.Rows, wigeonladder.Charge{Service: name.Draw(t, "service"), Workspace: name.Draw(t, "workspace"), Total: number.Draw(t, "total"), Counter: rapid.Float64Range(0, 1e12).Draw(t, "counter")})
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "suspicions") {
		r.Suspicions = append(r.Suspicions, wigeonladder.Suspicion{
			Fingerprint: rapid.Uint64().Draw(t, "fingerprint"), Servers: []string{name.Draw(t, "server")}, AgeMs: number.Draw(t, "age"),
			Part: rapid.Bool().Draw(t, "part"), CrashAgesMs: []int64{number.Draw(t, "crash age")}, LeadsMs: []int64{number.Draw(t, "lead")}, Workspaces: []string{name.Draw(t, "crash workspace")},
			ClearedAgeMs: number.Draw(t, "cleared"), Independent: rapid.IntRange(0, 9).Draw(t, "independent"), Trials: rapid.IntRange(0, 9).Draw(t, "trials"),
		})
	}
	return r
}

// Guards against a field that one of the forms loses or changes.
func TestFormsKeepReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l []Report
		for range rapid.IntRange(1, 3).Draw(t, "reports") {
			l = append(l, drawReport(t))
		}
		p := newPacker("a")
		for _, f := range forms {
			data, err := f.pack(p, l)
			if err != nil {
				t.Fatalf("%s: %v", f.name, err)
			}
			_, got, err := unpack(data)
			if err != nil {
				t.Fatalf("%s: %v", f.name, err)
			}
			if a, b := fmt.Sprintf("%+v", plain(got)), fmt.Sprintf("%+v", plain(l)); a != b {
				t.Fatalf("%s: got %s, want %s", f.name, a, b)
			}
		}
	})
}

// plain returns the JSON of reports, in which pointers do not hide their content.
func plain(l []Report) string {
	data, err := json.Marshal(l)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Guards against columns with incomplete rows or unknown names, which a faulty daemon
// may send, that end the daemon which reads them.
func TestMalformedColumns(t *testing.T) {
	whole := func() columns {
		r := Report{From: "a", Totals: []fair.WorkspaceTotals{{Workspace: "w"}}, Charges: &wigeonladder.ChargeReport{Rows: []wigeonladder.Charge{{Service: "s"}}}}
		r.Place.Loads, r.Place.Sent = []place.ServerLoad{{Server: "x"}}, []place.SentPart{{Server: "x"}}
		return newColumns([]Report{r})
	}
	for name, spoil := range map[string]func(*reportColumns){
		"sender":          func(c *reportColumns) { c.From = 99 },
		"zone":            func(c *reportColumns) { c.Zone = -1 },
		"incarnation":     func(c *reportColumns) { c.Incarnation = 99 },
		"load row":        func(c *reportColumns) { c.Loads = c.Loads.with(0) },
		"load server":     func(c *reportColumns) { c.Loads = numbers{}.with(-1, 0, 0, 0) },
		"sent row":        func(c *reportColumns) { c.Sent = c.Sent.with(0) },
		"sent server":     func(c *reportColumns) { c.Sent = numbers{}.with(99, 0, 0) },
		"stated row":      func(c *reportColumns) { c.Stated = c.Stated.with(0) },
		"stated server":   func(c *reportColumns) { c.Stated = numbers{}.with(99, 0, 0) },
		"totals row":      func(c *reportColumns) { c.Totals = c.Totals.with(0) },
		"total workspace": func(c *reportColumns) { c.Totals = numbers{}.with(99, 0, 0, 0, 0, 0) },
		"charge row":      func(c *reportColumns) { c.Charges.Rows = c.Charges.Rows.with(0) },
		"charge service":  func(c *reportColumns) { c.Charges.Rows = numbers{}.with(0, 99, 0) },
		"cut number":      func(c *reportColumns) { c.Loads = append(c.Loads, 0x80) },
		"charge counter":  func(c *reportColumns) { c.Charges.Counters = nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := whole()
			_, err := c.reports()
			is.NoErr(err)
			spoil(&c.Reports[0])
			_, err = c.reports()
			is.Equal(err, errMalformed)
		})
	}
}

// Guards against columns that are sent to a daemon of a version which reads only rows.
func TestColumnsOnlyForReaders(t *testing.T) {
	is := is.New(t)
	newPeer := func(columns bool) *peer { return &peer{columns: columns, queue: make(chan message, 1)} }
	newer, older := newPeer(true), newPeer(false)
	m := &Mesh{packer: newPacker("a")}
	m.packAndSend(methodReport, []Report{{From: "a"}}, []*peer{newer, older})
	for _, x := range []struct {
		peer *peer
		key  string
	}{{newer, `"c":`}, {older, `"z":`}} {
		is.Equal(len(x.peer.queue), 1)
		sent := <-x.peer.queue
		is.True(strings.Contains(string(sent.params), x.key))
		_, got, err := unpack(sent.params)
		is.NoErr(err)
		is.Equal(got, []Report{{From: "a"}})
	}
}

// FuzzUnpack looks for messages that end the daemon which reads them.
func FuzzUnpack(f *testing.F) {
	data, err := cbor.Marshal(newColumns([]Report{{From: "a", Totals: []fair.WorkspaceTotals{{Workspace: "w"}}}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, columns []byte) {
		var b bytes.Buffer
		w, _ := flate.NewWriter(&b, flate.BestSpeed)
		if _, err := w.Write(columns); err != nil || w.Close() != nil {
			t.Fatal("compress")
		}
		params, err := json.Marshal(packed{Columns: b.Bytes()})
		if err != nil {
			t.Fatal(err)
		}
		_, _, _ = unpack(params)
	})
}

// BenchmarkPack measures the reports of a zone with 23 daemons, each of which uses 20
// of 251 servers, in both forms.
func BenchmarkPack(b *testing.B) {
	var l []Report
	for i := range 23 {
		r := Report{From: fmt.Sprintf("edge-%d", i), Zone: "a", Incarnation: fmt.Sprintf("incarnation-%d", i), Sequence: 12345, MaxIntervalMs: 400}
		for k := range 20 {
			server := fmt.Sprintf("i-%010x", (i*7919+k*104729)%251*16843009)
			r.Place.Loads = append(r.Place.Loads, place.ServerLoad{Server: server, Running: 1, UnreadTokens: 2300, MemoryTokens: 17000})
			r.Place.Sent = append(r.Place.Sent, place.SentPart{Server: server, Part: uint64(k+1) * 0x9e3779b97f4a7c15, Tokens: 5300})
		}
		for k := range 7 {
			r.Totals = append(r.Totals, fair.WorkspaceTotals{Workspace: fmt.Sprintf("workspace-%d", (i+k*7)%60), Demand: 123456789, Service: 123456789})
		}
		l = append(l, r)
	}
	p := newPacker("a")
	for _, f := range forms {
		var data json.RawMessage
		b.Run("pack/"+f.name, func(b *testing.B) {
			for b.Loop() {
				var err error
				if data, err = f.pack(p, l); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run("unpack/"+f.name, func(b *testing.B) {
			for b.Loop() {
				if _, _, err := unpack(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
