package web

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// RegisterDebug adds the dump of the process's state and its metrics.
func RegisterDebug(mux *http.ServeMux, dump func() any) {
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(dump())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}
