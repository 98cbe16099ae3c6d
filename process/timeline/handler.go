package timeline

import (
	"encoding/json"
	"net/http"
)

// Handler serves the recorded events as a JSON array, filtered by the query parameters of
// Filter.Query.
func (r *Recorder) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		filter, err := ParseFilter(req.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		events := r.Events(filter)
		if events == nil {
			events = []Event{}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(events)
	})
}
