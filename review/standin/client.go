package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var nextRequest atomic.Int64

// clientTimeout is how long clients wait.
const clientTimeout = 5 * time.Second

// reply is what a client got: status 0 if the connection ended without a complete response.
type reply struct {
	id     string
	status int
	stamp  string
	body   []byte
}

var client = &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}

// send sends one request through a node.
func send(m *machine, method, path string, body io.Reader) reply {
	r := reply{id: fmt.Sprintf("q%06d", nextRequest.Add(1))}
	req, err := http.NewRequest(method, "http://"+m.outboundAddr()+path+r.id, body)
	if err != nil {
		return r
	}
	req.Host = requestHost
	req.Header.Set(names.RequestID, r.id)
	req.Header.Set(names.Deadline, fmt.Sprint(clientTimeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return r
	}
	r.status, r.stamp, r.body = resp.StatusCode, resp.Header.Get(names.Stamp), data
	return r
}

// isServed reports whether a client got a worker's whole response.
func (r reply) isServed() bool {
	return r.status == http.StatusOK && strings.HasSuffix(r.stamp, r.id)
}
