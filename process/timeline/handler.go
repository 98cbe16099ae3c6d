package timeline

import (
	"encoding/json"
	"net/http"
)

// Handler serves the kept events as a JSON array; the query is that of Filter.
func (r *Recorder) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, ask *http.Request) {
		filter, err := ParseFilter(ask.URL.Query())
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
