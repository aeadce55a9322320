package setting

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

var (
	hashA = strings.Repeat("a", 64)
	hashB = strings.Repeat("b", 64)
)

const goodSettings = `{"name":"ebene-1","zone":"ebene","peer":"127.0.0.1:7000","caller":"127.0.0.1:7001",
"operator":"127.0.0.1:7002","platform":"127.0.0.1:9000"}`

// goodRegister returns a small valid register; every call returns a new one, which
// a test may change.
func goodRegister() wigeonladder.Register {
	return wigeonladder.Register{
		Zones: []wigeonladder.Zone{{Name: "ebene", Region: "port-louis"}},
		VMs:   []wigeonladder.VM{{Name: "ebene-1", Zone: "ebene", PeerAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:7001"}},
		Services: []wigeonladder.Service{
			{Name: "nib-scribe", Kind: wigeonladder.KindModel, Servers: []wigeonladder.Server{
				{Name: "nib-1", Zone: "ebene", Address: "10.0.1.1:8000", Slots: 8, MaxSlots: 16},
			}},
			{Name: "guild-desk", Kind: wigeonladder.KindPlain, Servers: []wigeonladder.Server{
				{Name: "desk-1", Zone: "ebene", Address: "10.0.1.2:8000", Slots: 8, MaxSlots: 16},
			}, Routes: []wigeonladder.Route{{PathPrefix: "/bookings", AtMostOnce: true}}},
		},
		Workspaces: []wigeonladder.Workspace{{Name: "w1", KeyHashes: []string{hashA}}, {Name: "w2", KeyHashes: []string{hashB}}},
	}
}

func goodConfig() wigeonladder.Config {
	return wigeonladder.Config{Revision: 7, Register: goodRegister(), Rules: wigeonladder.Rules{
		Shares:       []wigeonladder.ShareRule{{Workspace: "w1", Weight: 2, Burst: 100}},
		UrgencyRules: []wigeonladder.UrgencyRule{{Service: "guild-desk", PathPrefix: "/status", Urgency: wigeonladder.UrgencyHigh}},
	}}
}

func marshal(t testing.TB, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// expectErrorPlaces asserts that the error lists exactly these places, in this
// order.
func expectErrorPlaces(t *testing.T, err error, places ...string) {
	t.Helper()
	is := is.New(t)
	var l wigeonladder.Errors
	is.True(errors.As(err, &l)) // the error must be a list
	var got []string
	for _, e := range l {
		is.Equal(e.Code, wigeonladder.CodeBadSettings)
		got = append(got, e.Place)
	}
	is.Equal(strings.Join(got, "\n"), strings.Join(places, "\n"))
}

// Guards against defaults that overwrite the values of the file or that get lost
// next to them.
func TestSettingsOverDefaults(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings("settings.json", []byte(goodSettings))
	is.NoErr(err)
	is.Equal(s.Name, "ebene-1")
	is.Equal(s.MaxBodyBytes, 4<<20)
	is.Equal(time.Duration(s.DrainTimeout), 2*time.Minute)
	s, err = ParseSettings("settings.json", []byte(strings.Replace(goodSettings, "{", `{"limits":{"maxWait":"5s"},"leadTime":"0s",`, 1)))
	is.NoErr(err)
	is.Equal(time.Duration(s.MaxWait), 5*time.Second)
	is.Equal(s.MaxWaiting, 2000)
	is.Equal(time.Duration(s.LeadTime), time.Duration(0))
	again, err := ParseSettings("again", marshal(t, s))
	is.NoErr(err)
	is.Equal(again, s) // written settings can be read back
}

// Guards against a parser that stops at the first error, and against one that
// accepts values without a unit.
func TestSettingsErrorsAreListedTogether(t *testing.T) {
	_, err := ParseSettings("settings.json", []byte(`{"name":"a b","zone":"z","peer":"host:1","caller":"127.0.0.1:1",
		"operator":"127.0.0.1:1","limits":{"maxBody":"4MB","maxWait":"0s","maxwait":"3s"},"leadTime":3,"drainLimit":"2 minutes",
		"operators":["abc"],"links":["0.0.0.0:1"]}`))
	expectErrorPlaces(t, err,
		"settings.json: drainLimit",
		"settings.json: leadTime",
		"settings.json: limits.maxBody",
		"settings.json: limits.maxWait",
		"settings.json: limits.maxwait",
		"settings.json: links[0]",
		"settings.json: name",
		"settings.json: operator",
		"settings.json: operators[0]",
		"settings.json: peer",
		"settings.json: platform",
	)
}

// Guards against accepting a register or rules with invalid references.
func TestConfigErrors(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*wigeonladder.Config)
		places []string
	}{
		"none":                 {func(*wigeonladder.Config) {}, nil},
		"no revision":          {func(c *wigeonladder.Config) { c.Revision = 0 }, []string{"revision"}},
		"zone twice":           {func(c *wigeonladder.Config) { c.Register.Zones = append(c.Register.Zones, c.Register.Zones[0]) }, []string{"register.zones[1].name"}},
		"unknown zone":         {func(c *wigeonladder.Config) { c.Register.Services[0].Servers[0].Zone = "x" }, []string{"register.services[0].servers[0].zone"}},
		"unknown zone of a VM": {func(c *wigeonladder.Config) { c.Register.VMs[0].Zone = "x" }, []string{"register.vms[0].zone"}},
		"host name":            {func(c *wigeonladder.Config) { c.Register.Services[0].Servers[0].Address = "nib:1" }, []string{"register.services[0].servers[0].address"}},
		"address twice":        {func(c *wigeonladder.Config) { c.Register.Services[0].Servers[0].Address = "10.0.0.1:7000" }, []string{"register.services[0].servers[0].address"}},
		"server twice":         {func(c *wigeonladder.Config) { c.Register.Services[1].Servers[0].Name = "nib-1" }, []string{"register.services[1].servers[0].name"}},
		"server named VM":      {func(c *wigeonladder.Config) { c.Register.Services[0].Servers[0].Name = "ebene-1" }, []string{"register.services[0].servers[0].name"}},
		"service twice":        {func(c *wigeonladder.Config) { c.Register.Services[1].Name = "nib-scribe" }, []string{"register.services[1].name", "rules.urgent[0].service"}},
		"no slots":             {func(c *wigeonladder.Config) { c.Register.Services[0].Servers[0].Slots = 0 }, []string{"register.services[0].servers[0].slots"}},
		"maxSlots below":       {func(c *wigeonladder.Config) { c.Register.Services[0].Servers[0].MaxSlots = 7 }, []string{"register.services[0].servers[0].maxSlots"}},
		"once on model":        {func(c *wigeonladder.Config) { c.Register.Services[0].Routes = c.Register.Services[1].Routes }, []string{"register.services[0].routes[0].once"}},
		"unknown kind":         {func(c *wigeonladder.Config) { c.Register.Services[0].Kind = "gpu" }, []string{"register.services[0].kind"}},
		"workspace twice":      {func(c *wigeonladder.Config) { c.Register.Workspaces[1].Name = "w1" }, []string{"register.workspaces[1].name"}},
		"same key twice":       {func(c *wigeonladder.Config) { c.Register.Workspaces[1].KeyHashes[0] = hashA }, []string{"register.workspaces[1].keys[0]"}},
		"key too short":        {func(c *wigeonladder.Config) { c.Register.Workspaces[0].KeyHashes[0] = "aa" }, []string{"register.workspaces[0].keys[0]"}},
		"key not hex":          {func(c *wigeonladder.Config) { c.Register.Workspaces[0].KeyHashes[0] = strings.Repeat("g", 64) }, []string{"register.workspaces[0].keys[0]"}},
		"weight 0":             {func(c *wigeonladder.Config) { c.Rules.Shares[0].Weight = 0 }, []string{"rules.shares[0].weight"}},
		"unknown workspace":    {func(c *wigeonladder.Config) { c.Rules.Shares[0].Workspace = "w9" }, []string{"rules.shares[0].workspace"}},
		"share twice":          {func(c *wigeonladder.Config) { c.Rules.Shares = append(c.Rules.Shares, c.Rules.Shares[0]) }, []string{"rules.shares[1].workspace"}},
		"unknown service":      {func(c *wigeonladder.Config) { c.Rules.UrgencyRules[0].Service = "x" }, []string{"rules.urgent[0].service"}},
		"urgency too high":     {func(c *wigeonladder.Config) { c.Rules.UrgencyRules[0].Urgency = 3 }, []string{"rules.urgent[0].urgency"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := goodConfig()
			c.change(&v)
			got, err := ParseConfig("config.json", marshal(t, v))
			if c.places == nil {
				is.New(t).NoErr(err)
				is.New(t).Equal(got, v)
				return
			}
			for i := range c.places {
				c.places[i] = "config.json: " + c.places[i]
			}
			expectErrorPlaces(t, err, c.places...)
			is.New(t).Equal(got, wigeonladder.Config{}) // an invalid document is rejected as a whole
		})
	}
}

// Guards against accepting documents that decoders read differently, such as those
// with duplicate keys or keys in another case.
func TestMalformedDocuments(t *testing.T) {
	for name, c := range map[string]struct{ document, place string }{
		"empty":              {``, "f"},
		"second document":    {`{"shares":[]} {}`, "f"},
		"null":               {`null`, "f"},
		"unknown key":        {`{"shares":[],"share":[]}`, "f: share"},
		"other case":         {`{"shares":[],"Urgent":[]}`, "f: Urgent"},
		"missing key":        {`{}`, "f: shares"},
		"missing nested key": {`{"shares":[{"weight":1}]}`, "f: shares[0].workspace"},
		"key twice":          {`{"shares":[{"workspace":"w1","weight":1,"weight":2}]}`, "f: shares[0].weight"},
		"fraction":           {`{"shares":[{"workspace":"w1","weight":1.5}]}`, "f: shares[0].weight"},
		"exponent":           {`{"shares":[{"workspace":"w1","weight":1e1}]}`, "f: shares[0].weight"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseRules("f", []byte(c.document), goodRegister())
			expectErrorPlaces(t, err, c.place)
		})
	}
}

