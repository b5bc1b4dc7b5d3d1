package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// serveOn serves HTTP on a free loopback port and returns the server and its address.
func serveOn(handler http.HandlerFunc) (*http.Server, string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	return server, listener.Addr().String(), nil
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(encoded)
}

// noStatus stands for a request without a complete response.
const noStatus = 0

// httpClient keeps no connections: a user's load balancer chooses a node for each new connection.
var httpClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call sends a request and returns the status, the Retry-After header and the body; noStatus without a response.
func call(method, url string, body any, timeout time.Duration) (status int, retryAfter string, response []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return noStatus, "", nil
		}
		reader = newBody(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return noStatus, "", nil
	}
	answer, err := httpClient.Do(request)
	if err != nil {
		return noStatus, "", nil
	}
	defer answer.Body.Close()
	response, err = io.ReadAll(answer.Body)
	if err != nil {
		return noStatus, "", nil
	}
	return answer.StatusCode, answer.Header.Get("Retry-After"), response
}
