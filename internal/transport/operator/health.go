package operator

import (
	"net/http"

	"yarrowridge/internal/lib/web"
)

// retryAfterSeconds is the Retry-After header of responses to requests that may succeed if retried.
const retryAfterSeconds = "1"

// getAlive responds that the process is running.
func getAlive(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, AliveResponse{Alive: true})
}

// ReadyHandler returns a handler that responds with 200 if notReadyReason returns "", and otherwise with 503 and the
// reason. notReadyReason is called concurrently.
func ReadyHandler(notReadyReason func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReadyReason(); reason != "" {
			w.Header().Set("Retry-After", retryAfterSeconds)
			web.WriteJSON(w, http.StatusServiceUnavailable, ReadyResponse{Reason: reason})
			return
		}
		web.WriteJSON(w, http.StatusOK, ReadyResponse{Ready: true})
	}
}
