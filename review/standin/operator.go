package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operatorTimeout is the time after which the operator moves on to another node.
const operatorTimeout = time.Second

// The pause after a failed attempt grows by backoffStep with each one, up to maxBackoff.
const (
	backoffStep = 10 * time.Millisecond
	maxBackoff  = time.Second
)

// operator is the platform's operator: it picks among the control hosts and follows a redirect twice.
type operator struct {
	fleet  *fleet
	client *http.Client
	next   int
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: &http.Client{
		Timeout:   operatorTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}}
}

// answer is a response to the operator and the address of the host that gave it.
type answer struct {
	status int
	host   string
	body   []byte
}

func (o *operator) call(method, host, path string, body []byte) answer {
	req, err := http.NewRequest(method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return answer{host: host}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return answer{host: host}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{host: host}
	}
	return answer{status: resp.StatusCode, host: resp.Request.URL.Host, body: data}
}

// replace sends a configuration until it is acknowledged or the limit has passed. It sends it unchanged each time.
func (o *operator) replace(doc []byte, label string, limit time.Duration) (answer, bool) {
	end := time.Now().Add(limit)
	for n := 1; time.Now().Before(end); n++ {
		host := o.fleet.controls[o.next%len(o.fleet.controls)].controlAddr()
		o.next++
		a := o.call(http.MethodPost, host, "/config/replace", doc)
		if a.status == http.StatusOK {
			o.fleet.rec.add("operator: %s acknowledged by %s at attempt %d", label, a.host, n)
			return a, true
		}
		if n <= 8 {
			o.fleet.rec.add("operator: %s sent to %s, status %d from %s", label, host, a.status, a.host)
		}
		time.Sleep(min(maxBackoff, time.Duration(n)*backoffStep))
	}
	o.fleet.rec.add("operator: %s has no acknowledgement after %v", label, limit)
	return answer{}, false
}

// read asks all control hosts for the configuration in turn until one answers or the limit has passed.
func (o *operator) read(limit time.Duration) (version string, a answer, ok bool) {
	end := time.Now().Add(limit)
	seen := map[string]int{}
	for time.Now().Before(end) {
		host := o.fleet.controls[o.next%len(o.fleet.controls)].controlAddr()
		o.next++
		a := o.call(http.MethodGet, host, "/config/get", nil)
		if a.status == http.StatusOK {
			var d struct{ Version string }
			if json.Unmarshal(a.body, &d) == nil {
				o.fleet.rec.add("operator: read %s at %s", d.Version, a.host)
				return d.Version, a, true
			}
		}
		seen[fmt.Sprintf("status %d from %s", a.status, a.host)]++
		time.Sleep(50 * time.Millisecond)
	}
	o.fleet.rec.add("operator: no configuration was read within %v; answers: %v", limit, seen)
	return "", answer{}, false
}

// machineAt returns the control host with an address.
func (f *fleet) machineAt(addr string) *machine {
	for _, m := range f.controls {
		if m.controlAddr() == addr {
			return m
		}
	}
	return nil
}

// routeSpec is a route of a configuration.
type routeSpec struct {
	name, prefix, kind, service string
}

// requestHost is the host of all routes.
const requestHost = "app.example"

// key is the only key of the only tenant.
const key = "6wsjnbanfqasnmgkcuyj"

// configuration returns a full configuration.
func configuration(version, base int, services []string, routes []routeSpec) []byte {
	rs, ss := map[string]any{}, map[string]any{}
	for _, s := range services {
		ss[s] = map[string]any{"healthPath": "/health", "maxConns": 400, "protocol": "h1", "tls": false}
	}
	for _, r := range routes {
		rs[r.name] = map[string]any{
			"host": requestHost, names.Prefix: r.prefix, "kind": r.kind, "timeoutS": 6, "targetLatencyS": 1.5, "priority": 1,
			"service": r.service, "maxAttempts": 2, "public": false,
		}
	}
	doc := map[string]any{
		"version": fmt.Sprintf("r%d", version), "baseVersion": fmt.Sprintf("r%d", base), "routes": rs, "services": ss,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants": map[string]any{"acme": map[string]any{names.Keys: []string{key}, "priority": 1, "ratePerS": 500, "burst": 500}},
	}
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return data
}
