package soak

import "time"

// connectionFaults lists changes of the limits of callers. No request may be left without a
// response because of them.
var connectionFaults = faultList{150 * time.Millisecond, 1200 * time.Millisecond, []fault{
	{"idle-limit", func(p *faultPlan) func() { p.idleChange()(); return nil }},
	{"idle-limits", func(p *faultPlan) func() {
		changes := []func(){p.idleChange(), p.idleChange(), p.idleChange(), p.idleChange()}
		p.series(func(i int) { changes[i]() }, len(changes))
		return nil
	}},
}}

// idleChange draws an idle limit and returns the change to it.
func (p *faultPlan) idleChange() func() {
	limit := randomBetween(p.random, minIdleLimit, maxIdleLimit)
	return func() { p.deployment.setIdleLimit(limit) }
}
