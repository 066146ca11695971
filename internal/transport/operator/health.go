package operator

import (
	"net/http"

	"yarrowridge/internal/lib/web"
)

// retryAfterSeconds is the Retry-After header of a response to what may succeed when it is sent again.
const retryAfterSeconds = "1"

// alive answers that the process runs.
func alive(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, AliveResponse{Alive: true})
}

// ReadyHandler returns a handler that answers 200 where notReadyReason returns "", and else 503 with the reason.
// notReadyReason is called concurrently.
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
