package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"connectrpc.com/connect"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/internal/settings"
	"cornelmux/internal/wire"
)

func journalOptions(cfg settings.Settings, incarnation uint64) journal.Options {
	return journal.Options{
		VM:              cfg.VM.Name,
		Incarnation:     incarnation,
		Region:          cfg.VM.Region,
		Address:         cfg.Listen.Control,
		ClaimFor:        cfg.Limits.ClaimFor,
		ResendWindow:    cfg.Limits.ResendWindow,
		BillHold:        cfg.Journal.BillHold,
		MaxBills:        cfg.Journal.MaxBills,
		KeptBytes:       cfg.Journal.KeptBytes,
		WritesPerSecond: cfg.Journal.WritesPerSecond,
		ForwardTimeout:  cfg.Journal.ForwardTimeout,
	}
}

// A VM that runs the request says so after answerWait; one that says nothing for answerGrace more counts as out of reach.
const (
	answerWait  = time.Second
	answerGrace = time.Second
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

// Answer implements journal.Peers. It waits while the VM says that the request runs, but not on a VM that is silent.
func (p *peerClient) Answer(ctx context.Context, address string, k journal.Key, fingerprint uint64) (journal.Found, error) {
	q := &wire.AnswerRequest{Region: k.Region, Account: k.Account, RequestId: k.Request, Fingerprint: fingerprint}
	r, err := p.pollAnswer(ctx, address, q)
	for err == nil && r.Running {
		r, err = p.pollAnswer(ctx, address, q)
	}
	if err != nil || !r.Found {
		return journal.Found{NotRun: r.GetNotRun()}, err
	}
	a := &journal.Answer{Status: int(r.Status), ContentType: r.ContentType, Model: r.Model, Version: r.Version}
	for _, f := range r.Fields {
		a.Fields = append(a.Fields, endpoint.Field{Name: f.Name, Value: f.Value})
	}
	for _, piece := range r.Pieces {
		a.Pieces = append(a.Pieces, endpoint.Piece{Text: piece.Text, Data: piece.Data, Tokens: int(piece.Tokens), Last: piece.Last})
	}
	return journal.Found{Answer: a}, nil
}

func (p *peerClient) pollAnswer(ctx context.Context, address string, q *wire.AnswerRequest) (*wire.AnswerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, answerWait+answerGrace)
	defer cancel()
	return p.client(address).Answer(ctx, q)
}

// peerJournal answers other entry VMs about the journal.
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
	wait, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	found, err := p.journal.Find(wait, k, r.Fingerprint)
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
	for _, p := range a.Pieces {
		resp.Pieces = append(resp.Pieces, &wire.AnswerPiece{Text: p.Text, Data: p.Data, Tokens: int32(p.Tokens), Last: p.Last})
	}
	return resp, nil
}

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

func decodeEach[T any](list [][]byte) ([]T, error) {
	decoded := make([]T, len(list))
	for i, data := range list {
		if err := json.Unmarshal(data, &decoded[i]); err != nil {
			return nil, err
		}
	}
	return decoded, nil
}
