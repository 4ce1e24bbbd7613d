package web

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"burdocksaddle/operatorapi"
)

// RegisterDebug adds the dump of the process's state, behind a guard, and the metrics of its roles and of the process.
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
