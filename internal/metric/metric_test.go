package metric

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/configuration"
	"cornelmux/internal/feed"
	"cornelmux/internal/filter"
	"cornelmux/internal/journal"
	"cornelmux/internal/peer"
	"cornelmux/internal/pool"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// fakeState implements Configurations and Peers with constant values.
type fakeState struct{}

func (fakeState) Current(context.Context) (configuration.Snapshot, error) {
	return configuration.NewSnapshot(7, catalog.Configuration{}, time.Now()), nil
}

func (fakeState) Members(context.Context) ([]peer.Member, error) {
	return []peer.Member{{Health: peer.Alive}, {Health: peer.Alive}, {Health: peer.Suspect}}, nil
}

func (fakeState) Counts(context.Context) (peer.Counts, error) {
	return peer.Counts{Sent: 5, SentBytes: 600, BadMAC: 2}, nil
}

type fakeJournal struct{}

func (fakeJournal) Counts(context.Context) (journal.Counts, error) {
	return journal.Counts{Outstanding: 3, Kept: 2, KeptBytes: 100}, nil
}

// scrape returns the metrics in the Prometheus text format.
func scrape(c *qt.C, m *Metrics) string {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	return w.Body.String()
}

// TestMetrics checks names, labels and values of the metrics as Prometheus reads them.
func TestMetrics(t *testing.T) {
	c := qt.New(t)
	m := New(logr.Discard())
	m.Observe(fakeState{}, fakeState{}, logr.Discard())
	m.ObserveJournal(fakeJournal{}, logr.Discard())
	ctx := context.Background()
	for range 3 {
		m.Started(ctx)
	}
	m.Ended(ctx, filter.Observation{
		Kind: filter.KindChat, Code: result.OK, Run: result.Ran, Model: "composer", Version: "v1", Level: 1, Sends: 3,
		Runs:     []journal.Run{{Model: "cheap", Version: "v1", Tokens: 10}, {Model: "composer", Version: "v1", Tokens: 20}},
		Duration: 200 * time.Millisecond, TimeToFirstChunk: 50 * time.Millisecond,
		ForecastErrors: []time.Duration{20 * time.Millisecond, -80 * time.Millisecond},
	})
	m.Ended(ctx, filter.Observation{Code: result.BadKey, Run: result.NotRun, Duration: time.Millisecond})
	m.MessageRecorder("pool", "choose")(20 * time.Millisecond)
	m.RunsWaiting(ctx, "chat", 1, 2)
	m.RunsWaiting(ctx, "chat", 1, -1)
	m.RunWaited(ctx, "chat", 1, 20*time.Millisecond)
	m.RunRefused(ctx, "chat", 1, "deadline")
	m.PlatformCall(ctx, http.MethodPut, "journal", http.StatusOK, false, time.Millisecond)
	text := scrape(c, m)
	rows := []string{
		`cornelmux_requests_total{code="0",kind="chat",run="ran"} 1`,
		`cornelmux_requests_total{code="2001",kind="unread",run="not_run"} 1`,
		`cornelmux_requests_in_flight 1`,
		`cornelmux_request_duration_seconds_bucket{kind="chat",le="0.25"} 1`,
		`cornelmux_request_first_piece_seconds_bucket{kind="chat",le="0.063"} 1`,
		`cornelmux_forecast_error_seconds_bucket{kind="chat",late="true",le="0.025"} 1`,
		`cornelmux_forecast_error_seconds_bucket{kind="chat",late="false",le="0.063"} 0`,
		`cornelmux_forecast_error_seconds_bucket{kind="chat",late="false",le="0.1"} 1`,
		`cornelmux_sends_total{kind="chat"} 3`,
		`cornelmux_answers_total{level="1",model="composer",service="",version="v1"} 1`,
		`cornelmux_tokens_total{model="cheap",service="",version="v1"} 10`,
		`cornelmux_platform_calls_total{area="journal",method="PUT",status="200"} 1`,
		`cornelmux_message_duration_seconds_bucket{kind="choose",owner="pool",le="0.025"} 1`,
		`cornelmux_admission_waiting{priority="1",service="chat"} 1`,
		`cornelmux_admission_wait_seconds_bucket{priority="1",service="chat",le="0.025"} 1`,
		`cornelmux_admission_refused_total{priority="1",reason="deadline",service="chat"} 1`,
		`cornelmux_configuration_revision 7`,
		`cornelmux_members{health="alive"} 2`,
		`cornelmux_datagrams_total{outcome="bad_mac"} 2`,
		`cornelmux_journal_outstanding 3`,
		`cornelmux_journal_kept 2`,
		`cornelmux_journal_kept_size_bytes 100`,
		`cornelmux_datagrams_size_bytes_total{outcome="sent"} 600`,
	}
	for _, row := range rows {
		c.Check(text, qt.Contains, row)
	}
}

// TestArea checks that paths are shortened to a label.
func TestArea(t *testing.T) {
	rows := []struct{ path, want string }{
		{"/v1/kv/cornelmux/journal/3/17", "journal"},
		{"/v1/kv/cornelmux/configuration/head", "configuration"},
		{"/v1/kv/other", "other"},
		{"/v1/catalog/service/endpoint", "catalog"},
		{"/v1/agent/service/register", "agent"},
	}
	c := qt.New(t)
	for _, row := range rows {
		c.Check(area(row.path), qt.Equals, row.want)
	}
}

// fakeEvacuations is one evacuation in force.
type fakeEvacuations struct{}

func (fakeEvacuations) Evacuations(context.Context) ([]pool.Evacuation, error) {
	return []pool.Evacuation{{Zone: "sur-a", Since: time.Now().Add(-time.Hour)}}, nil
}

// TestEvacuationsAreShown checks that operators see which zones are evacuated.
func TestEvacuationsAreShown(t *testing.T) {
	c := qt.New(t)
	m := New(logr.Discard())
	m.ObserveEvacuations(fakeEvacuations{}, logr.Discard())
	c.Check(scrape(c, m), qt.Matches, `(?s).*cornelmux_evacuation_age_seconds\{zone="sur-a"\} 36.*`)
}

// fakeRestores is a store that was restored twice.
type fakeRestores struct{}

func (fakeRestores) RestoreStatus(context.Context) (feed.RestoreStatus, error) {
	return feed.RestoreStatus{Era: 5, Restores: 2, Kept: 1}, nil
}

// TestRestoresAreShown checks that operators see that the store was restored, and whether something is kept in force since.
func TestRestoresAreShown(t *testing.T) {
	c := qt.New(t)
	m := New(logr.Discard())
	m.ObserveRestores(fakeRestores{}, logr.Discard())
	shown := scrape(c, m)
	for _, row := range []string{`cornelmux_store_era 5`, `cornelmux_store_kept_items 1`, `cornelmux_store_restores_total 2`} {
		c.Check(shown, qt.Matches, `(?s).*`+row+`\n.*`)
	}
}
