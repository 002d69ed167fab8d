package entry

import (
	"errors"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/filter"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// TestMain fixes the seed of property tests, so that their runs repeat.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "6") // the flag is registered by the import
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// testBodyBytes is the maximum size of a request's body.
const testBodyBytes = 1 << 20

var places = []catalog.Place{catalog.PlaceNone, catalog.PlaceHeader, catalog.PlaceField, catalog.PlacePath}

// decode decodes a request of a client account that has its request ID and session at the given places.
func decode(method, target, id string, body []byte, idAt, sessionAt catalog.Place) (filter.Request, error) {
	r := httptest.NewRequest(method, "/", strings.NewReader(string(body)))
	r.URL.Path, r.URL.RawQuery, _ = strings.Cut(target, "?")
	r.Header = http.Header{"X-Id": {id}, "If-None-Match": {"e1"}, "Cookie": {"c"}, "Connection": {"close"}}
	d := &decoder{w: httptest.NewRecorder(), r: r, maxBodyBytes: testBodyBytes, room: endlessRoom{}}
	return d.Decode(catalog.ClientAccount{
		RequestID: catalog.Source{Place: idAt, Name: "X-Id"}, Session: catalog.Source{Place: sessionAt, Name: "s"},
	})
}

// TestDecode checks decoded requests and the code of each rejection, which must say that the request didn't run.
func TestDecode(t *testing.T) {
	chat := `{"model":"m","messages":[{"role":"user","content":"hi"}]`
	wantFields := []endpoint.Field{{Name: "If-None-Match", Value: "e1"}}
	rows := []struct {
		name   string
		method string
		target string
		id     string
		body   string
		code   result.Code
		want   filter.Request
	}{
		{"chat", "POST", chatPath, "r1", chat + "}", result.OK, filter.Request{ID: "r1", Kind: filter.KindChat, Model: "m", Prompt: "hi\n"}},
		{"duplicate field", "POST", chatPath, "r1", chat + `,"model":"n"}`, result.OK, filter.Request{ID: "r1", Kind: filter.KindChat, Model: "n", Prompt: "hi\n"}},
		{"content that isn't a string", "POST", chatPath, "r1", `{"model":"m","messages":[{"content":[1]}]}`, result.OK, filter.Request{ID: "r1", Kind: filter.KindChat, Model: "m", Prompt: "[1]"}},
		{"service with query", "HEAD", "/services/stock/a b?x=1&y=%20", "r2", "", result.OK, filter.Request{ID: "r2", Kind: filter.KindService, Service: "stock", Path: "/a b", Query: "x=1&y=%20", Fields: wantFields}},
		{"session in the path", "POST", "/s/7/services/stock/a", "r3", "", result.OK, filter.Request{ID: "r3", Session: "7", Kind: filter.KindService, Service: "stock", Path: "/a", Fields: wantFields}},
		{"no model", "POST", chatPath, "r1", `{"messages":[{}]}`, result.BadRequest, filter.Request{}},
		{"no messages", "POST", chatPath, "r1", `{"model":"m"}`, result.BadRequest, filter.Request{}},
		{"truncated body", "POST", chatPath, "r1", chat, result.BadRequest, filter.Request{}},
		{"body that isn't an object", "POST", chatPath, "r1", `[]`, result.BadRequest, filter.Request{}},
		{"deeply nested body", "POST", chatPath, "r1", strings.Repeat(`[`, 100_000), result.BadRequest, filter.Request{}},
		{"body too large", "POST", chatPath, "r1", strings.Repeat(" ", testBodyBytes+1), result.TooLarge, filter.Request{}},
		{"invalid UTF-8", "POST", chatPath, "r1", `{"model":"m","messages":[{"content":"` + "\xff" + `"}]}`, result.BadRequest, filter.Request{}},
		{"two choices", "POST", chatPath, "r1", chat + `,"n":2}`, result.BadRequest, filter.Request{}},
		{"stream isn't a boolean", "POST", chatPath, "r1", chat + `,"stream":"yes"}`, result.BadRequest, filter.Request{}},
		{"line break in the request ID", "POST", chatPath, "r\n1", chat + "}", result.BadRequest, filter.Request{}},
		{"long request ID", "POST", chatPath, strings.Repeat("r", maxIDBytes+1), chat + "}", result.BadRequest, filter.Request{}},
		{"dot segments", "GET", "/services/stock/a/../b", "r1", "", result.NoSuchRoute, filter.Request{}},
		{"empty segment", "GET", "/services//a", "r1", "", result.NoSuchRoute, filter.Request{}},
		{"chat by GET", "GET", chatPath, "r1", "", result.NoSuchRoute, filter.Request{}},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			got, err := decode(row.method, row.target, row.id, []byte(row.body), catalog.PlaceHeader, catalog.PlacePath)
			if row.code != result.OK {
				c.Assert(err, qt.IsNotNil)
				c.Assert(result.From(err).Code, qt.Equals, row.code)
				c.Assert(result.From(err).Run, qt.Equals, result.NotRun)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(got.Transient, qt.Equals, row.want.Session == "")
			if got.Transient {
				got.Session, got.Transient = "", false
			}
			got.Method, got.Body = "", nil
			c.Assert(got, qt.DeepEquals, row.want)
		})
	}
}

