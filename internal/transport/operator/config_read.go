package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// readConfigTimeout bounds the core call of a configuration read.
const readConfigTimeout = 3 * time.Second

// getConfig responds with the current configuration, or with the earlier version that the request specifies.
func (api *API) getConfig(w http.ResponseWriter, r *http.Request) {
	request, rejection := parseConfigRead(r)
	if rejection != nil {
		rejection.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), readConfigTimeout)
	defer cancel()
	var stored coreapi.StoredConfig
	err := api.Core.Call(ctx, "core.layout", &request, &stored, true)
	if rejection := configReadError(&stored, err); rejection != nil {
		rejection.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", etag(stored.Version))
	_, _ = w.Write(stored.Raw) // fails only if the client has disconnected
}

// parseConfigRead returns the core request for the version in the query parameter "sequence", or for the current version
// (0) if there is none.
func parseConfigRead(r *http.Request) (coreapi.ConfigRequest, *errorResponse) {
	text := r.URL.Query().Get("sequence")
	if text == "" {
		return coreapi.ConfigRequest{}, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return coreapi.ConfigRequest{}, &errorResponse{status: http.StatusBadRequest, code: CodeInvalidVersion,
			message: "sequence: a whole number above zero is expected."}
	}
	return coreapi.ConfigRequest{Version: version}, nil
}

// configReadError returns the error response to a failed read, or nil if stored has a configuration.
func configReadError(stored *coreapi.StoredConfig, err error) *errorResponse {
	switch {
	case wire.HasCode(err, coreapi.CodeNoSuchVersion):
		return &errorResponse{status: http.StatusNotFound, code: CodeNoSuchVersion, message: "This sequence is not kept."}
	case err != nil:
		return &errorResponse{status: http.StatusServiceUnavailable, code: CodeNoCore,
			message: "The core did not answer in time.", retryable: true}
	case stored.Version == 0:
		return &errorResponse{status: http.StatusNotFound, code: CodeNoConfig, message: "No layout has been put yet."}
	}
	return nil
}

// etag returns the ETag of a configuration version.
func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
