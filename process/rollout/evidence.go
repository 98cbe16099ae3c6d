package rollout

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// bucketCount buckets of durations grow by bucketFactor from firstBucket on, up to 13 s.
	bucketCount  = 21
	bucketFactor = 1.5
	firstBucket  = 4 * time.Millisecond
	// sliceTime is the length of the slices of time within which the versions are compared, so
	// that a storm weighs on both alike. It is about the interval of peer updates.
	sliceTime = 500 * time.Millisecond
	// maxSlices is how many slices are kept for the evidence windows.
	maxSlices = 128
	// maxRoutes limits the routes that are told apart.
	maxRoutes = 16
	// maxBroken limits the targets whose broken connections are remembered.
	maxBroken = 256
)

// A version is rejected, or suspected, if in one of the windows its bad responses exceed those of
// the old one by enough standard deviations and a large enough part of its responses, in enough
// slices. The rules are checked some ten thousand times in a long roll-out.
var (
	// failureRule rejects a version for its failures. One that fails a fifth of its responses
	// exceeds the part; the slices keep the crash of one replica from deciding.
	failureRule = rule{bad: 6, part: 0.07, deviations: 5, slices: 3}
	// slowRule rejects a version for slow responses. Single hosts are slow for seconds at a time,
	// and the canary has few replicas, so it takes three pulses. slowestRule takes less if
	// most of the responses are slow.
	slowRule    = rule{bad: 10, part: 0.2, deviations: 5, slices: 9, sliceShare: 0.85}
	slowestRule = rule{bad: 10, part: 0.7, deviations: 5, slices: 6, sliceShare: 0.8}
	// unusualRule rejects a version for durations that the old one hardly has in the same time, so
	// that they are due to no storm. It takes no large part of the responses.
	unusualRule = rule{bad: 5, part: 0.08, deviations: 5, slices: 5, oldPart: 0.03}
	// failureAlarm, slowAlarm and unusualAlarm make a version suspected.
	failureAlarm = rule{bad: 3, part: 0.05, deviations: 4, slices: 1}
	slowAlarm    = rule{bad: 5, part: 0.15, deviations: 4, slices: 2, sliceShare: 0.8}
	unusualAlarm = rule{bad: 3, part: 0.08, deviations: 4, slices: 2, oldPart: 0.03}
	// historicRule and historicAlarm replace them for slices in which the old version had next to
	// no requests, so that a storm cannot be told from a bad version but by its size.
	historicRule  = rule{bad: 30, part: 0.25, deviations: 7, slices: 4}
	historicAlarm = rule{bad: 15, part: 0.15, deviations: 6, slices: 1}
)

// windows are the numbers of slices over which the evidence is summed. A version that turns bad
// shows in a short one, slight faults and services with few requests need a long one.
var windows = [...]int{2, 4, 8, 16, 32, 64, maxSlices}

// rule says how much evidence is enough: so many bad responses, in so many slices and so large a
// share of those of the window, so large a part of all responses more than of the old version's,
// and so many standard deviations.
type rule struct {
	bad, part, deviations float64
	slices, sliceShare    float64
	// oldPart is the largest part of the old version's responses that may be bad, if not zero.
	oldPart float64
}

// Response is the response to an attempt, or what is known of it.
type Response struct {
	// Failed is set if the target answered with a server error.
	Failed bool
	// Broken names the target and its incarnation if the connection broke instead of a response.
	// Only the first such attempt of an incarnation counts: a crash breaks many at once.
	Broken string
	// Duration is the time until the response or its first event, zero if it is not to be
	// compared. It may be a lower bound if the attempt was given up.
	Duration time.Duration
}

// Counts are the responses of one version on one route.
type Counts struct {
	Responses int   `cbor:"1,keyasint,omitempty"`
	Failures  int   `cbor:"2,keyasint,omitempty"`
	Durations []int `cbor:"3,keyasint,omitempty"`
}

// minus returns what was counted since before.
func (c Counts) minus(before Counts) Counts {
	c.Responses -= before.Responses
	c.Failures -= before.Failures
	c.Durations = slices.Clone(c.Durations)
	for i := range min(len(c.Durations), len(before.Durations)) {
		c.Durations[i] -= before.Durations[i]
	}
	return c
}

