package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cornelmux/internal/configuration"
	"cornelmux/internal/session"
	"cornelmux/internal/wire"
	"cornelmux/internal/wire/wireconnect"
)

// peerService answers other entry VMs: each area is an embedded struct with its methods.
type peerService struct {
	notServed
	peerConfiguration
	peerSessions
	peerJournal
}

// notServed answers what no area serves.
type notServed struct {
	wireconnect.UnimplementedPeerServiceHandler
}

// peerHandler serves other entry VMs behind the fleet key.
func (v *VM) peerHandler() (string, http.Handler) {
	path, handler := wireconnect.NewPeerServiceHandler(&peerService{
		peerConfiguration: peerConfiguration{v.configurations},
		peerSessions:      peerSessions{v.sessions},
		peerJournal:       peerJournal{v.journal},
	})
	return path, requireKey(v.cfg.Keys.Fleet, handler)
}

// peerConfiguration answers other entry VMs about the configuration.
type peerConfiguration struct {
	configurations *configuration.Controller
}

// Head implements wireconnect.PeerServiceHandler.
func (p peerConfiguration) Head(ctx context.Context, r *wire.HeadRequest) (*wire.HeadResponse, error) {
	held, err := p.configurations.Held(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	resp := &wire.HeadResponse{Revision: held.Head.Revision}
	if at := held.Snapshot.ProvenAt; !at.IsZero() {
		resp.Proven = true
		resp.ProvenAgeMs = uint32(time.Since(at).Milliseconds() + 1)
	}
	if held.Head.Revision <= r.NewerThan {
		return resp, nil
	}
	resp.Head, err = json.Marshal(held.Head)
	return resp, err
}

// Part implements wireconnect.PeerServiceHandler.
func (p peerConfiguration) Part(ctx context.Context, r *wire.PartRequest) (*wire.PartResponse, error) {
	held, err := p.configurations.Held(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	return &wire.PartResponse{Content: held.Parts[r.Digest]}, nil
}

// peerSessions answers other entry VMs about active sessions.
type peerSessions struct {
	sessions *session.Controller
}

// Sessions implements wireconnect.PeerServiceHandler.
func (p peerSessions) Sessions(ctx context.Context, _ *wire.SessionsRequest) (*wire.SessionsResponse, error) {
	sets, err := p.sessions.Sets(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	resp := &wire.SessionsResponse{}
	for _, s := range sets {
		resp.Sets = append(resp.Sets, &wire.ActiveSet{
			Vm: s.VM, Incarnation: s.Incarnation, Model: s.Model, Version: s.Version,
			Filter: s.Filter, AgeMs: uint32(s.Age.Milliseconds()),
		})
	}
	return resp, nil
}

// peerClient asks other entry VMs.
type peerClient struct {
	http    *http.Client
	timeout time.Duration
}

func newPeerClient(key string, timeout time.Duration) *peerClient {
	return &peerClient{http: &http.Client{Transport: fleetTransport{key, &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout}}}, timeout: timeout}
}

// fleetTransport adds the fleet key to each call.
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

// CloseIdleConnections lets http.Client close the connections of the transport.
func (t fleetTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

func (p *peerClient) client(address string) wireconnect.PeerServiceClient {
	return wireconnect.NewPeerServiceClient(p.http, "http://"+address)
}

func (p *peerClient) dial(ctx context.Context, address string) (wireconnect.PeerServiceClient, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	return p.client(address), ctx, cancel
}

// Head implements configuration.Peers.
func (p *peerClient) Head(ctx context.Context, address string, newerThan uint64) (configuration.PeerHead, error) {
	client, ctx, cancel := p.dial(ctx, address)
	defer cancel()
	r, err := client.Head(ctx, &wire.HeadRequest{NewerThan: newerThan})
	if err != nil {
		return configuration.PeerHead{}, err
	}
	h := configuration.PeerHead{
		Revision: r.Revision, Proven: r.Proven, ProvenAge: time.Duration(r.ProvenAgeMs) * time.Millisecond,
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
	client, ctx, cancel := p.dial(ctx, address)
	defer cancel()
	r, err := client.Part(ctx, &wire.PartRequest{Digest: digest})
	if err != nil {
		return nil, err
	}
	return r.Content, nil
}

// Sets implements session.Peers.
func (p *peerClient) Sets(ctx context.Context, address string) ([]session.Set, error) {
	client, ctx, cancel := p.dial(ctx, address)
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
