package web

import (
	"encoding/json"
	"net/http"
)

// ErrorCode is a machine-readable reason why a request was not served. Clients compare it, so codes must not change. Each API
// declares its codes as constants of this type.
type ErrorCode string

// ErrorBody is the JSON body of a response to a request that was not served.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error is the reason why a request was not served: a code for programs and a message for people.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// WriteJSON sends a response with a status and a JSON body. It returns no error: the only one expected is that the client has
// disconnected.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the status is sent already, and a disconnected client cannot be notified
}

// WriteError sends a response with a status and an ErrorBody.
func WriteError(w http.ResponseWriter, status int, code ErrorCode, message string) {
	WriteJSON(w, status, ErrorBody{Error{Code: code, Message: message}})
}
