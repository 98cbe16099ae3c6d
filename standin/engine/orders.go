package engine

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/mulberrylane/mulberrylane/outside"
)

// orderState is the state that an engine keeps from the orders it received.
type orderState struct {
	// highestFencingToken is the highest fencing token seen.
	highestFencingToken outside.FencingToken
	role                string
	executed            []outside.Order
}

// Orders returns the executed orders, oldest first.
func (e *Engine) Orders() []outside.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.executed)
}

// Models returns the model versions that are loaded.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}

// rejectsOrder reports whether Config.ChecksFencing is set and an order's fencing token is
// lower than one seen before. Otherwise it records the token.
func (e *Engine) rejectsOrder(order outside.Order) (rejected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && order.FencingToken < e.orders.highestFencingToken {
		return true
	}
	e.orders.highestFencingToken = max(e.orders.highestFencingToken, order.FencingToken)
	return false
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order outside.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.rejectsOrder(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if order.Kind == outside.OrderLoad && s.config.Weights != nil {
		if err := s.config.Weights.Fetch(r.Context(), order.Model); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	if !s.executeOrder(order) {
		http.Error(w, "no such kind of order", http.StatusBadRequest)
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) executeOrder(order outside.Order) bool {
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
	e.orders.executed = append(e.orders.executed, order)
	return true
}

func (s *Server) serveRole(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	role := s.orders.role
	s.mu.Unlock()
	writeJSON(w, struct {
		Role string `json:"role"`
	}{role})
}
