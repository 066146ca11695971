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

// writeRetryable answers with an error that may be gone when the operator asks again.
func writeRetryable(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Retry-After", "1")
	web.WriteError(w, status, code, message)
}

// getConfig answers with the config in force, or an earlier version of it.
func (api *API) getConfig(w http.ResponseWriter, r *http.Request) {
	var wanted coreapi.ConfigRequest
	if text := r.URL.Query().Get("sequence"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil || number == 0 {
			web.WriteError(w, http.StatusBadRequest, "bad-sequence", "sequence: a whole number above zero is expected.")
			return
		}
		wanted.Version = number
	}
	ctx, cancel := context.WithTimeout(r.Context(), 3*time.Second)
	defer cancel()
	var sheet coreapi.StoredConfig
	switch err := api.Core.Call(ctx, "core.layout", &wanted, &sheet, true); {
	case wire.HasCode(err, coreapi.CodeNoSuchVersion):
		web.WriteError(w, http.StatusNotFound, "no-such-sequence", "This sequence is not kept.")
	case err != nil:
		writeRetryable(w, http.StatusServiceUnavailable, "no-core", "The core did not answer in time.")
	case sheet.Version == 0:
		web.WriteError(w, http.StatusNotFound, "no-layout", "No layout has been put yet.")
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(sheet.Version, 10)))
		_, _ = w.Write(sheet.Raw) // a client that has gone asks again
	}
}

// readWrite reads a write of the config; where it is not one, it answers and ok is false.
func readWrite(w http.ResponseWriter, r *http.Request) (write coreapi.WriteRequest, ok bool) {
	write = coreapi.WriteRequest{ID: r.Header.Get(WriteIDHeader), Patch: r.Method == http.MethodPatch, AnyVersion: true}
	if len(write.ID) > 200 {
		web.WriteError(w, http.StatusBadRequest, "bad-write-id", WriteIDHeader+": at most 200 bytes are expected.")
		return write, false
	}
	if match := r.Header.Get("If-Match"); match != "" && match != "*" {
		version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
		if err != nil {
			web.WriteError(w, http.StatusBadRequest, "bad-if-match", "If-Match: a sequence, or *, is expected.")
			return write, false
		}
		write.BaseVersion, write.AnyVersion = version, false
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, fleetconfig.MaxBytes+1))
	if err != nil {
		web.WriteError(w, http.StatusBadRequest, "body-unread", "The body broke off before its end.")
		return write, false
	}
	if len(raw) > fleetconfig.MaxBytes {
		web.WriteError(w, http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("A layout of at most %d bytes is taken.", fleetconfig.MaxBytes))
		return write, false
	}
	write.Raw = raw
	return write, true
}

// putConfig takes a whole config, or with PATCH a change of it.
func (api *API) putConfig(w http.ResponseWriter, r *http.Request) {
	write, ok := readWrite(w, r)
	if !ok {
		return
	}
	// The write goes on if the operator hangs up: its outcome is settled either way.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), 6*time.Second)
	defer cancel()
	var written coreapi.WriteResponse
	err := api.Core.Call(ctx, "core.write", &write, &written, write.ID != "")
	switch {
	case coreapi.IsOutcomeUnknown(err):
		writeRetryable(w, http.StatusGatewayTimeout, "in-doubt", "The write may yet take effect. Read the layout back, or repeat it with the same "+WriteIDHeader+".")
	case errors.Is(err, wire.ErrUnsent), wire.HasCode(err, coreapi.CodeNotReady), wire.HasCode(err, coreapi.CodeNotPrimary):
		writeRetryable(w, http.StatusServiceUnavailable, "not-taken", "The core can't take writes now. This one was surely not taken.")
	case err != nil:
		api.Ctx.Log.Error("Write in trouble.", "error", err.Error())
		writeRetryable(w, http.StatusGatewayTimeout, "in-doubt", "The write may yet take effect. Read the layout back.")
	case written.Code == 200:
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(written.Version, 10)))
		web.WriteJSON(w, http.StatusOK, Written{Repeated: written.Repeated, Version: written.Version})
	case written.Code == 412:
		web.WriteError(w, http.StatusPreconditionFailed, "lost-race", fmt.Sprintf("The layout is at sequence %d by now.", written.Version))
	case written.Code == 413:
		web.WriteError(w, http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("A layout of at most %d bytes is taken.", fleetconfig.MaxBytes))
	case written.Code == 422:
		web.WriteError(w, http.StatusUnprocessableEntity, "write-id-clash", "This "+WriteIDHeader+" was used for another write.")
	default:
		web.WriteJSON(w, http.StatusBadRequest, BadConfigBody{BadConfig{Code: "bad-layout", Message: "The layout has troubles; nothing was changed.", Flaws: written.Errors}})
	}
}
