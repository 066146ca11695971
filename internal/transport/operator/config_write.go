package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/wire"
)

const (
	// writeConfigTimeout bounds the core call of a configuration write.
	writeConfigTimeout = 6 * time.Second

	// maxWriteIDBytes is the maximum size of a write ID.
	maxWriteIDBytes = 200
)

// putConfig replaces the configuration (PUT) or applies a change to it (PATCH).
func (api *API) putConfig(w http.ResponseWriter, r *http.Request) {
	request, rejection := parseConfigWrite(r)
	if rejection != nil {
		rejection.write(w)
		return
	}
	// The write continues if the client disconnects, because the core decides its outcome in any case.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeConfigTimeout)
	defer cancel()
	var response coreapi.WriteResponse
	// The core recognizes a repeated write by its ID, so the call is idempotent if it has one.
	if err := api.Core.Call(ctx, "core.write", &request, &response, request.ID != ""); err != nil {
		api.configWriteError(err).write(w)
		return
	}
	writeConfigOutcome(w, &response)
}

// parseConfigWrite returns the core request for a write. The core validates the configuration itself.
func parseConfigWrite(r *http.Request) (coreapi.WriteRequest, *errorResponse) {
	write := coreapi.WriteRequest{ID: r.Header.Get(WriteIDHeader), Patch: r.Method == http.MethodPatch, AnyVersion: true}
	if len(write.ID) > maxWriteIDBytes {
		return write, &errorResponse{status: http.StatusBadRequest, code: CodeInvalidWriteID,
			message: fmt.Sprintf("%s: at most %d bytes are expected.", WriteIDHeader, maxWriteIDBytes)}
	}
	if ifMatch := r.Header.Get("If-Match"); ifMatch != "" && ifMatch != "*" {
		version, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
		if err != nil {
			return write, &errorResponse{status: http.StatusBadRequest, code: CodeInvalidIfMatch,
				message: "If-Match: a sequence, or *, is expected."}
		}
		write.BaseVersion, write.AnyVersion = version, false
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, fleetconfig.MaxBytes+1))
	if err != nil {
		return write, &errorResponse{status: http.StatusBadRequest, code: CodeBodyUnreadable,
			message: "The body broke off before its end."}
	}
	if len(raw) > fleetconfig.MaxBytes {
		return write, configTooLarge()
	}
	write.Raw = raw
	return write, nil
}

// configWriteError returns the error response to a write whose call to the core failed.
func (api *API) configWriteError(err error) *errorResponse {
	switch {
	case coreapi.IsOutcomeUnknown(err):
		return &errorResponse{status: http.StatusGatewayTimeout, code: CodeOutcomeUnknown, retryable: true,
			message: "The write may yet take effect. Read the layout back, or repeat it with the same " + WriteIDHeader + "."}
	case errors.Is(err, wire.ErrUnsent), wire.HasCode(err, coreapi.CodeNotReady), wire.HasCode(err, coreapi.CodeNotPrimary):
		return &errorResponse{status: http.StatusServiceUnavailable, code: CodeWriteNotAccepted, retryable: true,
			message: "The core can't take writes now. This one was surely not taken."}
	}
	api.Ctx.Log.Error("Writing the configuration failed.", "error", err.Error())
	return &errorResponse{status: http.StatusGatewayTimeout, code: CodeOutcomeUnknown, retryable: true,
		message: "The write may yet take effect. Read the layout back."}
}

// writeConfigOutcome sends the HTTP response for the core's response to a write.
func writeConfigOutcome(w http.ResponseWriter, response *coreapi.WriteResponse) {
	switch response.Code {
	case http.StatusOK:
		w.Header().Set("ETag", etag(response.Version))
		web.WriteJSON(w, http.StatusOK, WriteConfigResponse{Repeated: response.Repeated, Version: response.Version})
	case http.StatusPreconditionFailed:
		rejection := errorResponse{status: http.StatusPreconditionFailed, code: CodeVersionConflict,
			message: fmt.Sprintf("The layout is at sequence %d by now.", response.Version)}
		rejection.write(w)
	case http.StatusRequestEntityTooLarge:
		configTooLarge().write(w)
	case http.StatusUnprocessableEntity:
		rejection := errorResponse{status: http.StatusUnprocessableEntity, code: CodeWriteIDReused,
			message: "This " + WriteIDHeader + " was used for another write."}
		rejection.write(w)
	default:
		web.WriteJSON(w, http.StatusBadRequest, InvalidConfigResponse{InvalidConfig{Code: CodeInvalidConfig,
			Message: "The layout has troubles; nothing was changed.", Errors: response.Errors}})
	}
}

// configTooLarge returns the error response to a configuration above fleetconfig.MaxBytes.
func configTooLarge() *errorResponse {
	return &errorResponse{status: http.StatusRequestEntityTooLarge, code: CodeTooLarge,
		message: fmt.Sprintf("A layout of at most %d bytes is taken.", fleetconfig.MaxBytes)}
}
