package admission

const (
	// budgetStart is how many extra attempts a service may make before its
	// requests have earned any.
	budgetStart = 16
	// budgetMax bounds what may be saved up.
	budgetMax = 256
)

// HedgeBudget bounds the attempts that a service makes on mere suspicion: each request
// earns a part of one, so that a doubt about many targets cannot double their
// work. Resumes after a certain loss are not counted, since a request that is
// half done is worth more than one that has not begun.
type HedgeBudget struct{ saved float64 }

// NewHedgeBudget returns a budget for the first few attempts.
func NewHedgeBudget() *HedgeBudget { return &HedgeBudget{saved: budgetStart} }

// Earn notes a request; each earns the part ratio of an attempt.
func (b *HedgeBudget) Earn(ratio float64) { b.saved = min(budgetMax, b.saved+ratio) }

// Spend takes one attempt and says whether there was one.
func (b *HedgeBudget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