// plus returns the sum of both.
func (c Counts) plus(other Counts) Counts {
	c.Responses += other.Responses
	c.Failures += other.Failures
	if len(other.Durations) > 0 {
		sum := make([]int, max(len(c.Durations), len(other.Durations)))
		copy(sum, c.Durations)
		for i, n := range other.Durations {
			sum[i] += n
		}
		c.Durations = sum
	}
	return c
}

// valid reports whether another entry may have counted this.
func (c Counts) valid() bool {
	const limit = 1 << 40
	negative := func(n int) bool { return n < 0 || n > limit }
	return !negative(c.Responses) && c.Failures >= 0 && c.Failures <= c.Responses &&
		len(c.Durations) <= bucketCount && !slices.ContainsFunc(c.Durations, negative)
}

// above returns how many durations are in the buckets from the given one on, and how many there
// are.
func (c Counts) above(bucket int) (int, int) {
	above, total := 0, 0
	for i, n := range c.Durations {
		total += n
		if i >= bucket {
			above += n
		}
	}
	return above, total
}

// side is one of the versions that are compared.
type side int

const (
	oldSide side = iota
	newSide
)

// Pair holds the counts of the old versions and of the new one on one route.
type Pair [2]Counts

func (p Pair) plus(other Pair) Pair {
	return Pair{p[oldSide].plus(other[oldSide]), p[newSide].plus(other[newSide])}
}

func (p Pair) minus(before Pair) Pair {
	return Pair{p[oldSide].minus(before[oldSide]), p[newSide].minus(before[newSide])}
}

// evidence is what is known of the responses of both versions.
type evidence struct {
	// own holds this entry's counts by route.
	own    map[string]Pair
	broken map[string]struct{}
	// summed holds the counts of all entries up to the end of the last slice; sliceEnds is when
	// the present one ends.
	summed    map[string]Pair
	sliceEnds time.Time
	// routes holds the tests of each route.
	routes map[string]*routeTests
}

// reset forgets all counts.
func (e *evidence) reset() { *e = evidence{} }

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(bucketCount-1, 1+int(math.Log(float64(d)/float64(firstBucket))/math.Log(bucketFactor)))
}

// count counts a response of one version.
func (e *evidence) count(route string, s side, response Response) {
	if e.own == nil {
		e.own, e.broken = map[string]Pair{}, map[string]struct{}{}
	}
	pair, ok := e.own[route]
	if !ok && len(e.own) >= maxRoutes {
		return
	}
	if response.Broken != "" {
		if _, counted := e.broken[response.Broken]; counted || len(e.broken) >= maxBroken {
			return
		}
		e.broken[response.Broken] = struct{}{}
		response.Failed = true
	}
	counts := &pair[s]
	counts.Responses++
	switch {
	case response.Failed:
		counts.Failures++
	case response.Duration > 0:
		if counts.Durations == nil {
			counts.Durations = make([]int, bucketCount)
		}
		counts.Durations[bucketOf(response.Duration)]++
	}
	e.own[route] = pair
}

// copyOwn returns a copy of this entry's counts.
func (e *evidence) copyOwn() map[string]Pair {
	own := make(map[string]Pair, len(e.own))
	for route, pair := range e.own {
		for s := range pair {
			pair[s].Durations = slices.Clone(pair[s].Durations)
		}
		own[route] = pair
	}
	return own
}

// endSlice compares the versions over the time since the last slice, given the counts of all
// entries up to now.
func (e *evidence) endSlice(total map[string]Pair) {
	if e.routes == nil {
		e.routes = map[string]*routeTests{}
	}
	var all [testCount]sums
	for route, pair := range total {
		terms := compareAll(pair, pair.minus(e.summed[route]))
		e.tests(route).add(&terms)
		for i := range all {
			all[i].add(&terms[i], 1)
		}
	}
	for i := range all {
		all[i].combine(badPartOf(i))
	}
	e.tests(allRoutes).add(&all)
	e.summed = total
}

// allRoutes stands for all routes together. Within each slice they are compared one by one, since
// their usual failure rates differ.
const allRoutes = ""

func (e *evidence) tests(route string) *routeTests {
	tests, ok := e.routes[route]
	if !ok {
		tests = &routeTests{}
		e.routes[route] = tests
	}
	return tests
}

