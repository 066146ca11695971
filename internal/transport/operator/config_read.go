package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// readConfigTimeout bounds the core's response to a read of the configuration.
const readConfigTimeout = 3 * time.Second

// getConfig answers with the configuration in force, or with an earlier version of it.
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
	_, _ = w.Write(stored.Raw) // a client that has gone asks again
}

// parseConfigRead returns the version that is asked for: that in force (0) without the query "sequence".
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

// configReadError returns the response to a read that gave no configuration; nil where it gave one.
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

// etag returns the ETag header of a version of the configuration.
func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