// checkDecodeResult returns an error unless the result is a numbered refusal or a request that can be forwarded.
func checkDecodeResult(r filter.Request, err error) error {
	if err != nil {
		var e *result.Error
		if !errors.As(err, &e) || e.Run != result.NotRun {
			return err
		}
		return nil
	}
	switch {
	case r.ID == "" || r.Session == "" || !validID(r.ID) || !validID(r.Session):
		return errors.New("request ID or session is invalid in a header field")
	case r.Kind == filter.KindChat && r.Model == "":
		return errors.New("chat request without model")
	case r.Kind == filter.KindService && (!strings.HasPrefix(r.Path, "/") || strings.Contains(r.Path, "/../")):
		return errors.New("invalid service path " + r.Path)
	case r.Kind == 0:
		return errors.New("request without kind")
	}
	return nil
}

// FuzzDecode checks that no input makes Decode return a request that can't be forwarded.
func FuzzDecode(f *testing.F) {
	f.Add("POST", chatPath, "r1", []byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"X-Id":7}`), uint8(0))
	f.Add("GET", "/s/1/X-Id/2/services/a/b?c=d", "", []byte{}, uint8(15))
	f.Fuzz(func(t *testing.T, method, target, id string, body []byte, at uint8) {
		if method == "" || strings.ContainsFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' }) {
			return
		}
		if err := checkDecodeResult(decode(method, target, id, body, places[at%4], places[at/4%4])); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDecodeReturnsRequestOrCode checks random paths and bodies built from valid and invalid parts.
func TestDecodeReturnsRequestOrCode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := []string{"/", "services", "v1/chat/completions", "X-Id", "s", "..", "%2e", "a b", "\x00", "é"}
		target := "/" + strings.Join(rapid.SliceOf(rapid.SampledFrom(parts)).Draw(t, "parts"), "")
		fields := []string{`"model":"m"`, `"model":7`, `"messages":[{"content":"x"}]`, `"X-Id":"a\u0000"`, `"X-Id":1e5`, `"s":{}`, `"n":0`, `"stream":true`, `"`}
		body := "{" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(fields), 0, 5).Draw(t, "fields"), ",") + "}"
		idAt, sessionAt := rapid.SampledFrom(places).Draw(t, "id at"), rapid.SampledFrom(places).Draw(t, "session at")
		if err := checkDecodeResult(decode("POST", target, rapid.String().Draw(t, "id"), []byte(body), idAt, sessionAt)); err != nil {
			t.Fatal(err)
		}
	})
}