// latency returns the time within which three quarters of the old versions' responses arrive, but no
// more than a tenth of the duration of the roll-out.
func (e *evidence) latency(duration time.Duration) time.Duration {
	const quantile, longest = 0.75, 10
	var all Counts
	for _, pair := range e.summed {
		all = all.plus(pair[oldSide])
	}
	_, total := all.above(0)
	for bucket := range all.Durations {
		if above, _ := all.above(bucket + 1); float64(above) <= (1-quantile)*float64(total) {
			upper := time.Duration(math.Pow(bucketFactor, float64(bucket)) * float64(firstBucket))
			return min(upper, duration/longest)
		}
	}
	return 0
}

const (
	// minClearResponses is how many responses the new version needs before it gets more than the
	// bound on bad versions allows: of a version of which two fifths fail, 12 have two failures or
	// more in 98 of 100 cases.
	minClearResponses = 12
	// fewResponses is the number of responses from which on the tests of judge find such versions.
	fewResponses = 100
	// clearDeviations is by how many standard deviations the failures of a sound version may exceed
	// those of the old one.
	clearDeviations = 3
	// A version with few responses holds the roll-out up if so many of them, and so large a part, are
	// slower than nearly all of the old version's, of which there must be some. One slow host of
	// three or four makes less than that slow.
	fewSlowResponses = 4
	fewSlowPart      = 0.4
	fewSlowOldPart   = 0.1
	minOldResponses  = 5
	// Once the old version gets no requests, failures are held against the new one only if there are
	// so many, and so large a part: a storm cannot be told from a bad version then.
	fewFailures     = 4
	fewFailuresPart = 0.2
	// PaceSuffix is added to the name of a route for the evidence about the pace of its streams.
	PaceSuffix = " pace"
)

// responses returns the counts of both versions on all routes.
func (e *evidence) responses() Pair {
	var sum Pair
	for route, pair := range e.summed {
		if !strings.HasSuffix(route, PaceSuffix) {
			sum = sum.plus(pair)
		}
	}
	return sum
}

// tooFew reports whether the new version has had too few responses to get all requests. Of a
// service with few requests, a fifth of the responses is enough.
func (e *evidence) tooFew() bool {
	sum := e.responses()
	newest, old := sum[newSide].Responses, sum[oldSide].Responses
	return newest < min(minClearResponses, (newest+old)/5)
}

// clears reports whether the failures of the new version are few enough for it to get all requests,
// as far as so few responses tell; the tests of judge need more of them.
func (e *evidence) clears() bool {
	sum := e.responses()
	newest, old := sum[newSide], sum[oldSide]
	if newest.Responses >= fewResponses {
		return true
	}
	rate := float64(old.Failures) / float64(max(1, old.Responses))
	expected := rate * float64(newest.Responses)
	return !e.tooFew() && !slower(newest, old) && float64(newest.Failures) <= 1+expected+clearDeviations*math.Sqrt(expected*(1-rate))
}

// doubtful reports whether so many of the few responses of the new version are bad that it must not be
// completed, though it has got all requests.
func (e *evidence) doubtful() bool {
	sum := e.responses()
	newest, old := sum[newSide], sum[oldSide]
	if newest.Responses >= fewResponses {
		return false
	}
	return slower(newest, old) || newest.Failures >= fewFailures && float64(newest.Failures) >= fewFailuresPart*float64(newest.Responses) &&
		float64(old.Failures) < fewFailuresPart/2*float64(old.Responses)
}

// slower reports whether many of the few responses of the new version took longer, by more than a half,
// than nearly all of the old one's.
func slower(newest, old Counts) bool {
	for bucket := 2; bucket < bucketCount; bucket++ {
		slow, total := newest.above(bucket)
		oldSlow, oldTotal := old.above(bucket - 1)
		if slow >= fewSlowResponses && float64(slow) >= fewSlowPart*float64(total) &&
			oldTotal >= minOldResponses && float64(oldSlow) <= fewSlowOldPart*float64(oldTotal) {
			return true
		}
	}
	return false
}

// judge returns why the version is bad, or "", whether it is suspected, and by how many bad
// responses if so.
func (e *evidence) judge() (string, bool, float64) {
	suspected, excess := false, 0.0
	for route, tests := range e.routes {
		reason, alarm, more := tests.judge()
		if reason != "" {
			if route == allRoutes {
				route = "all routes"
			}
			reason += " on " + route
			return strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], ""), true, more
		}
		suspected, excess = suspected || alarm, max(excess, more)
	}
	return "", suspected, excess
}

// testCount is the number of comparisons on one route: failures, and durations above each bucket
// but the first, whose bad responses the one before has for the old version.
const testCount = bucketCount

