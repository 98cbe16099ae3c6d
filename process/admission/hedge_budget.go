package admission

const (
	// initialHedges is how many hedges a service may start before its requests have earned
	// any.
	initialHedges = 16
	// maxSavedHedges bounds the saved balance.
	maxSavedHedges = 256
)

// HedgeBudget bounds the attempts that a service starts because a target is only suspected
// to have failed: each request earns a fraction of one, so that suspicion of many targets
// cannot double their work. Resumes after a confirmed failure are not counted, since a
// request that is half done is worth more than one that has not begun.
type HedgeBudget struct{ balance float64 }

// NewHedgeBudget returns a budget with a balance of initialHedges.
func NewHedgeBudget() *HedgeBudget { return &HedgeBudget{balance: initialHedges} }

// Earn counts a request, which adds ratio to the balance.
func (b *HedgeBudget) Earn(ratio float64) { b.balance = min(maxSavedHedges, b.balance+ratio) }

// Spend takes one hedge from the balance and reports whether there was one.
func (b *HedgeBudget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
