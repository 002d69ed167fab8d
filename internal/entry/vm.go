package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"cornelmux/internal/cascade"
	"cornelmux/internal/configuration"
	"cornelmux/internal/consul"
	"cornelmux/internal/datagram"
	"cornelmux/internal/drain"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/filter"
	"cornelmux/internal/journal"
	"cornelmux/internal/limit"
	"cornelmux/internal/memory"
	"cornelmux/internal/metric"
	"cornelmux/internal/order"
	"cornelmux/internal/peer"
	"cornelmux/internal/quarantine"
	"cornelmux/internal/rollout"
	"cornelmux/internal/session"
	"cornelmux/internal/settings"
	"cornelmux/internal/task"
)

const (
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 10 * time.Second
	// maxCallerHeadBytes bounds the head of a caller's request; net/http allows 4 KiB more.
	maxCallerHeadBytes = 64 << 10
	// idleTimeout is how long an idle connection is kept, of callers, operators and other VMs.
	idleTimeout = 60 * time.Second
	// cleanupTimeout bounds work after a request or a server has ended.
	cleanupTimeout = 5 * time.Second
	// healthPath is the path of the load balancer's check on the callers' port.
	healthPath = "/healthz"
	// maxBufferedBytes bounds an answer that a cascade buffers until it is rated, in bytes.
	maxBufferedBytes = 4 << 20
)

// VM is one entry VM: its controllers, its filter chain and its HTTP front ends.
type VM struct {
	cfg            settings.Settings
	log            logr.Logger
	drain          *drain.Controller
	configurations *configuration.Controller
	endpoints      *endpoint.Controller
	sessions       *session.Controller
	rollouts       *rollout.Controller
	journal        *journal.Controller
	limits         *limit.Controller
	quarantine     *quarantine.Controller
	orders         *order.Controller
	peers          *peer.Controller
	metrics        *metric.Metrics
	cascades       *cascade.Controller
	store          journal.DeletableStore
	memory         *memory.Controller
	machine        Machine
	chain          filter.Next
	// close closes the idle connections of the clients; Run calls it at its end.
	close func()
}

// New returns a VM with its controllers and its filter chain connected; Run starts it. `cornelmux serve` calls both.
func New(cfg settings.Settings, machine Machine, log logr.Logger) *VM {
	metrics := metric.New(log.WithName("metric"))
	transport := metric.Transport{Base: &http.Transport{MaxIdleConnsPerHost: 16}, Metrics: metrics}
	store := consul.New(cfg.Reach.Platform, &http.Client{Transport: transport}, cfg.Reach.PlatformTimeout)
	client := endpoint.NewClient(cfg.Reach.DialTimeout, cfg.Reach.Silence)
	vmClient := newPeerClient(cfg.Keys.Fleet, cfg.Reach.PlatformTimeout)
	incarnation := uint64(time.Now().UnixNano())
	at := endpoint.Location{Region: cfg.VM.Region, Zone: cfg.VM.Zone}
	v := &VM{
		cfg:     cfg,
		log:     log,
		metrics: metrics,
		drain:   drain.New(log.WithName("drain")),
		configurations: configuration.New(store, vmClient, configuration.Options{
			VM: cfg.VM.Name, Zone: cfg.VM.Zone, FreshnessLimit: cfg.Limits.Freshness,
		}, log.WithName("configuration")),
		peers:   peer.New(peerOptions(cfg, incarnation), datagram.New(cfg.Listen.Peers, log.WithName("peer")), store, nil, log.WithName("peer")),
		store:   store,
		memory:  memory.New(memoryLimits(machine), log.WithName("memory")),
		machine: machine,
		close: func() {
			client.Close()
			vmClient.http.CloseIdleConnections()
			store.HTTP.CloseIdleConnections()
		},
	}
	v.limits = limit.New(v.configurations, cfg.VM.Name, cfg.Limits.FleetVMs, log.WithName("limit"))
	v.sessions = session.New(v.configurations.Subscribe(), vmClient, session.Options{
		VM: cfg.VM.Name, Incarnation: incarnation, Region: cfg.VM.Region, FreshnessLimit: cfg.Limits.Freshness,
		IdleTimeout: cfg.Limits.SessionIdle, ActivationDelay: cfg.Limits.StepSettle, MaxSessions: cfg.Limits.MaxSessions,
	}, log.WithName("session"))
	v.rollouts = rollout.New(v.configurations.Subscribe(), v.configurations, v.sessions, cfg.VM.Name, log.WithName("rollout"))
	v.quarantine = quarantine.New(v.metrics, log.WithName("quarantine"))
	v.endpoints = endpoint.New(store, client, v.peers, v.quarantine, endpoint.Options{VM: cfg.VM.Name, Location: at}, log.WithName("endpoint"))
	v.orders = newOrders(store, v.endpoints, cfg, log)
	v.peers.Attach(v.configurations, v.sessions, v.rollouts, v.endpoints, v.limits, v.quarantine)
	v.journal = journal.New(store, v.peers, vmClient, journalOptions(cfg, incarnation), log.WithName("journal"))
	rater := &cascade.RatingClient{BaseURL: cfg.Reach.Rating, HTTP: &http.Client{}, Timeout: cfg.Reach.RatingTimeout}
	v.cascades = newCascades(rater, v.rollouts, cfg, log)
	metrics.Observe(v.configurations, v.peers, log.WithName("metric"))
	metrics.ObserveMemory(v.memory, log.WithName("metric"))
	metrics.ObserveJournal(v.journal, log.WithName("metric"))
	v.chain = filter.Chain(
		filter.Observe{Meter: metrics},
		filter.Drain{Requests: v.drain},
		filter.Authenticate{Configurations: v.configurations},
		filter.Authorize{},
		filter.Limit{Limits: v.limits},
		filter.Deduplicate{Journal: v.journal, CleanupTimeout: cleanupTimeout},
		filter.Quarantine{Quarantines: v.quarantine},
		filter.Bill{Journal: v.journal, Log: log.WithName("bill")},
		filter.Cascade{Planner: v.cascades, Rater: rater, MaxBufferedBytes: maxBufferedBytes},
		filter.SelectVersion{Sessions: v.sessions, Evidence: v.rollouts},
		filter.Place{Endpoints: v.endpoints, MaxAttempts: cfg.Limits.MaxAttempts},
		filter.Send{Configurations: v.configurations, Sender: client, MaxResumes: cfg.Limits.MaxResumes},
	)
	return v
}