// routeTests holds the comparisons on one route.
type routeTests struct {
	// sums holds the running sums up to the end of each slice, the newest last.
	sums [][testCount]sums
}

// sums are the sums of a stratified comparison (Cochran, Mantel and Haenszel) over slices.
type sums struct {
	// bad and total count the responses of the new version in slices in which both versions were
	// seen, oldBad and oldTotal those of the old one. slices counts these slices, badSlices those
	// of them with more bad responses than expected, and historic those in which the old version
	// is compared by what it did before.
	bad, total, oldBad, oldTotal float64
	slices, badSlices, historic  float64
	// excess is by how many the bad responses of the new version exceed the expected ones, weight
	// what the difference of both rates is multiplied by in it, and variance its variance if both
	// rates are equal.
	excess, weight, variance float64
	// The others serve to see how much more the slices differ than independent responses would.
	excessSquares, crossProducts, weightSquares, newParts, oldParts float64
}

// add adds the sums o, multiplied by sign.
func (s *sums) add(o *sums, sign float64) {
	s.bad += sign * o.bad
	s.total += sign * o.total
	s.oldBad += sign * o.oldBad
	s.oldTotal += sign * o.oldTotal
	s.slices += sign * o.slices
	s.badSlices += sign * o.badSlices
	s.historic += sign * o.historic
	s.excess += sign * o.excess
	s.weight += sign * o.weight
	s.variance += sign * o.variance
	s.excessSquares += sign * o.excessSquares
	s.crossProducts += sign * o.crossProducts
	s.weightSquares += sign * o.weightSquares
	s.newParts += sign * o.newParts
	s.oldParts += sign * o.oldParts
}

// minComparedPart is the part of the new version's responses that the old one must have had in a
// slice to be compared over that time. Below, its responses so far stand in if the new one had
// minHistoricResponses: with less, the old one may have had none by chance.
const (
	minComparedPart      = 0.05
	minHistoricResponses = 10
	// historicPart is the part of the slices of a window from which on historicRule applies.
	historicPart = 0.25
)

// badPartOf returns the part of the new version's responses in a slice by which the bad ones must
// exceed those of the old version for the slice to count as bad in test i. One slow host among a
// few makes less than that of the responses slow.
func badPartOf(i int) float64 {
	const slowPart = 0.25
	if i == 0 {
		return 0
	}
	return slowPart
}

// compare returns the terms of one slice in which bad of total responses of the new version were
// bad and oldBad of oldTotal of the old one. So far the old one has had allBad of allTotal.
func compare(bad, total, oldBad, oldTotal, allBad, allTotal int, badPart float64) sums {
	a, n, b, m := float64(bad), float64(total), float64(oldBad), float64(oldTotal)
	if total == 0 {
		return sums{}
	}
	s := sums{bad: a, total: n, slices: 1}
	if m < minComparedPart*n && n >= minHistoricResponses || oldTotal == 0 {
		if allTotal == 0 || n < minHistoricResponses {
			return sums{}
		}
		s.historic = 1
		m = n
		b = m * float64(allBad) / float64(allTotal)
	}
	s.oldBad, s.oldTotal = b, m
	all := n + m
	s.excess = a - n*(a+b)/all
	s.weight = n * m / all
	if all > 1 {
		s.variance = n * m * (a + b) * (all - a - b) / (all * all * (all - 1))
	}
	s.mark(badPart)
	s.newParts, s.oldParts = s.weightSquares/n, s.weightSquares/m
	return s
}

// combine makes one slice of the sums of several routes in the same slice.
func (s *sums) combine(badPart float64) {
	if s.slices == 0 {
		return
	}
	s.historic = math.Round(s.historic / s.slices)
	s.slices = 1
	s.mark(badPart)
}

// mark sets the terms that are not linear in the counts of a slice. The slice is a bad one if the
// excess is more than the given part of the responses.
func (s *sums) mark(badPart float64) {
	s.badSlices = 0
	if s.excess > badPart*s.weight {
		s.badSlices = 1
	}
	s.excessSquares = s.excess * s.excess
	s.crossProducts = s.excess * s.weight
	s.weightSquares = s.weight * s.weight
}

