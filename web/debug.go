package web

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"burdocksaddle/operatorapi"
)

// RegisterDebug registers the routes of the state dump, which requires an operator token, and of the metrics of the process
// and its roles.
func RegisterDebug(mux *http.ServeMux, guard Guard, dump func() any, roles ...func(io.Writer)) {
	mux.HandleFunc("GET "+operatorapi.PathState, guard.protect(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(dump())
	}))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		for _, write := range roles {
			write(w)
		}
		metrics.WritePrometheus(w, true)
	})
}