// peerOptions returns the options of the peer controller.
func peerOptions(cfg settings.Settings, incarnation uint64) peer.Options {
	return peer.Options{
		VM: cfg.VM.Name, Incarnation: incarnation, Region: cfg.VM.Region, Zone: cfg.VM.Zone,
		ControlAddress: cfg.Listen.Control, PeerAddress: cfg.Listen.Peers, Key: []byte(cfg.Keys.Fleet),
	}
}

// journalOptions returns the options of the journal for New.
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

// newCascades returns the controller of cascades. Without a rating service in the settings, no answer is rated.
func newCascades(rater cascade.Rater, evidence cascade.Evidence, cfg settings.Settings, log logr.Logger) *cascade.Controller {
	if cfg.Reach.Rating == "" {
		rater = nil
	}
	return cascade.New(rater, evidence, xxhash.Sum64String(cfg.VM.Name), log.WithName("cascade"))
}

// Run serves until ctx ends, then shuts down gracefully: new requests are refused, and requests in flight may end. If a task ends
// before, Run stops the others and returns the first error. `cornelmux serve` and the measurements call it.
func (v *VM) Run(ctx context.Context) error {
	callersListener, err := net.Listen("tcp", v.cfg.Listen.Callers)
	if err != nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	controlListener, err := net.Listen("tcp", v.cfg.Listen.Control)
	if err != nil {
		callersListener.Close()
		return fmt.Errorf("listen.control: %w", err)
	}
	tasksCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer v.close()
	tasks := []task.Named{
		{Name: "drain", Run: v.drain.Run},
		{Name: "configuration", Run: v.configurations.Run},
		{Name: "endpoints", Run: v.endpoints.Run},
		{Name: "sessions", Run: v.sessions.Run},
		{Name: "limits", Run: v.limits.Run},
		{Name: "quarantine", Run: v.quarantine.Run},
		{Name: "orders", Run: v.orders.Run},
		{Name: "roll-outs", Run: v.rollouts.Run},
		{Name: "journal", Run: v.journal.Run},
		{Name: "peers", Run: v.peers.Run},
		{Name: "cascades", Run: v.cascades.Run},
		{Name: "memory", Run: v.memory.Run},
		{Name: "control", Run: task.Serve(newServer(v.controlHandler()), controlListener, cleanupTimeout)},
		{Name: "callers", Run: task.ServeLimited(newServer(v.callersHandler()), callersListener, connectionLimits(v.machine), cleanupTimeout, v.log.WithName("callers"))},
	}
	ends := task.StartAll(tasksCtx, tasks)
	v.log.Info("serving", "callers", v.cfg.Listen.Callers, "control", v.cfg.Listen.Control)
	select {
	case end := <-ends:
		ends <- end
	case <-ctx.Done():
		v.stop(tasksCtx)
	}
	return task.Stop(cancel, ends, len(tasks))
}

// stop tells peers that the VM is leaving, refuses new requests and waits for those in flight, at least for the leave grace and at
// most for the stop timeout. Run calls it when its context ends.
func (v *VM) stop(ctx context.Context) {
	v.log.Info("shutting down")
	if err := v.peers.Leave(ctx); err != nil {
		v.log.Info("shutdown not announced to peers", "error", err.Error())
	}
	now := time.Now()
	cutAt := now.Add(v.cfg.Limits.StopTimeout) // no request takes as long
	drained := v.drain.Leave(drain.Stop{Began: now, AdmitUntil: now, AcceptUntil: cutAt, AnswerBy: cutAt, CutAt: cutAt})
	grace := time.NewTimer(v.cfg.Limits.LeaveGrace)
	defer grace.Stop()
	timeout := time.NewTimer(v.cfg.Limits.StopTimeout)
	defer timeout.Stop()
	select {
	case <-drained:
		<-grace.C
		v.log.Info("stopped", "in_flight", 0)
	case <-timeout.C:
		n, _ := v.drain.ReportEnd(ctx)
		v.log.Info("stop timeout exceeded; closing connections", "in_flight", n)
	}
}

// callersHandler returns the handler of the callers' port, for Run: the health check and requests.
func (v *VM) callersHandler() http.Handler {
	ready := health(v.drain, v.configurations, v.sessions)
	handler := &callerHandler{
		chain: v.chain, maxBodyBytes: v.cfg.Limits.BodyBytes, timeout: v.cfg.Limits.RequestTimeout, log: v.log.WithName("callers"),
		newRoom: func(timeout time.Duration) room { return v.memory.BodyClaim("", timeout) },
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			ready(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxCallerHeadBytes}
}
