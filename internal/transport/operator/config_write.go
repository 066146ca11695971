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
	// writeConfigTimeout bounds the core's response to a write of the configuration.
	writeConfigTimeout = 6 * time.Second

	// maxWriteIDBytes is the size of the longest write ID that is taken, in bytes.
	maxWriteIDBytes = 200
)

// putConfig writes a complete configuration, or with PATCH a change of it.
func (api *API) putConfig(w http.ResponseWriter, r *http.Request) {
	request, rejection := parseConfigWrite(r)
	if rejection != nil {
		rejection.write(w)
		return
	}
	// The write goes on if the operator hangs up: its outcome is decided either way.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeConfigTimeout)
	defer cancel()
	var response coreapi.WriteResponse
	// With an ID a repeated write is recognized, so that the call is idempotent.
	if err := api.Core.Call(ctx, "core.write", &request, &response, request.ID != ""); err != nil {
		api.configWriteError(err).write(w)
		return
	}
	writeConfigOutcome(w, &response)
}

// parseConfigWrite returns the write that a request asks for. The core checks the configuration itself.
func parseConfigWrite(r *http.Request) (coreapi.WriteRequest, *errorResponse) {
	write := coreapi.WriteRequest{ID: r.Header.Get(WriteIDHeader), Patch: r.Method == http.MethodPatch, AnyVersion: true}
	if len(write.ID) > maxWriteIDBytes {
		return write, &errorResponse{status: http.StatusBadRequest, code: CodeInvalidWriteID,
			message: fmt.Sprintf("%s: at most %d bytes are expected.", WriteIDHeader, maxWriteIDBytes)}
	}
	if match := r.Header.Get("If-Match"); match != "" && match != "*" {
		version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
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

// configWriteError returns the response to a write that got none from the core.
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

// writeConfigOutcome sends the response to a write that the core has answered.
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

// configTooLarge returns the response to a configuration above the size that is taken.
func configTooLarge() *errorResponse {
	return &errorResponse{status: http.StatusRequestEntityTooLarge, code: CodeTooLarge,
		message: fmt.Sprintf("A layout of at most %d bytes is taken.", fleetconfig.MaxBytes)}
}
