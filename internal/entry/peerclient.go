package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cornelmux/internal/configuration"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/internal/session"
	"cornelmux/internal/wire"
	"cornelmux/internal/wire/wireconnect"
)

// peerClient calls other entry VMs. It implements configuration.Peers, session.Peers and journal.Peers.
type peerClient struct {
	http *http.Client
	// timeout bounds the calls for configuration and sessions.
	timeout time.Duration
}

func newPeerClient(key string, timeout time.Duration) *peerClient {
	return &peerClient{http: &http.Client{Transport: fleetTransport{key, &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout}}}, timeout: timeout}
}

// fleetTransport adds the key that all VMs share to each request.
type fleetTransport struct {
	key  string
	base *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t fleetTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return t.base.RoundTrip(r)
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t fleetTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

func (p *peerClient) client(address string) wireconnect.PeerServiceClient {
	return wireconnect.NewPeerServiceClient(p.http, "http://"+address)
}

// clientWithTimeout returns a client for the VM at address and a context for one call.
func (p *peerClient) clientWithTimeout(ctx context.Context, address string) (wireconnect.PeerServiceClient, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	return p.client(address), ctx, cancel
}

// Head implements configuration.Peers.
func (p *peerClient) Head(ctx context.Context, address string, newerThan uint64) (configuration.PeerHead, error) {
	client, ctx, cancel := p.clientWithTimeout(ctx, address)
	defer cancel()
	r, err := client.Head(ctx, &wire.HeadRequest{NewerThan: newerThan})
	if err != nil {
		return configuration.PeerHead{}, err
	}
	h := configuration.PeerHead{
		Revision: r.Revision, Confirmed: r.Proven, ConfirmedAge: time.Duration(r.ProvenAgeMs) * time.Millisecond,
	}
	if len(r.Head) > 0 {
		if err := json.Unmarshal(r.Head, &h.Head); err != nil {
			return h, fmt.Errorf("configuration head of %s: %w", address, err)
		}
	}
	return h, nil
}

// Part implements configuration.Peers.
func (p *peerClient) Part(ctx context.Context, address, digest string) ([]byte, error) {
	client, ctx, cancel := p.clientWithTimeout(ctx, address)
	defer cancel()
	r, err := client.Part(ctx, &wire.PartRequest{Digest: digest})
	if err != nil {
		return nil, err
	}
	return r.Content, nil
}

// Sets implements session.Peers.
func (p *peerClient) Sets(ctx context.Context, address string) ([]session.Set, error) {
	client, ctx, cancel := p.clientWithTimeout(ctx, address)
	defer cancel()
	r, err := client.Sessions(ctx, &wire.SessionsRequest{})
	if err != nil {
		return nil, err
	}
	sets := make([]session.Set, 0, len(r.Sets))
	for _, s := range r.Sets {
		sets = append(sets, session.Set{
			VM: s.Vm, Incarnation: s.Incarnation, Model: s.Model, Version: s.Version,
			Filter: s.Filter, Age: time.Duration(s.AgeMs) * time.Millisecond,
		})
	}
	return sets, nil
}

// A VM answers a poll for an answer after at most answerPollWait; one that takes answerPollGrace more is unreachable.
const (
	answerPollWait  = time.Second
	answerPollGrace = time.Second
)

// Append implements journal.Peers.
func (p *peerClient) Append(ctx context.Context, address, region string, partition int, entries []journal.Entry) ([]journal.Outcome, error) {
	encoded, err := encodeEach(entries)
	if err != nil {
		return nil, err
	}
	r, err := p.client(address).Append(ctx, &wire.AppendRequest{Region: region, Partition: uint32(partition), Entries: encoded})
	if err != nil {
		return nil, err
	}
	return decodeEach[journal.Outcome](r.Outcomes)
}

// FetchAnswer implements journal.Peers. It polls the VM for as long as that reports the request as running, and fails if the VM doesn't
// answer a poll.
func (p *peerClient) FetchAnswer(ctx context.Context, address string, k journal.Key, f journal.Fingerprint) (journal.FindResult, error) {
	q := &wire.AnswerRequest{Region: k.Region, Account: k.Account, RequestId: k.Request, Fingerprint: f.Path, Target: f.Target}
	r, err := p.pollAnswer(ctx, address, q)
	for err == nil && r.Running {
		r, err = p.pollAnswer(ctx, address, q)
	}
	if err != nil || !r.Found {
		return journal.FindResult{NotRun: r.GetNotRun()}, err
	}
	a := &journal.Answer{Status: int(r.Status), ContentType: r.ContentType, Model: r.Model, Version: r.Version}
	for _, f := range r.Fields {
		a.Fields = append(a.Fields, endpoint.Field{Name: f.Name, Value: f.Value})
	}
	for _, chunk := range r.Pieces {
		a.Chunks = append(a.Chunks, endpoint.Chunk{Text: chunk.Text, Data: chunk.Data, Tokens: int(chunk.Tokens), Last: chunk.Last})
	}
	return journal.FindResult{Answer: a}, nil
}

// pollAnswer asks the VM once for the answer to a request.
func (p *peerClient) pollAnswer(ctx context.Context, address string, q *wire.AnswerRequest) (*wire.AnswerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, answerPollWait+answerPollGrace)
	defer cancel()
	return p.client(address).Answer(ctx, q)
}