// compareAll returns the terms of all comparisons in the slice in which the counts of a route grew
// by recent to all.
func compareAll(all, recent Pair) [testCount]sums {
	var terms [testCount]sums
	newest, old, oldAll := recent[newSide], recent[oldSide], all[oldSide]
	terms[0] = compare(newest.Failures, newest.Responses, old.Failures, old.Responses, oldAll.Failures, oldAll.Responses, badPartOf(0))
	for i := 1; i < testCount; i++ {
		// A response of the new version is slow from bucket i on, one of the old version from the
		// bucket before: up to that much a version may be slower.
		bad, total := newest.above(i)
		oldBad, oldTotal := old.above(i - 1)
		allBad, allTotal := oldAll.above(i - 1)
		terms[i] = compare(bad, total, oldBad, oldTotal, allBad, allTotal, badPartOf(i))
	}
	return terms
}

// add adds the terms of a slice.
func (t *routeTests) add(terms *[testCount]sums) {
	var next [testCount]sums
	if len(t.sums) > 0 {
		next = t.sums[len(t.sums)-1]
	}
	for i := range next {
		next[i].add(&terms[i], 1)
	}
	if len(t.sums) > maxSlices {
		t.sums = slices.Delete(t.sums, 0, 1)
	}
	t.sums = append(t.sums, next)
}

// judge returns why the version is bad on the route, or "", whether it is suspected, and by how
// many bad responses if so.
func (t *routeTests) judge() (string, bool, float64) {
	suspected, excess := false, 0.0
	last := len(t.sums) - 1
	if last < 0 {
		return "", false, 0
	}
	for _, window := range windows {
		for i := range testCount {
			s := t.sums[last][i]
			if last-window >= 0 {
				s.add(&t.sums[last-window][i], -1)
			}
			switch reason := s.conclusive(i); {
			case reason != "":
				return reason, true, s.excess
			case s.alarms(i):
				suspected, excess = true, max(excess, s.excess)
			}
		}
		if last-window < 0 {
			break
		}
	}
	return "", suspected, excess
}

// conclusive returns why the version is bad by the sums of test i, or "".
func (s *sums) conclusive(i int) string {
	switch {
	case i == 0 && s.meets(&failureRule):
		return "failures"
	case i > 0 && (s.meets(&slowRule) || s.meets(&slowestRule) || s.meets(&unusualRule)):
		return "slow responses"
	default:
		return ""
	}
}

// alarms reports whether the version is suspected by the sums of test i.
func (s *sums) alarms(i int) bool {
	if i == 0 {
		return s.meets(&failureAlarm) || s.meets(&historicAlarm)
	}
	return s.meets(&slowAlarm) || s.meets(&unusualAlarm) || s.meets(&historicAlarm)
}

// meets reports whether the sums are enough evidence by the rule.
func (s *sums) meets(r *rule) bool {
	if s.historic > historicPart*s.slices {
		if r != &historicAlarm {
			r = &historicRule
		}
	} else if r == &historicAlarm {
		return false
	}
	if s.bad < r.bad || s.badSlices < max(r.slices, r.sliceShare*s.slices) || s.weight <= 0 || s.variance <= 0 {
		return false
	}
	if r.oldPart > 0 && s.oldBad > r.oldPart*s.oldTotal {
		return false
	}
	return s.excess >= r.part*s.weight && s.deviations() >= r.deviations
}

// deviations returns by how many standard deviations the excess differs from zero. It is the
// signed root of the deviance, which holds for small counts too, where most old responses are good.
func (s *sums) deviations() float64 {
	expected := (s.bad - s.excess) / s.total
	if expected <= 0 || expected >= 1 {
		return 0
	}
	count := s.variance / (expected * (1 - expected))
	seen := min(1, expected+s.excess/count)
	deviance := 2 * count * (term(seen, expected) + term(1-seen, 1-expected))
	return math.Sqrt(max(0, deviance) / s.dispersion())
}

// term returns p log(p/q).
func term(p, q float64) float64 {
	if p <= 0 {
		return 0
	}
	return p * math.Log(p/q)
}

// dispersion returns by how much the slices differ more than independent responses would, 1 at
// least: responses of one time, host or prompt are alike.
func (s *sums) dispersion() float64 {
	if s.slices <= 1 {
		return 1
	}
	part := s.excess / s.weight
	residual := s.excessSquares - 2*part*s.crossProducts + part*part*s.weightSquares
	rate, oldRate := s.bad/s.total, s.oldBad/s.oldTotal
	independent := s.newParts*rate*(1-rate) + s.oldParts*oldRate*(1-oldRate)
	if independent <= 0 {
		return 1
	}
	return max(1, residual/independent*s.slices/(s.slices-1))
}
