package gateway

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/meter"
	"github.com/mulberrylane/mulberrylane/process/storesync"
)

// instruments are the metrics of a gateway.
type instruments struct {
	builder           *meter.Builder
	requests          metric.Int64Counter
	attempts          metric.Int64Counter
	firstEventLatency metric.Float64Histogram
	callLatency       metric.Float64Histogram
	resumeLatency     metric.Float64Histogram
	longestPause      metric.Float64Histogram
	eras, eraProblems metric.Int64Counter
	storeCalls        metric.Int64Counter
	storeBytes        metric.Int64Counter
	storeQuestions    metric.Int64Counter
	storeQuestionTime metric.Float64Histogram
	probes            metric.Int64Counter
	targetsLost       metric.Int64Counter
	targetsDraining   metric.Int64Counter
	targetBackoffs    metric.Int64Counter
	targetsAdopted    metric.Int64Counter
	retriesDenied     metric.Int64Counter
	panics            metric.Int64Counter
	partsQuarantined  metric.Int64Counter
	stopping          metric.Int64Counter
	idleCloses        metric.Int64Counter
	returns           metric.Int64Counter
	takeUps           metric.Int64Counter
	rolloutsRejected  metric.Int64Counter
	callWait          metric.Float64Histogram
	callsRefused      metric.Int64Counter
	callPlaces        metric.Int64Counter
	callPlacements    metric.Int64Counter
	yields            metric.Int64Counter
}

func newInstruments(s Settings) (*instruments, error) {
	b, err := meter.New(s.Name)
	if err != nil {
		return nil, err
	}
	return &instruments{
		builder:           b,
		requests:          b.Counter("mulberrylane.requests", "Requests ended, by kind of route and error kind"),
		attempts:          b.Counter("mulberrylane.target.attempts", "Attempts ended, by outcome"),
		firstEventLatency: b.LatencyHistogram("mulberrylane.first_event.latency", "Time from the arrival of a stream until its first event"),
		callLatency:       b.LatencyHistogram("mulberrylane.call.latency", "Time from the arrival of a call until its answer"),
		resumeLatency:     b.LatencyHistogram("mulberrylane.resume.latency", "Time from the loss of an attempt until the answer went on"),
		longestPause:      b.LatencyHistogram("mulberrylane.longest_pause", "Longest pause between the events of a whole answer"),
		eras:              b.Counter("mulberrylane.store.eras", "Times that the store was found to have come back from an older copy"),
		eraProblems:       b.Counter("mulberrylane.store.era_problems", "Responses of the store whose era is an earlier one, or none"),
		storeCalls:        b.Counter("mulberrylane.store.calls", "Calls to the store, by call and result"),
		storeBytes:        b.Counter("mulberrylane.store.received_bytes", "Bytes of the bodies of the store's responses, by call and whether the body was complete"),
		storeQuestions:    b.Counter("mulberrylane.store.questions", "Questions to other entries about changes of the store, by result"),
		storeQuestionTime: b.LatencyHistogram("mulberrylane.store.question.latency", "Time from a question to another entry about changes of the store until its answer"),
		probes:            b.Counter("mulberrylane.probes", "Probes of targets"),
		targetsLost:       b.Counter("mulberrylane.targets.lost", "Targets given up after silence or a refused connection"),
		targetsDraining:   b.Counter("mulberrylane.targets.leaving", "Targets that announced in a response that they drain, other entries' reports included"),
		targetBackoffs:    b.Counter("mulberrylane.targets.backoffs", "Responses by which targets asked for no requests for a while"),
		targetsAdopted:    b.Counter("mulberrylane.targets.adopted", "Next lives of targets found while the store was away"),
		partsQuarantined:  b.Counter("mulberrylane.prompt.parts.quarantined", "Prompt parts put in quarantine because engines crashed on them"),
		panics:            b.Counter("mulberrylane.panics", "Panics that ended one request or task"),
		stopping:          b.Counter("mulberrylane.stop.requests", "Requests while the entry stopped, by result"),
		idleCloses:        b.Counter("mulberrylane.idle_connections.closed", "Connections of callers that the entry closed as idle"),
		returns:           b.Counter("mulberrylane.streams.returned", "Streams whose callers came back for the rest, by what was found of their KV copies"),
		takeUps:           b.Counter("mulberrylane.streams.taken_up", "Streams whose callers came back for the rest, by what was known of the version that began them"),
		rolloutsRejected:  b.Counter("mulberrylane.rollouts.rejected", "Versions that were found to be bad during a roll-out, by the evidence of this or another entry"),
		callWait:          b.LatencyHistogram("mulberrylane.calls.wait", "Time that attempts of calls waited for a place at a target"),
		callsRefused:      b.Counter("mulberrylane.calls.refused", "Calls that the call queue refused, by reason"),
		callPlaces:        b.Counter("mulberrylane.calls.places", "Places at targets that were believed free, by what the target said"),
		callPlacements:    b.Counter("mulberrylane.calls.placed", "Attempts of calls placed, by whether the target is in the entry's failure domain"),
		yields:            b.Counter("mulberrylane.callers.limited", "Connections, requests and responses that were refused or ended because memory or connections for callers were used up"),
		retriesDenied:     b.Counter("mulberrylane.budget.denied", "Repeats that the retry budget did not allow"),
	}, b.Err()
}

