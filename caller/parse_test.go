package caller

import (
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// testIndex returns an index with one model service, and one plain service that
// has an at-most-once route.
func testIndex() *index {
	return newIndex(wigeonladder.Config{Revision: 1, Register: wigeonladder.Register{Services: []wigeonladder.Service{
		{Name: "scribe", Kind: wigeonladder.KindModel, Servers: []wigeonladder.Server{{Models: []string{"nib"}}}},
		{Name: "desk", Kind: wigeonladder.KindPlain, Routes: []wigeonladder.Route{{PathPrefix: "/deposit", AtMostOnce: true}}},
	}}}, nil)
}

// parsePath parses a request path as the server does.
func parsePath(x *index, raw string) (wigeonladder.Request, string, error) {
	var u fasthttp.URI
	if err := u.Parse([]byte("fleet"), []byte(raw)); err != nil {
		return wigeonladder.Request{}, "", err
	}
	r, err := x.parsePlain(wigeonladder.Request{}, string(u.Path()), string(u.QueryString()))
	return r, string(u.Path()), err
}

// Guards against running an at-most-once call without a ticket because its path
// is spelled differently.
func TestNoSpellingAvoidsTheTicket(t *testing.T) {
	for _, raw := range []string{
		"/s/desk/deposit", "/s/desk//deposit", "/s/desk/./deposit/7", "/s/desk/x/../deposit", "/s/desk/%64eposit",
		"/s/desk/DEPOSIT", "/s/desk/deposit?x=1", "/s//desk/deposit", "/s/desk%2Fdeposit", "/s/desk/%2e/deposit",
	} {
		t.Run(raw, func(t *testing.T) {
			is := is.New(t)
			r, _, err := parsePath(testIndex(), raw)
			is.NoErr(err)
			is.True(r.AtMostOnce)
			is.True(strings.HasPrefix(strings.ToLower(r.Path), "/deposit"))
		})
	}
	// A path that is encoded twice is a different path, and must reach the server
	// as it is.
	r, _, err := parsePath(testIndex(), "/s/desk/%2564eposit")
	is := is.New(t)
	is.NoErr(err)
	is.Equal(r.Path, "/%2564eposit")
}

// Guards against a path that the server interprets differently from the path
// that was matched, and against a ticket that does not fit the call for which it
// was requested.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/a", "//deposit", "/%64eposit?x=%0a", "/%2564", "/ \r\nX: y", "/a?b#c", "/..%2f", "http://x/y"} {
		f.Add(s)
	}
	x := testIndex()
	f.Fuzz(func(t *testing.T, path string) {
		r, full, err := parsePath(x, "/s/desk"+path)
		if err != nil {
			return
		}
		u, err := url.ParseRequestURI(r.Path)
		if err != nil || strings.ContainsAny(r.Path, " \r\n\x00") {
			t.Fatalf("path %q: %v", r.Path, err)
		}
		_, want, _ := strings.Cut(strings.TrimPrefix(full, plainPrefix), "/")
		if u.Path != "/"+want || r.AtMostOnce != strings.HasPrefix(strings.ToLower(u.Path), "/deposit") {
			t.Fatalf("matched %q, sent %q, once %v", want, r.Path, r.AtMostOnce)
		}
		if !strings.HasPrefix(path, "/") {
			return
		}
		body := `{"service":"desk","method":"GET","path":` + quoteJSON(path) + `}`
		p, err := x.parseTicket(wigeonladder.Request{}, []byte(body))
		// JSON replaces bytes that are not UTF-8, so only valid text is compared.
		if strings.ToValidUTF8(path, "") == path && (err != nil || p.Path != r.Path) {
			t.Fatalf("call %q, ticket for %q, %v", r.Path, p.Path, err)
		}
	})
}

// Guards against a body that crashes the parser or results in an impossible
// cost.
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"nib","messages":[{"content":"x"}],"max_tokens":7,"stream":true}`), "")
	f.Add([]byte(`{"model":"oak","messages":[]}`), "scribe")
	f.Add([]byte(`{"messages":{},"max_tokens":-1}`), "desk")
	x := testIndex()
	f.Fuzz(func(t *testing.T, body []byte, service string) {
		r, err := x.parseChat(wigeonladder.Request{}, service, body)
		if err != nil {
			if asError(err).Code.Info().Outcome != wigeonladder.NotRun {
				t.Fatalf("outcome of %v", err)
			}
			return
		}
		if r.Service != "scribe" || r.Estimate < 1 || r.Model != "" && r.Model != "nib" {
			t.Fatalf("request %+v", r)
		}
	})
}

// Guards against choosing the wrong service or model for a chat request.
func TestChatService(t *testing.T) {
	one := testIndex()
	two := newIndex(wigeonladder.Config{Register: wigeonladder.Register{Services: []wigeonladder.Service{
		{Name: "a", Kind: wigeonladder.KindModel, Servers: []wigeonladder.Server{{Models: []string{"m1"}}, {Models: []string{"m2"}}}},
		{Name: "b", Kind: wigeonladder.KindModel},
	}}}, nil)
	cases := []struct {
		name, service, model   string
		index                  *index
		wantService, wantModel string
		code                   wigeonladder.Code
	}{
		{"by model", "", "m2", two, "a", "m2", 0},
		{"by service", "a", "m1", two, "a", "m1", 0},
		{"any model", "b", "m9", two, "b", "", 0},
		{"sole service", "", "", one, "scribe", "", 0},
		{"sole service lacks model", "", "oak", one, "", "", wigeonladder.CodeNoModel},
		{"no model has it", "", "oak", two, "", "", wigeonladder.CodeNoModel},
		{"service lacks model", "a", "m9", two, "", "", wigeonladder.CodeNoModel},
		{"ambiguous", "", "", two, "", "", wigeonladder.CodeNoService},
		{"unknown service", "c", "m1", two, "", "", wigeonladder.CodeNoService},
		{"plain service", "desk", "nib", one, "", "", wigeonladder.CodeNoService},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v, model, err := c.index.chatService(c.service, c.model)
			if c.code != 0 {
				is.Equal(asError(err).Code, c.code)
				return
			}
			is.NoErr(err)
			is.Equal(v.Name, c.wantService)
			is.Equal(model, c.wantModel)
		})
	}
}
