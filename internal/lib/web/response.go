package web

import (
	"encoding/json"
	"net/http"
)

// ErrorCode says in one word why a request was not served. Clients' scripts compare it. Each API declares its codes as
// constants of this type.
type ErrorCode string

// ErrorBody is the JSON body that tells a client why a request was not served.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error is a code for scripts with a sentence for people.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// WriteJSON sends a response with a status and a JSON body. No error is returned: the only one that can occur is that the
// client has gone.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the status is out: nothing more can be said to a client that has gone
}

// WriteError sends a response with a status and an ErrorBody.
func WriteError(w http.ResponseWriter, status int, code ErrorCode, message string) {
	WriteJSON(w, status, ErrorBody{Error{Code: code, Message: message}})
}
