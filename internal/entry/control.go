package entry

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"cornelmux/internal/configuration"
	"cornelmux/internal/rollout"
	"cornelmux/internal/wire"
	"cornelmux/internal/wire/wireconnect"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// control serves operators over Connect.
type control struct {
	wireconnect.UnimplementedControlServiceHandler
	vm *VM
}

// Status is the state of a VM, as the operator's command prints it. Revision is that of the configuration in force, InFlight
// the number of requests in flight.
type Status struct {
	VM        string           `json:"vm"`
	Region    string           `json:"region"`
	Zone      string           `json:"zone"`
	Revision  uint64           `json:"revision"`
	Leaving   bool             `json:"leaving"`
	InFlight  int              `json:"in_flight"`
	Endpoints []EndpointStatus `json:"endpoints"`
	// ConfirmedAgeMS is the time since the revision was last confirmed as the newest, in milliseconds. Revisions are confirmed
	// again and again only while a rollout is running.
	ConfirmedAgeMS int64            `json:"proven_age_ms,omitempty"`
	Members        []MemberStatus   `json:"members"`
	Zones          []ZoneStatus     `json:"zones"`
	RollOuts       []rollout.Status `json:"roll_outs,omitempty"`
}

// EndpointStatus is what a VM knows of an endpoint. Queued and Running count requests, Versions are given as model/version.
type EndpointStatus struct {
	ID       string   `json:"id"`
	Zone     string   `json:"zone"`
	Versions []string `json:"versions,omitempty"`
	Services []string `json:"services,omitempty"`
	Leaving  bool     `json:"leaving"`
	Suspect  bool     `json:"suspect"`
	Queued   int      `json:"queued"`
	Running  int      `json:"running"`
}

// controlHandler serves operators, other VMs and scrapers of metrics on the control port.
func (v *VM) controlHandler() http.Handler {
	mux := http.NewServeMux()
	path, handler := wireconnect.NewControlServiceHandler(&control{vm: v})
	mux.Handle(path, requireKey(v.cfg.Keys.Operator, handler))
	mux.Handle(v.peerHandler())
	mux.Handle("GET /metrics", v.metrics) // no key needed: metrics hold no secret, and scrapers have no key
	return mux
}

// requireKey returns a handler that rejects requests without the bearer key, for operators' and other VMs' calls.
func requireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(bearer(r)), []byte(key)) != 1 {
			writeError(w, result.Errorf(result.BadOperatorKey, "missing or wrong bearer key"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Submit implements wireconnect.ControlServiceHandler. It returns the configuration revision that the change got.
func (c *control) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	change, err := catalog.ParseChange(r.Change)
	if err != nil {
		return nil, connectError(result.Errorf(result.BadConfiguration, "%v", err))
	}
	revision, err := c.vm.configurations.Submit(ctx, configuration.Submission{
		ChangeID: r.ChangeId, Author: r.Author, BaseRevision: r.BaseRevision, Change: change,
	})
	if err != nil {
		return nil, connectError(err)
	}
	c.vm.log.Info("change accepted", "change_id", r.ChangeId, "author", r.Author, "revision", revision, "objects", change.Objects())
	return &wire.SubmitResponse{Revision: revision}, nil
}

// Configuration implements wireconnect.ControlServiceHandler.
func (c *control) Configuration(ctx context.Context, _ *wire.ConfigurationRequest) (*wire.ConfigurationResponse, error) {
	s, err := c.vm.configurations.Current(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	var b bytes.Buffer
	if err := s.Catalog.Print(&b); err != nil {
		return nil, connectError(err)
	}
	return &wire.ConfigurationResponse{Revision: s.Revision, Configuration: b.Bytes()}, nil
}

// Status implements wireconnect.ControlServiceHandler.
func (c *control) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	s, err := c.vm.configurations.Current(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	d, err := c.vm.drain.State(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	list, err := c.vm.endpoints.Snapshot(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	status := Status{
		VM: c.vm.cfg.VM.Name, Region: c.vm.cfg.VM.Region, Zone: c.vm.cfg.VM.Zone,
		Revision: s.Revision, Leaving: d.Leaving, InFlight: d.InFlight,
	}
	for _, e := range list {
		status.Endpoints = append(status.Endpoints, EndpointStatus{
			ID: e.ID, Zone: e.Zone, Versions: e.Versions, Services: e.Services,
			Leaving: e.Leaving, Suspect: e.Suspect, Queued: e.Queued, Running: e.Running,
		})
	}
	if err := c.addFleet(ctx, &status, list, s.ConfirmedAt); err != nil {
		return nil, connectError(err)
	}
	data, err := json.Marshal(status)
	if err != nil {
		return nil, connectError(err)
	}
	return &wire.StatusResponse{Status: data}, nil
}

// connectError converts an error to Connect's codes. The message keeps the numbered code, which the operators' commands
// print. The handlers for operators and for other VMs return it.
func connectError(err error) error {
	e := result.From(err)
	code := connect.CodeInternal
	switch e.Code {
	case result.Conflict:
		code = connect.CodeAborted
	case result.BadConfiguration:
		code = connect.CodeInvalidArgument
	case result.PlatformDown, result.ChangeUnknown:
		code = connect.CodeUnavailable
	}
	return connect.NewError(code, errors.New(e.Error()))
}
