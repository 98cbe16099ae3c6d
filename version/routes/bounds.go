package routes

import "time"

const (
	// maxDuration limits each time of a document.
	maxDuration = 24 * time.Hour
	// maxHeaderBytes and maxBodyBytes limit the sizes that callers may be allowed to send.
	maxHeaderBytes = 16 << 20
	maxBodyBytes   = 1 << 30
	// maxWeight limits the weight of one backend; the sum of all must not overflow.
	maxWeight = 1 << 31
	// maxKVCapacityTokens and maxTokensPerEvent limit the figures of an engine, which are
	// multiplied with each other.
	maxKVCapacityTokens = 1 << 40
	maxTokensPerEvent   = 1 << 20
)

// DefaultLimits apply to callers while no configuration names others.
var DefaultLimits = Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// bounder brings the numbers of a document into their bounds, and records which were out of them.
type bounder struct{ changed []string }

type number interface{ ~int | ~int64 }

// bound returns value, or the nearest of lowest and highest.
func bound[T number](b *bounder, name string, value, lowest, highest T) T {
	within := min(max(value, lowest), highest)
	if within != value {
		b.changed = append(b.changed, name)
	}
	return within
}

// limit returns value if it is positive, up to highest, and otherwise the default.
func limit[T number](b *bounder, name string, value, byDefault, highest T) T {
	if value <= 0 {
		b.changed = append(b.changed, name)
		return byDefault
	}
	return bound(b, name, value, 1, highest)
}

func (b *bounder) limits(l Limits) Limits {
	if l == (Limits{}) {
		return DefaultLimits
	}
	return Limits{
		HeaderBytes:   limit(b, "limits: header bytes", l.HeaderBytes, DefaultLimits.HeaderBytes, maxHeaderBytes),
		BodyBytes:     limit(b, "limits: body bytes", l.BodyBytes, DefaultLimits.BodyBytes, maxBodyBytes),
		HeaderTimeout: limit(b, "limits: header timeout", l.HeaderTimeout, DefaultLimits.HeaderTimeout, maxDuration),
		IdleTimeout:   limit(b, "limits: idle timeout", l.IdleTimeout, DefaultLimits.IdleTimeout, maxDuration),
	}
}

func (b *bounder) route(r Route) Route {
	in := "route " + r.Name + ": "
	r.Timeout = bound(b, in+"timeout", r.Timeout, 0, maxDuration)
	r.LatencyObjective = bound(b, in+"latency objective", r.LatencyObjective, 0, maxDuration)
	r.MaxEventGap = bound(b, in+"event gap", r.MaxEventGap, 0, maxDuration)
	r.MaxAttempts = max(0, r.MaxAttempts)
	backends := make([]Backend, len(r.Backends))
	for i, backend := range r.Backends {
		backend.Weight = bound(b, in+"weight", backend.Weight, 0, maxWeight)
		backends[i] = backend
	}
	r.Backends = backends
	return r
}

func (b *bounder) service(s Service) Service {
	if s.Engine == nil {
		return s
	}
	in := "service " + s.Name + ": "
	engine := *s.Engine
	engine.KVCapacityTokens = bound(b, in+"KV capacity", engine.KVCapacityTokens, 0, maxKVCapacityTokens)
	engine.TokensPerEvent = bound(b, in+"tokens per event", engine.TokensPerEvent, 0, maxTokensPerEvent)
	engine.KVCopyTTL = bound(b, in+"KV copy TTL", engine.KVCopyTTL, 0, maxDuration)
	s.Engine = &engine
	return s
}