// Guards against files of a register or of rules alone being read differently from
// the same parts of a configuration.
func TestSeparateRegisterAndRules(t *testing.T) {
	is := is.New(t)
	r, err := ParseRegister("register.json", marshal(t, goodRegister()))
	is.NoErr(err)
	is.Equal(r, goodRegister())
	_, err = ParseRules("rules.json", marshal(t, goodConfig().Rules), r)
	is.NoErr(err)
}

// Guards against a parser that panics, that validates the same document
// differently each time, or that rejects a configuration which it accepted and
// which was written again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add(marshal(f, goodConfig()))
	f.Add(marshal(f, goodRegister()))
	f.Add(marshal(f, goodConfig().Rules))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, a := ParseSettings("f", data)
		_, b := ParseSettings("f", data)
		expectSameError(t, a, b)
		c, a := ParseConfig("f", data)
		_, b = ParseConfig("f", data)
		expectSameError(t, a, b)
		if a == nil {
			_, err := ParseConfig("f", marshal(t, c))
			is.New(t).NoErr(err) // an accepted configuration is accepted when written again
		}
		_, a = ParseRegister("f", data)
		_, b = ParseRegister("f", data)
		expectSameError(t, a, b)
		_, a = ParseRules("f", data, goodRegister())
		_, b = ParseRules("f", data, goodRegister())
		expectSameError(t, a, b)
	})
}

