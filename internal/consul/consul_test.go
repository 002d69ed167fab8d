package consul

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testTimeout ends a test that would otherwise hang.
const testTimeout = 20 * time.Second

// respond answers every request with the status and body.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// respondTruncated breaks the connection in the middle of the body.
func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("tr"))
	panic(http.ErrAbortHandler)
}

// TestWriteOutcomes checks which failures of a write leave its outcome unknown.
func TestWriteOutcomes(t *testing.T) {
	rows := []struct {
		name    string
		handler http.HandlerFunc
		done    bool
		err     error
	}{
		{"written", respond(200, "true\n"), true, nil},
		{"version has changed", respond(200, "false"), false, nil},
		{"refused", respond(403, "no"), false, ErrUnavailable},
		{"internal server error", respond(500, "oops"), false, ErrOutcomeUnknown},
		{"proxy reports unavailable", respond(503, ""), false, ErrOutcomeUnknown},
		{"unknown body", respond(200, "maybe"), false, ErrOutcomeUnknown},
		{"truncated body", respondTruncated, false, ErrOutcomeUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(row.handler)
			defer server.Close()
			client := New(server.URL, server.Client(), testTimeout)
			done, err := client.CAS(context.Background(), "key", []byte("data"), 7)
			c.Assert(done, qt.Equals, row.done)
			if row.err == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorIs, row.err)
		})
	}
}

// TestGet checks that a failed read is an error and not taken for a missing key.
func TestGet(t *testing.T) {
	rows := []struct {
		name    string
		handler http.HandlerFunc
		want    Value
		err     error
	}{
		{"present", respond(200, `[{"Key":"key","Value":"aGVsbG8=","ModifyIndex":9}]`), Value{"key", []byte("hello"), 9}, nil},
		{"missing", respond(404, ""), Value{Key: "key"}, nil},
		{"unavailable", respond(503, ""), Value{Key: "key"}, ErrUnavailable},
		{"malformed body", respond(200, `[{"Key":`), Value{Key: "key"}, ErrUnavailable},
		{"truncated body", respondTruncated, Value{Key: "key"}, ErrUnavailable},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(row.handler)
			defer server.Close()
			got, err := New(server.URL, server.Client(), testTimeout).Get(context.Background(), "key")
			c.Assert(got, qt.DeepEquals, row.want)
			if row.err == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorIs, row.err)
		})
	}
}

// TestOddInstanceHidesNoOther checks that an instance that can't be used is left out, and that the others stay.
func TestOddInstanceHidesNoOther(t *testing.T) {
	const sound = `{"ServiceID":"a","ServiceName":"s","ServiceAddress":"10.0.0.1","ServicePort":80,"ServiceMeta":{"zone":"z"}}`
	rows := []struct {
		name string
		odd  string
	}{
		{"null", "null"},
		{"a number", "7"},
		{"no ID", `{"ServicePort":80}`},
		{"port as text", `{"ServiceID":"b","ServicePort":"80"}`},
		{"port out of range", `{"ServiceID":"b","ServicePort":70000}`},
		{"negative port", `{"ServiceID":"b","ServicePort":-1}`},
		{"port beyond all numbers", `{"ServiceID":"b","ServicePort":1e400}`},
		{"meta of another type", `{"ServiceID":"b","ServicePort":80,"ServiceMeta":{"zone":7}}`},
		{"nested deeply", `{"ServiceID":"b","ServiceMeta":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + "}"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(respond(http.StatusOK, "["+row.odd+","+sound+"]"))
			defer server.Close()
			list, _, err := New(server.URL, server.Client(), testTimeout).Instances(context.Background(), "s", 0, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(list, qt.DeepEquals, []Instance{
				{ID: "a", Service: "s", Address: "10.0.0.1", Port: 80, Meta: map[string]string{"zone": "z"}},
			})
		})
	}
}
