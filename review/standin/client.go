//go:build review

package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"
)

const (
	host = "site.example"
	key  = "key-of-tenant-one"
)

// call is a request of a client.
type call struct {
	id    string
	path  string
	kind  string
	model string
	// prefix lists the parts of the prompt; empty for the usual one.
	prefix string
	budget time.Duration
	// body is sent at bytesPerSecond, or at once if that is 0.
	body           []byte
	bytesPerSecond int
}

// reply is what a client got.
type reply struct {
	call
	vm        string
	sentAt    time.Time
	at        time.Time
	status    int
	signature string
	leaving   bool
	wait      string
	// kept says that the channel had carried a request before.
	kept  bool
	whole bool
	right bool
	err   string
}

// ok reports whether the request was served.
func (a reply) ok() bool { return a.status/100 == 2 && a.whole && a.right && a.signature != "" }

func (a reply) String() string {
	text := fmt.Sprintf("status %d after %d ms", a.status, a.at.Sub(a.sentAt).Milliseconds())
	if a.status == 0 {
		text = fmt.Sprintf("no answer after %d ms: %s", a.at.Sub(a.sentAt).Milliseconds(), a.err)
	}
	if a.signature != "" {
		text += ", signature " + a.signature
	}
	if a.kept {
		text += ", kept channel"
	}
	if a.leaving {
		text += ", Server-Leaving"
	}
	if a.wait != "" {
		text += ", Retry-After " + a.wait
	}
	if a.status/100 == 2 && !a.ok() {
		text += ", not the whole right body"
	}
	return text
}

// slowBody gives bytes at a rate, as an uplink does.
type slowBody struct {
	r     *bytes.Reader
	rate  int
	began time.Time
	given int
}

func (b *slowBody) Read(p []byte) (int, error) {
	const chunk = 32 << 10
	if b.began.IsZero() {
		b.began = time.Now()
	}
	due := b.began.Add(time.Duration(float64(b.given) / float64(b.rate) * float64(time.Second)))
	time.Sleep(time.Until(due))
	n, err := b.r.Read(p[:min(len(p), chunk)])
	b.given += n
	return n, err
}

// send sends a call to a VM once, on a new channel or a kept one of client, and records both.
func (f *fleet) send(ctx context.Context, client *http.Client, v *vm, c call) reply {
	a := reply{call: c, vm: v.name, sentAt: time.Now()}
	f.rec.line("client sends %s (%s, %s%s) to %s", c.id, c.kind, c.path, modelNote(c.model), v.name)
	ctx, cancel := context.WithTimeout(ctx, c.budget)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }})
	method := http.MethodPost
	if c.kind == "safe" {
		method = http.MethodGet
	}
	var body io.Reader
	if len(c.body) > 0 {
		body = bytes.NewReader(c.body)
		if c.bytesPerSecond > 0 {
			body = &slowBody{r: bytes.NewReader(c.body), rate: c.bytesPerSecond}
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.callers+c.path, body)
	if err != nil {
		panic(err) // the program's own paths are always valid
	}
	r.Host, r.ContentLength, r.GetBody = host, int64(len(c.body)), nil
	r.Header.Set(wire.RequestID, c.id)
	r.Header.Set(wire.Deadline, strconv.FormatInt(c.budget.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+key)
	if c.kind == "streaming" {
		r.Header.Set(wire.Model, c.model)
		r.Header.Set(wire.TokenCounts, "300,24")
		r.Header.Set(wire.PromptPrefix, cmp.Or(c.prefix, "5c1e07a2:200,"+c.id+":100"))
	}
	resp, err := client.Do(r)
	if err != nil {
		a.at, a.err = time.Now(), err.Error()
		f.rec.answer(a)
		return a
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	want := plainAnswer(c.id)
	if c.kind == "streaming" {
		want = streamAnswer(c.id)
	}
	a.at, a.status, a.whole, a.right = time.Now(), resp.StatusCode, err == nil, string(data) == want
	a.signature, a.wait = resp.Header.Get(wire.Signature), resp.Header.Get("Retry-After")
	a.leaving = resp.Header.Get("Server-Leaving") != ""
	f.rec.answer(a)
	return a
}

func modelNote(model string) string {
	if model == "" {
		return ""
	}
	return ", model " + model
}

// newClient returns a client with channels of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
}
