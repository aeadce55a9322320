package exchange

import (
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/place"
)

// columns is the compact form of reports: each name once, and the rows of a report
// as numbers of variable length. Most of the time of a daemon in a large fleet would
// go into decoding names and keys otherwise.
type columns struct {
	_       struct{} `cbor:",toarray"`
	Names   []string
	Reports []reportColumns
}

// reportColumns is one report. Names of daemons, servers, services and workspaces
// are indexes of columns.Names.
type reportColumns struct {
	_                       struct{} `cbor:",toarray"`
	From, Zone, Incarnation int64
	Sequence, MaxIntervalMs int64
	Draining                bool
	// Loads has loadFields numbers a row: server, running, unread and memory tokens.
	Loads numbers
	// Sent has sentFields numbers a row: server, part, tokens.
	Sent numbers
	// Stated has statedFields numbers a row: server, work time in percent, age in
	// milliseconds.
	Stated  numbers
	Leaving []place.LeavingServer
	Limits  []place.ServerLimit
	Charges *chargeColumns
	// Totals has totalsFields numbers a row: workspace, demand, service, whether the
	// workspace is throttled, recent demand and recent service.
	Totals     numbers
	Suspicions []wigeonladder.Suspicion
}

// chargeColumns are the charges of one report.
type chargeColumns struct {
	_               struct{} `cbor:",toarray"`
	HomeIncarnation string
	Slots           int
	// Rows has chargeFields numbers a row: service, workspace, total. Counters has one
	// a row.
	Rows     numbers
	Counters []float64
}

// Numbers of fields in the rows of the columns.
const (
	loadFields   = 4
	sentFields   = 3
	statedFields = 3
	totalsFields = 6
	chargeFields = 3
	maxFields    = totalsFields
)

// numbers is a list of numbers in the encoding of binary.AppendVarint.
type numbers []byte

// with returns the list with further numbers.
func (n numbers) with(l ...int64) numbers {
	for _, x := range l {
		n = binary.AppendVarint(n, x)
	}
	return n
}

// eachRow calls add with each row of the given number of fields, which is valid until
// the next one. The first named fields of each row must be indexes of one of a number
// of names.
func (n numbers) eachRow(fields, named, names int, add func(row []int64)) error {
	var buffer [maxFields]int64
	row := buffer[:fields]
	for len(n) > 0 {
		for i := range row {
			x, size := binary.Varint(n)
			if size <= 0 || i < named && !isIndex(x, names) {
				return errMalformed
			}
			row[i] = x
			n = n[size:]
		}
		add(row)
	}
	return nil
}

// rows returns the number of rows. The last byte of each number has no continuation
// bit.
func (n numbers) rows(fields int) int {
	count := 0
	for _, b := range n {
		if b < 0x80 {
			count++
		}
	}
	return count / fields
}

// isIndex reports whether a number is the index of one of a number of names.
func isIndex(x int64, names int) bool { return x >= 0 && x < int64(names) }

// errMalformed is the error of columns whose rows or indexes do not fit.
var errMalformed = errors.New("unpack reports: malformed columns")

// nameIndex assigns indexes to names.
type nameIndex struct {
	names   []string
	indexes map[string]int64
}

// index returns the index of a name.
func (n *nameIndex) index(name string) int64 {
	i, ok := n.indexes[name]
	if !ok {
		i = int64(len(n.names))
		n.indexes[name] = i
		n.names = append(n.names, name)
	}
	return i
}

// newColumns returns the columns of reports.
func newColumns(l []Report) columns {
	n := &nameIndex{indexes: map[string]int64{}}
	c := columns{Reports: make([]reportColumns, 0, len(l))}
	for _, r := range l {
		c.Reports = append(c.Reports, newReportColumns(n, r))
	}
	c.Names = n.names
	return c
}

// newReportColumns returns the columns of one report.
func newReportColumns(n *nameIndex, r Report) reportColumns {
	c := reportColumns{
		From: n.index(r.From), Zone: n.index(r.Zone), Incarnation: n.index(r.Incarnation),
		Sequence: r.Sequence, MaxIntervalMs: r.MaxIntervalMs, Draining: r.Draining,
		Leaving: r.Place.Leaving, Limits: r.Place.Limits, Suspicions: r.Suspicions,
	}
	for _, x := range r.Place.Loads {
		c.Loads = c.Loads.with(n.index(x.Server), int64(x.Running), int64(x.UnreadTokens), int64(x.MemoryTokens))
	}
	for _, x := range r.Place.Sent {
		c.Sent = c.Sent.with(n.index(x.Server), int64(x.Part), int64(x.Tokens)) // #nosec G115
	}
	for _, x := range r.Place.Stated {
		c.Stated = c.Stated.with(n.index(x.Server), int64(x.WorkTime), x.AgeMs)
	}
	for _, x := range r.Totals {
		throttled := int64(0)
		if x.Throttled {
			throttled = 1
		}
		c.Totals = c.Totals.with(n.index(x.Workspace), x.Demand, x.Service, throttled, x.RecentDemand, x.RecentService)
	}
	if r.Charges != nil {
		c.Charges = newChargeColumns(n, *r.Charges)
	}
	return c
}