// registerGauges registers the gauges of the entry's state.
func (m *instruments) registerGauges(g *Gateway) error {
	for _, gauge := range append(configurationGauges(g), controlGauges(g)...) {
		m.builder.Gauge(gauge)
	}
	return m.builder.Err()
}

func configurationGauges(g *Gateway) []meter.Gauge {
	return []meter.Gauge{
		{
			Name: "mulberrylane.configuration.version", Description: "Version of the configuration in force, 0 before the first",
			Read: func() int64 {
				if table := g.table.Load(); table != nil {
					return table.Version()
				}
				return 0
			},
		},
		{
			Name: "mulberrylane.configuration.age", Description: "Time since the configuration was known to be the newest, -1 before the first",
			Unit: "ms", Read: func() int64 {
				freshness := g.control.currentFreshness()
				if !freshness.HasConfiguration() {
					return -1
				}
				return freshness.Age(bootClock()).Milliseconds()
			},
		},
	}
}

// controlGauges are the gauges of what the control goroutine owns.
func controlGauges(g *Gateway) []meter.Gauge {
	fromControl := func(read func(c *control, now time.Time) int64) func() int64 {
		return func() int64 {
			value := int64(0)
			g.control.do(func() { value = read(g.control, time.Now()) })
			return value
		}
	}
	return []meter.Gauge{
		{
			Name: "mulberrylane.targets.known", Description: "Targets that are believed to exist",
			Read: fromControl(func(c *control, _ time.Time) int64 { return int64(c.table.Len()) }),
		},
		{
			Name: "mulberrylane.targets.down", Description: "Targets that are left alone after a loss",
			Read: fromControl(func(c *control, now time.Time) int64 { return int64(c.table.DownCount(now)) }),
		},
		{
			Name: "mulberrylane.targets.slow", Description: "Targets whose work takes 1.5 times as long as usual",
			Read: fromControl(func(c *control, now time.Time) int64 { return int64(c.table.SlowCount(now)) }),
		},
		{
			Name: "mulberrylane.engines.imbalance", Description: "Recent work of the busiest engine, in percent of the mean of its service; the worst service",
			Read: fromControl(func(c *control, _ time.Time) int64 { return int64(100 * c.table.Imbalance()) }),
		},
		{
			Name: "mulberrylane.entries.heard", Description: "Other entries that were heard lately",
			Read: fromControl(func(c *control, _ time.Time) int64 { return int64(len(c.peerLastSeen)) }),
		},
		{
			Name: "mulberrylane.prompt.parts.in_quarantine", Description: "Prompt parts in quarantine now",
			Read: fromControl(func(c *control, now time.Time) int64 { return int64(len(c.quarantine.Quarantined(now))) }),
		},
		{
			Name: "mulberrylane.rollouts.running", Description: "Roll-outs of versions that have not ended",
			Read: fromControl((*control).runningRollouts),
		},
		{
			Name: "mulberrylane.calls.waiting", Description: "Calls that wait for a place at a target",
			Read: fromControl(func(c *control, _ time.Time) int64 { return int64(c.callQueue.waiting()) }),
		},
		{
			Name: "mulberrylane.callers.memory", Description: "Memory that is counted for callers", Unit: "By",
			Read: func() int64 { return g.bodyMemory.used() },
		},
		{
			Name: "mulberrylane.callers.connections", Description: "Open connections of callers",
			Read: func() int64 { return int64(g.bodyMemory.memory.Connections()) },
		},
		{
			Name: "mulberrylane.budget.left", Description: "Repeats left in the present window, of the service that has fewest",
			Read: fromControl((*control).minRetriesLeft),
		},
	}
}

