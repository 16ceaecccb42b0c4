package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// newRequestID returns an id that no other request has.
func newRequestID() string { return fmt.Sprintf("q%06d", requestCount.Add(1)) }

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer: %v (after %v)", a.err, a.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d, stamp %q, %d bytes (after %v)", a.status, a.stamp, len(a.body), a.took.Round(time.Millisecond))
}

// send sends one request on a new connection.
func (f *fleet) send(m *machine, method, host, target, key, id, body string, deadline time.Duration) answer {
	start := time.Now()
	c, err := net.DialTimeout("tcp", f.addr(m, outboundPort), time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, wire["requestId"], id, wire["deadline"],
		deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", key)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := c.Write([]byte(b.String())); err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get(wire["stamp"]), body: string(data), err: err, took: time.Since(start)}
}

// clientsPerNode is the number of clients at each node in the cases of leaving workers.
const clientsPerNode = 3

// perNode returns each machine once for each of its clients.
func perNode(machines []*machine) []*machine {
	var out []*machine
	for range clientsPerNode {
		out = append(out, machines...)
	}
	return out
}
