package web

import (
	"encoding/json"
	"net/http"
)

// ErrorBody is the JSON body that tells a caller why a request was not served.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error is a machine-readable code with a sentence for people.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the status is out: nothing more can be said to a client that has gone
}

// WriteError answers with a status and an ErrorBody.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, ErrorBody{Error{Code: code, Message: message}})
}