func expectSameError(t *testing.T, a, b error) {
	t.Helper()
	if (a == nil) != (b == nil) || a != nil && a.Error() != b.Error() {
		t.Fatalf("the same document gave two results:\n%v\n%v", a, b)
	}
}

// Guards against edge settings that lose a value of the file, and against accepting
// incomplete or unknown settings or too short delays.
func TestParseEdge(t *testing.T) {
	is := is.New(t)
	s, err := ParseEdge("edge.json", []byte(`{"name":"e","zone":"z","front":"127.0.0.1:1","ready":"127.0.0.1:2",
		"peer":"127.0.0.1:3","store":"127.0.0.1:4","seeds":["127.0.0.1:5"],"keyTrust":"5000ms","grace":"8s","apply":"3000ms","leave":"2500ms",
		"retry":{"ratio":"0.2","slack":"54","period":"10s"},"memory":414,"files":6150,"bandwidth":"1500"}`))
	is.NoErr(err)
	is.Equal(s.RetryBudget, RetryBudget{Ratio: 0.2, Slack: 54, Period: Duration(10 * time.Second)})
	is.Equal(s.KeyTrustTime, Duration(5*time.Second))
	is.Equal([]Duration{s.MaxApplyDelay, s.MaxLeaveDelay}, []Duration{Duration(3 * time.Second), Duration(2500 * time.Millisecond)})
	is.Equal([]Count{s.MemoryMB, s.MaxOpenFiles}, []Count{414, 6150})
	is.Equal(s.LinkMbps, Decimal(1500))
	s, err = ParseEdge("edge.json", []byte(`{"name":"e","zone":"z","front":"127.0.0.1:1","ready":"127.0.0.1:2","peer":"127.0.0.1:3","store":"127.0.0.1:4"}`))
	is.NoErr(err)
	is.Equal(s.RetryBudget, DefaultEdge().RetryBudget)
	for _, bad := range []string{
		`{}`, `{"name":"e","zone":"z","front":"127.0.0.1:1","ready":"127.0.0.1:2","peer":"127.0.0.1:3","store":"127.0.0.1:4","new":1}`,
		`{"name":"e","zone":"z","front":"127.0.0.1:1","ready":"127.0.0.1:2","peer":"127.0.0.1:3","store":"127.0.0.1:4","leave":"400ms"}`,
	} {
		_, err = ParseEdge("edge.json", []byte(bad))
		is.True(err != nil)
	}
}
