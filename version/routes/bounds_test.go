package routes

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func compileDocument(t *testing.T, document Document) *Table {
	t.Helper()
	compiled, err := Compile(document)
	assert.NilError(t, err)
	return compiled
}

func TestCompile_LimitsOutOfBounds(t *testing.T) {
	sound := Limits{HeaderBytes: 1000, BodyBytes: 2000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
	compiled := compileDocument(t, Document{Limits: sound})
	assert.Equal(t, compiled.Limits(), sound)
	assert.Equal(t, len(compiled.OutOfBounds()), 0)
	for _, odd := range []Limits{{-1, -1, -1, -1}, {math.MinInt, math.MinInt64, math.MinInt64, math.MinInt64}} {
		compiled = compileDocument(t, Document{Limits: odd})
		assert.Equal(t, compiled.Limits(), DefaultLimits)
		assert.Equal(t, len(compiled.OutOfBounds()), 4)
	}
	compiled = compileDocument(t, Document{Limits: Limits{math.MaxInt, math.MaxInt64, math.MaxInt64, math.MaxInt64}})
	assert.Equal(t, compiled.Limits(), Limits{maxHeaderBytes, maxBodyBytes, maxDuration, maxDuration})
	assert.Equal(t, len(compiled.OutOfBounds()), 4)
	assert.Equal(t, compileDocument(t, Document{}).Limits(), DefaultLimits)
	sound.BodyBytes = 0
	assert.DeepEqual(t, compileDocument(t, Document{Limits: sound}).OutOfBounds(), []string{"limits: body bytes"})
}

func TestCompile_RoutesAndServicesOutOfBounds(t *testing.T) {
	odd := newRoute("a.example", "/x/")
	odd.Timeout, odd.LatencyObjective, odd.MaxEventGap, odd.MaxAttempts = math.MaxInt64, math.MinInt64, -1, math.MinInt
	engine := &Engine{KVCapacityTokens: math.MaxInt, TokensPerEvent: math.MaxInt, KVCopyTTL: math.MaxInt64}
	document := Document{Routes: []Route{odd}, Services: []Service{{Name: "s", Engine: engine}}}
	compiled := compileDocument(t, document)
	route := compiled.Match("a.example", "/x/")
	assert.Equal(t, route.Timeout, maxDuration)
	assert.Equal(t, route.LatencyObjective, time.Duration(0))
	assert.Equal(t, route.MaxEventGap, time.Duration(0))
	assert.Equal(t, route.MaxAttempts, 0)
	bounded := compiled.Service("s").Engine
	assert.Equal(t, *bounded, Engine{KVCapacityTokens: maxKVCapacityTokens, TokensPerEvent: maxTokensPerEvent, KVCopyTTL: maxDuration})
	assert.Equal(t, len(compiled.OutOfBounds()), 6)
	assert.Equal(t, engine.KVCapacityTokens, math.MaxInt, "the document was changed")
}

// Weights may add up to more than 64 bits hold, or be negative.
func TestCompile_WeightsOutOfBounds(t *testing.T) {
	for weights, want := range map[[3]int][]string{
		{math.MaxInt, math.MaxInt, math.MaxInt}: {"s0", "s1", "s2"},
		{math.MinInt, 0, 7}:                     {"s2"},
		{10, -5, 0}:                             {"s0"},
		{0, 0, 0}:                               {"s0"},
		{-1, -1, -1}:                            {"s0"},
	} {
		odd := newRoute("a.example", "/x/")
		odd.Backends = nil
		for i, weight := range weights {
			odd.Backends = append(odd.Backends, Backend{Service: fmt.Sprint("s", i), Weight: weight})
		}
		route := compileDocument(t, Document{Routes: []Route{odd}}).Match("a.example", "/x/")
		services := map[string]int{}
		for i := range 300 {
			services[route.Service(fmt.Sprint("request-", i))]++
		}
		for _, name := range want {
			assert.Assert(t, services[name] > 60, "%v: %v", weights, services)
		}
		assert.Equal(t, len(services), len(want), "%v: %v", weights, services)
	}
}
