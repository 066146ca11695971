package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Names of the services, routes and tenants of the cases.
const (
	modelService = "parts-llm"
	deskService  = "order-desk"
	host         = "ficu95.example"
	streamPath   = "/notes/1"
	safePath     = "/acks/1"
	tenantName   = "kaje80"
	tenantKey    = "i9n73hh2b9wu3fexd9dn"
)

// document returns the configuration of the cases: a stream that may be resumed, and a safe request.
func document(revision int) map[string]any {
	route := func(name, prefix, kind, backend string, timeout, aim, attempts int, resume bool) map[string]any {
		return map[string]any{"name": name, "hostname": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": aim,
			"priority": 0, "backend": backend, "maxAttempts": attempts, "public": false, "sessionAffinity": kind == "streaming", "streamResume": resume, "targetGapMs": 250}
	}
	service := func(name string, connections int) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tlsEnabled": false}
	}
	return map[string]any{
		"revision": revision,
		"routes": []any{
			route("r-notes", "/notes/", "streaming", modelService, 30000, 200, 2, true),
			route("r-acks", "/acks/", "safe", deskService, 2500, 150, 1, false),
		},
		"backends": []any{service(modelService, 370), service(deskService, 110)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1}},
	}
}

// configure sends the first configuration, to one core after the other, until it is acknowledged.
func (f *fleet) configure() error {
	raw, err := json.Marshal(document(1))
	if err != nil {
		return err
	}
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, address := range f.controlAddresses() {
			if status, err := post(address, "/Config.Replace", raw, map[string]string{"Yarrowridge-Base-Revision": "0"}); err == nil && status == http.StatusOK {
				f.record.add("operator", "the configuration is acknowledged by %s", address)
				return nil
			}
		}
	}
	return errors.New("the configuration was not acknowledged")
}

// post makes one call to a control address, with a second for the answer, and returns the status.
func post(address, path string, body []byte, header map[string]string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s", address, path), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, err
}