func (m *instruments) handler() http.Handler { return m.builder.Handler() }

// countEraProblem counts a response of the store whose era cannot be used.
func (m *instruments) countEraProblem(kind storesync.EraChange) {
	m.eraProblems.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind.String())))
}

func (m *instruments) countStoreCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.storeCalls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("call", call), attribute.String("result", result)))
}

// countOrigin counts a stream that its caller took up again.
func (m *instruments) countOrigin(verdict string) {
	m.takeUps.Add(context.Background(), 1, metric.WithAttributes(attribute.String("origin", verdict)))
}

// recordStoreBytes counts the bytes of a response of the store.
func (m *instruments) recordStoreBytes(call string, bytes int, complete bool) {
	m.storeBytes.Add(context.Background(), int64(bytes), metric.WithAttributes(
		attribute.String("call", call), attribute.Bool("complete", complete)))
}

// recordQuestion records the result of a question to another entry about changes of the store.
func (m *instruments) recordQuestion(result string, took time.Duration) {
	m.storeQuestions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
	m.storeQuestionTime.Record(context.Background(), took.Seconds())
}

func (m *instruments) countRequest(kind, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("route", kind), attribute.String("outcome", outcome)))
}

// countStopping counts a request that was accepted or refused while the process stopped, cut
// off at the end of the grace period, or whose connection was closed without a response.
func (m *instruments) countStopping(result string) {
	m.stopping.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// countIdleClose counts a connection of a caller that was closed as idle.
func (m *instruments) countIdleClose(lateRequest, stopping bool) {
	m.idleCloses.Add(context.Background(), 1, metric.WithAttributes(
		attribute.Bool("late_request", lateRequest), attribute.Bool("stopping", stopping)))
}

// countCallPlacement counts an attempt of a call that was placed.
func (m *instruments) countCallPlacement(ownDomain bool) {
	m.callPlacements.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("own_domain", ownDomain)))
}

// countYield counts what was refused or ended at a listener because memory or connections for
// callers were used up, by what it waited for.
func (m *instruments) countYield(listener, waitedFor string, refused bool) {
	m.yields.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("listener", listener), attribute.String("waited_for", waitedFor), attribute.Bool("refused", refused)))
}

// countReturn counts a stream whose caller came back, by what was found of its KV copy.
func (m *instruments) countReturn(result string) {
	m.returns.Add(context.Background(), 1, metric.WithAttributes(attribute.String("copy", result)))
}

// recordCallWait records that the call queue admitted an attempt, or refused it for the given
// reason, after it had waited.
func (m *instruments) recordCallWait(waited time.Duration, refused fault.Kind) {
	if refused == fault.None {
		recordDuration(m.callWait, waited)
		return
	}
	m.callsRefused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", refused.String())))
}

// countPlace counts an attempt at a target that was believed to have a free place.
func (m *instruments) countPlace(full bool) {
	found := "free"
	if full {
		found = "full"
	}
	m.callPlaces.Add(context.Background(), 1, metric.WithAttributes(attribute.String("found", found)))
}

func (m *instruments) countAttempt(outcome string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func recordDuration(histogram metric.Float64Histogram, d time.Duration) {
	histogram.Record(context.Background(), d.Seconds())
}
