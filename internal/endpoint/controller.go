package endpoint

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/platform"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	mailboxSize    = 4096
	listWait       = 30 * time.Second
	listRetry      = 500 * time.Millisecond
	pollInterval   = 500 * time.Millisecond
	pollTimeout    = 2 * time.Second
	suspectFor     = 3 * time.Second
	serviceName    = "endpoint"
	metaIncarnated = "incarnation"
)

// Lister gives the platform's list of endpoints.
type Lister interface {
	Instances(ctx context.Context, service string, after uint64, wait time.Duration) ([]platform.Instance, uint64, error)
}

// Reporter asks an endpoint for its load.
type Reporter interface {
	Report(ctx context.Context, address string, fresh bool) (Report, error)
}

// Report is what an endpoint says of itself.
type Report struct {
	Incarnation uint64   `json:"incarnation"`
	Queued      int      `json:"queued"`
	Running     int      `json:"running"`
	Leaving     bool     `json:"leaving"`
	Versions    []string `json:"versions"`
	Services    []string `json:"services"`
}

// Controller owns what the VM knows of the endpoints.
type Controller struct {
	mailbox  chan message
	lister   Lister
	reporter Reporter
	at       Location
	log      logr.Logger
	known    map[string]*entry
}

type entry struct {
	Endpoint
	suspectUntil time.Time
	polling      bool
}

// New makes a Controller; Run starts it.
func New(lister Lister, reporter Reporter, at Location, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), lister: lister, reporter: reporter, at: at, log: log,
		known: map[string]*entry{},
	}
}

type message interface{ handle(*Controller) }

type (
	listMessage   struct{ list []platform.Instance }
	reportMessage struct {
		id     string
		report Report
		err    error
	}
	chooseMessage struct {
		query Query
		reply chan<- chooseReply
	}
	chooseReply struct {
		endpoint Endpoint
		ok       bool
	}
	doneMessage     struct{ outcome Outcome }
	snapshotMessage struct{ reply chan<- []Endpoint }
)

// Run owns the state, follows the platform's list and polls the endpoints until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 1)
	task.Start(ctx, "endpoint list", ends, c.follow)
	polls := make(chan task.End, mailboxSize)
	running := 0
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case <-ticker.C:
			running += c.poll(ctx, polls)
		case <-polls:
			running--
		case <-ctx.Done():
			for range running {
				<-polls
			}
			return task.Stop(cancel, ends, 1)
		}
	}
}

// Choose implements filter.Endpoints.
func (c *Controller) Choose(ctx context.Context, q Query) (Endpoint, error) {
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- chooseReply) message { return chooseMessage{q, reply} })
	if err != nil {
		return Endpoint{}, result.Errorf(result.QueueFull, "endpoints: %v", err)
	}
	if !r.ok {
		return Endpoint{}, result.Errorf(result.NoEndpoint, "%s%s/%s", q.Service, q.Model, q.Version).After(time.Second)
	}
	return r.endpoint, nil
}

// Done implements filter.Endpoints.
func (c *Controller) Done(_ context.Context, o Outcome) error {
	return task.Tell(c.mailbox, message(doneMessage{o}))
}

// Snapshot returns every known endpoint.
func (c *Controller) Snapshot(ctx context.Context) ([]Endpoint, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- []Endpoint) message { return snapshotMessage{reply} })
}

func (m listMessage) handle(c *Controller) {
	listed := make(map[string]bool, len(m.list))
	for _, i := range m.list {
		listed[i.ID] = true
		c.learn(i)
	}
	for id, e := range c.known {
		if !listed[id] && e.InFlight == 0 {
			delete(c.known, id)
		} else if !listed[id] {
			e.Leaving = true
		}
	}
}

func (c *Controller) learn(i platform.Instance) {
	incarnation, _ := strconv.ParseUint(i.Meta[metaIncarnated], 10, 64)
	e, ok := c.known[i.ID]
	if !ok || e.Incarnation < incarnation {
		e = &entry{Endpoint: Endpoint{ID: i.ID, Incarnation: incarnation}}
		c.known[i.ID] = e
	}
	e.Address = net.JoinHostPort(i.Address, strconv.Itoa(i.Port))
	e.Region, e.Zone = i.Meta["region"], i.Meta["zone"]
	e.Leaving = e.Leaving || i.Meta["leaving"] == "true"
	if e.Versions == nil && i.Meta["versions"] != "" {
		e.Versions = strings.Split(i.Meta["versions"], ",")
	}
	if e.Services == nil && i.Meta["services"] != "" {
		e.Services = strings.Split(i.Meta["services"], ",")
	}
}

func (m reportMessage) handle(c *Controller) {
	e, ok := c.known[m.id]
	if !ok {
		return
	}
	e.polling = false
	if m.err != nil || m.report.Incarnation < e.Incarnation {
		e.suspectUntil = time.Now().Add(suspectFor)
		return
	}
	if m.report.Incarnation > e.Incarnation {
		e.Incarnation, e.Leaving = m.report.Incarnation, false
	}
	e.Queued, e.Running = m.report.Queued, m.report.Running
	e.Versions, e.Services = m.report.Versions, m.report.Services
	e.Leaving = e.Leaving || m.report.Leaving
	e.suspectUntil = time.Time{}
}

func (m chooseMessage) handle(c *Controller) {
	chosen, ok := Place(c.list(time.Now()), c.at, m.query, rand.Uint64(), rand.Uint64())
	if ok {
		c.known[chosen.ID].InFlight++
	}
	m.reply <- chooseReply{chosen, ok}
}

func (m doneMessage) handle(c *Controller) {
	e, ok := c.known[m.outcome.Endpoint]
	if !ok {
		return
	}
	e.InFlight = max(0, e.InFlight-1)
	if m.outcome.Failed {
		e.suspectUntil = time.Now().Add(suspectFor)
	}
}

func (m snapshotMessage) handle(c *Controller) { m.reply <- c.list(time.Now()) }

func (c *Controller) list(now time.Time) []Endpoint {
	list := make([]Endpoint, 0, len(c.known))
	for _, e := range c.known {
		v := e.Endpoint
		v.Suspect = now.Before(e.suspectUntil)
		list = append(list, v)
	}
	return list
}

func (c *Controller) poll(ctx context.Context, ends chan<- task.End) int {
	started := 0
	for id, e := range c.known {
		if e.polling {
			continue
		}
		e.polling = true
		started++
		address := e.Address
		task.Start(ctx, "poll "+id, ends, func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			r, err := c.reporter.Report(ctx, address, false)
			return task.Tell(c.mailbox, message(reportMessage{id, r, err}))
		})
	}
	return started
}

func (c *Controller) follow(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		list, index, err := c.lister.Instances(ctx, serviceName, after, listWait)
		if err != nil {
			c.log.V(1).Info("endpoint list failed", "error", err.Error())
			task.Sleep(ctx, listRetry)
			continue
		}
		after = index
		if err := task.Tell(c.mailbox, message(listMessage{list})); err != nil {
			after = 0
		}
	}
	return nil
}