// newChargeColumns returns the columns of charges.
func newChargeColumns(n *nameIndex, r wigeonladder.ChargeReport) *chargeColumns {
	c := &chargeColumns{HomeIncarnation: r.HomeIncarnation, Slots: r.Slots}
	for _, x := range r.Rows {
		c.Rows = c.Rows.with(n.index(x.Service), n.index(x.Workspace), x.Total)
		c.Counters = append(c.Counters, x.Counter)
	}
	return c
}

// reports returns the reports of columns that another daemon sent.
func (c columns) reports() ([]Report, error) {
	l := make([]Report, 0, len(c.Reports))
	for _, x := range c.Reports {
		r, err := x.report(c.Names)
		if err != nil {
			return nil, err
		}
		l = append(l, r)
	}
	return l, nil
}

// report returns one report.
func (c reportColumns) report(names []string) (Report, error) {
	if !isIndex(c.From, len(names)) || !isIndex(c.Zone, len(names)) || !isIndex(c.Incarnation, len(names)) {
		return Report{}, errMalformed
	}
	r := Report{
		From: names[c.From], Zone: names[c.Zone], Incarnation: names[c.Incarnation],
		Sequence: c.Sequence, MaxIntervalMs: c.MaxIntervalMs, Draining: c.Draining, Suspicions: c.Suspicions,
	}
	r.Place.Leaving, r.Place.Limits = c.Leaving, c.Limits
	r.Place.Loads = slices.Grow(r.Place.Loads, c.Loads.rows(loadFields))
	err := c.Loads.eachRow(loadFields, 1, len(names), func(x []int64) {
		r.Place.Loads = append(r.Place.Loads, place.ServerLoad{Server: names[x[0]], Running: int(x[1]), UnreadTokens: int(x[2]), MemoryTokens: int(x[3])})
	})
	if err != nil {
		return Report{}, err
	}
	r.Place.Sent = slices.Grow(r.Place.Sent, c.Sent.rows(sentFields))
	err = c.Sent.eachRow(sentFields, 1, len(names), func(x []int64) {
		r.Place.Sent = append(r.Place.Sent, place.SentPart{Server: names[x[0]], Part: uint64(x[1]), Tokens: int(x[2])}) // #nosec G115
	})
	if err != nil {
		return Report{}, err
	}
	r.Place.Stated = slices.Grow(r.Place.Stated, c.Stated.rows(statedFields))
	err = c.Stated.eachRow(statedFields, 1, len(names), func(x []int64) {
		r.Place.Stated = append(r.Place.Stated, place.StatedWorkTime{Server: names[x[0]], WorkTime: int(x[1]), AgeMs: x[2]})
	})
	if err != nil {
		return Report{}, err
	}
	r.Totals = slices.Grow(r.Totals, c.Totals.rows(totalsFields))
	err = c.Totals.eachRow(totalsFields, 1, len(names), func(x []int64) {
		r.Totals = append(r.Totals, fair.WorkspaceTotals{
			Workspace: names[x[0]], Demand: x[1], Service: x[2], Throttled: x[3] != 0, RecentDemand: x[4], RecentService: x[5],
		})
	})
	if err != nil {
		return Report{}, err
	}
	if c.Charges != nil {
		r.Charges, err = c.Charges.report(names)
	}
	return r, err
}

// report returns the charges of one report.
func (c chargeColumns) report(names []string) (*wigeonladder.ChargeReport, error) {
	r := &wigeonladder.ChargeReport{HomeIncarnation: c.HomeIncarnation, Slots: c.Slots}
	r.Rows = slices.Grow(r.Rows, len(c.Counters))
	err := c.Rows.eachRow(chargeFields, 2, len(names), func(x []int64) {
		r.Rows = append(r.Rows, wigeonladder.Charge{Service: names[x[0]], Workspace: names[x[1]], Total: x[2]})
	})
	if err != nil || len(r.Rows) != len(c.Counters) {
		return nil, errMalformed
	}
	for i, counter := range c.Counters {
		r.Rows[i].Counter = counter
	}
	return r, nil
}
