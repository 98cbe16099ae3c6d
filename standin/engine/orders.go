package engine

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/mulberrylane/mulberrylane/outside"
)

// orderState is what an engine keeps of its orders.
type orderState struct {
	// floor is the highest fencing number seen.
	floor outside.FencingToken
	role  string
	taken []outside.Order
}

// Orders returns the orders that were carried out, in their order.
func (e *Engine) Orders() []outside.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.taken)
}

// Models returns what is loaded.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}

// fence says whether an order's number is to be refused.
func (e *Engine) fence(order outside.Order) (refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && order.FencingToken < e.orders.floor {
		return true
	}
	e.orders.floor = max(e.orders.floor, order.FencingToken)
	return false
}

func (s *Server) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order outside.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.fence(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if order.Kind == outside.OrderLoad && s.config.Weights != nil {
		if err := s.config.Weights.Fetch(r.Context(), order.Model); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	if !s.carryOut(order) {
		http.Error(w, "no such kind of order", http.StatusBadRequest)
		return
	}
	reply(w, struct{}{})
}

func (e *Engine) carryOut(order outside.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch order.Kind {
	case outside.OrderLoad:
		if !slices.Contains(e.models, order.Model) {
			e.models = append(slices.Clone(e.models), order.Model)
		}
	case outside.OrderUnload:
		e.models = slices.DeleteFunc(slices.Clone(e.models), func(m string) bool { return m == order.Model })
	case outside.OrderRole:
		e.orders.role = order.Role
	default:
		return false
	}
	e.orders.taken = append(e.orders.taken, order)
	return true
}

func (s *Server) reportRole(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	role := s.orders.role
	s.mu.Unlock()
	reply(w, struct {
		Role string `json:"role"`
	}{role})
}
