package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

// WherePath is the path at the metrics address at which operators ask where a request would go now.
const WherePath = "/v1/where"

// Names of the query fields of WherePath. Session is the last part of the prompt, Prompt and Output
// are numbers of tokens.
const (
	WhereHost        = "host"
	WhereRequestPath = "path"
	WhereID          = "id"
	WhereWorkspace   = "workspace"
	WhereSession     = "session"
	WherePrompt      = "prompt-tokens"
	WhereOutput      = "output-tokens"
)

// Where says where an entry would send a request now, and why. Nothing is sent, and nothing is
// counted.
type Where struct {
	Entry         string `json:"entry"`
	Configuration int64  `json:"configuration"`
	Route         string `json:"route,omitempty"`
	Kind          string `json:"kind,omitempty"`
	Service       string `json:"service,omitempty"`
	Workspace     string `json:"workspace,omitempty"`
	Rank          int    `json:"rank"`
	// Refused is the error with which the request would be refused now, or "".
	Refused string `json:"refused,omitempty"`
	// Versions lists which targets the roll-out of the service allows, the most preferred first;
	// it is empty if all are allowed. Allowed is the filter that holds for Candidates.
	Versions []placement.VersionFilter `json:"versions,omitempty"`
	Allowed  placement.VersionFilter   `json:"allowed"`
	// Queue describes the queue of calls; nil for streams, which do not wait here.
	Queue *WhereQueue `json:"queue,omitempty"`
	// Candidates lists the targets of the service, those first that would be considered, by cost.
	// Applications are drawn at random, the cheaper the likelier.
	Candidates []placement.Candidate `json:"candidates,omitempty"`
}

// WhereQueue is the queue of calls of a service.
type WhereQueue struct {
	// Waiting counts the queued calls, Free how many more calls may be sent now, FreeForLate how
	// many of them may be late ones.
	Waiting     int `json:"waiting"`
	Free        int `json:"free"`
	FreeForLate int `json:"freeForLate"`
	// Waits is set if a call would wait.
	Waits bool `json:"waits"`
}

// serveWhere answers where a request would go now.
func (g *Gateway) serveWhere(w http.ResponseWriter, r *http.Request) {
	e, err := g.whereExchange(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := Where{Entry: g.settings.Name}
	if err := e.findRoute(r.URL.Query().Get(WhereWorkspace)); err != nil {
		answer.Refused = err.Error()
	} else {
		answer.Route, answer.Kind, answer.Service = e.route.Name, e.route.Kind.String(), e.service
		answer.Workspace, answer.Rank = e.workspaceName(), e.priority()
		g.control.do(func() { g.control.explain(time.Now(), e, &answer) })
	}
	answer.Configuration = e.configVersion
	w.Header().Set("Content-Type", "application/json")
	// It fails if the connection is closed.
	_ = json.NewEncoder(w).Encode(answer)
}

// whereExchange returns the request that a question is about.
func (g *Gateway) whereExchange(query url.Values) (*exchange, error) {
	e := &exchange{gateway: g, arrived: time.Now()}
	e.inbound = request.Inbound{ID: request.ID(query.Get(WhereID)), Host: query.Get(WhereHost), Path: query.Get(WhereRequestPath)}
	for name, number := range map[string]*int{WherePrompt: &e.inbound.PromptTokens, WhereOutput: &e.inbound.MaxTokens} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 {
			return nil, fault.New(fault.BadRequest, "%s is not a number of tokens", name)
		}
		*number = value
	}
	if session := query.Get(WhereSession); session != "" {
		e.inbound.Parts = []request.PromptPart{{ID: session, Tokens: e.inbound.PromptTokens}}
	}
	return e, nil
}

// findRoute finds the route of a request, whose workspace is given by its name.
func (e *exchange) findRoute(workspace string) error {
	g := e.gateway
	if g.draining() {
		return fault.New(fault.Draining, "the entry is about to end")
	}
	table := g.table.Load()
	if table == nil {
		return fault.New(fault.StaleConfiguration, "no configuration is known yet")
	}
	e.configVersion = table.Version()
	if e.route = table.Match(e.inbound.Host, e.inbound.Path); e.route == nil {
		return fault.New(fault.NotFound, "no route")
	}
	if e.workspace = table.Workspace(workspace); e.workspace == nil && workspace != "" {
		return fault.New(fault.NotFound, "no workspace has the name")
	}
	if e.workspace != nil && !g.control.currentFreshness().AcceptsKeys(bootClock()) {
		return fault.New(fault.StaleConfiguration, "the configuration could not be confirmed in time for keys")
	}
	e.service = e.route.Service(string(e.inbound.ID))
	if s := table.Service(e.service); s != nil {
		e.engine = s.Engine
	}
	return nil
}

// explain adds to an answer what the control goroutine knows.
func (c *control) explain(now time.Time, e *exchange, answer *Where) {
	if part, found := c.quarantine.Find(now, e.service, e.inbound.PartIDs()); found {
		answer.Refused = fault.New(fault.Quarantined, "engines crash on the prompt part %s", partHash(part.ID)).Error()
	}
	requirements := e.callRequirements()
	if e.route.Kind == routes.Streaming {
		requirements = e.streamRequirements(nil, 0)
		requirements.CachedPrompt = c.promptIndex.Find(now, requirements.Session)
	} else {
		answer.Queue = c.explainQueue(now, e.service)
	}
	answer.Versions = c.rollouts.Assign(now, e.service, e.pin, false)
	for _, filter := range append(answer.Versions, placement.VersionFilter{})[:max(1, len(answer.Versions))] {
		requirements.Version, answer.Allowed = filter, filter
		answer.Candidates = c.table.Explain(now, requirements)
		if len(answer.Candidates) > 0 && answer.Candidates[0].Excluded == "" {
			return
		}
	}
	if answer.Refused == "" {
		answer.Refused = fault.New(fault.NoTarget, "no target of %s can take the request now", e.service).Error()
	}
}

// explainQueue describes the queue of a service without adding to it.
func (c *control) explainQueue(now time.Time, service string) *WhereQueue {
	s := c.callQueue.service(service)
	c.viewFleet(now, service, s)
	queue := &WhereQueue{Waiting: c.callQueue.controller.Waiting(service)}
	queue.Free, queue.FreeForLate = c.freePlaces(now, service, s)
	queue.Waits = queue.Free <= queue.Waiting && c.table.UsableSlots(now, service) > 0
	return queue
}
