package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"cornelmux/internal/configuration"
	"cornelmux/internal/journal"
	"cornelmux/internal/session"
	"cornelmux/internal/wire"
	"cornelmux/internal/wire/wireconnect"
)

// peerService serves other entry VMs. Each embedded struct has the methods for one controller.
type peerService struct {
	unimplementedPeer
	peerConfiguration
	peerSessions
	peerJournal
}

// unimplementedPeer answers the calls that no other embedded struct serves. Its own embedding puts its methods one level deeper,
// so that the others take precedence.
type unimplementedPeer struct {
	wireconnect.UnimplementedPeerServiceHandler
}

// peerHandler returns the path and the handler of the service for other entry VMs, which need the fleet key.
func (v *VM) peerHandler() (string, http.Handler) {
	path, handler := wireconnect.NewPeerServiceHandler(&peerService{
		peerConfiguration: peerConfiguration{v.configurations},
		peerSessions:      peerSessions{v.sessions},
		peerJournal:       peerJournal{v.journal},
	})
	return path, requireKey(v.cfg.Keys.Fleet, handler)
}

// peerConfiguration serves this VM's replica of the configuration.
type peerConfiguration struct {
	configurations *configuration.Controller
}

// Head implements wireconnect.PeerServiceHandler.
func (p peerConfiguration) Head(ctx context.Context, r *wire.HeadRequest) (*wire.HeadResponse, error) {
	replica, err := p.configurations.Replica(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	resp := &wire.HeadResponse{Revision: replica.Head.Revision}
	if at := replica.Snapshot.ConfirmedAt; !at.IsZero() {
		resp.Proven = true
		resp.ProvenAgeMs = uint32(time.Since(at).Milliseconds() + 1)
	}
	if replica.Head.Revision <= r.NewerThan {
		return resp, nil
	}
	resp.Head, err = json.Marshal(replica.Head)
	return resp, err
}

// Part implements wireconnect.PeerServiceHandler.
func (p peerConfiguration) Part(ctx context.Context, r *wire.PartRequest) (*wire.PartResponse, error) {
	replica, err := p.configurations.Replica(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	return &wire.PartResponse{Content: replica.Parts[r.Digest]}, nil
}

// peerSessions serves the sets of active sessions.
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

// peerJournal serves the journal: appends to the partitions that this VM owns, and answers to requests that it ran.
type peerJournal struct {
	journal *journal.Controller
}

// Append implements wireconnect.PeerServiceHandler.
func (p peerJournal) Append(ctx context.Context, r *wire.AppendRequest) (*wire.AppendResponse, error) {
	entries, err := decodeEach[journal.Entry](r.Entries)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	outcomes, err := p.journal.Append(ctx, r.Region, int(r.Partition), entries)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	encoded, err := encodeEach(outcomes)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &wire.AppendResponse{Outcomes: encoded}, nil
}

// Answer implements wireconnect.PeerServiceHandler.
func (p peerJournal) Answer(ctx context.Context, r *wire.AnswerRequest) (*wire.AnswerResponse, error) {
	k := journal.Key{Region: r.Region, Account: r.Account, Request: r.RequestId}
	wait, cancel := context.WithTimeout(ctx, answerPollWait)
	defer cancel()
	found, err := p.journal.Find(wait, k, journal.Fingerprint{Path: r.Fingerprint, Target: r.Target})
	if errors.Is(err, context.DeadlineExceeded) {
		return &wire.AnswerResponse{Running: true}, nil
	}
	if err != nil {
		return nil, connectError(err)
	}
	if found.Answer == nil {
		return &wire.AnswerResponse{NotRun: found.NotRun}, nil
	}
	a := found.Answer
	resp := &wire.AnswerResponse{
		Found: true, Status: int32(a.Status), ContentType: a.ContentType, Model: a.Model, Version: a.Version,
	}
	for _, f := range a.Fields {
		resp.Fields = append(resp.Fields, &wire.AnswerField{Name: f.Name, Value: f.Value})
	}
	for _, c := range a.Chunks {
		resp.Pieces = append(resp.Pieces, &wire.AnswerPiece{Text: c.Text, Data: c.Data, Tokens: int32(c.Tokens), Last: c.Last})
	}
	return resp, nil
}

// encodeEach encodes each value as JSON.
func encodeEach[T any](list []T) ([][]byte, error) {
	encoded := make([][]byte, len(list))
	for i, v := range list {
		data, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		encoded[i] = data
	}
	return encoded, nil
}

// decodeEach decodes each value from JSON.
func decodeEach[T any](list [][]byte) ([]T, error) {
	decoded := make([]T, len(list))
	for i, data := range list {
		if err := json.Unmarshal(data, &decoded[i]); err != nil {
			return nil, err
		}
	}
	return decoded, nil
}
