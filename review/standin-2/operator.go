package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// tenantTerms are the terms of one tenant in a configuration. Rate and burst are written as they stand.
type tenantTerms struct {
	name, key, rate, burst string
}

// routeTerms are the terms of one route.
type routeTerms struct {
	name, host, prefix, kind, service string
	timeout, aim                      float64
	public                            bool
}

// configuration returns a complete configuration.
func configuration(version, base int, routes []routeTerms, services []string, tenants []tenantTerms) string {
	var rs, ss, ts []string
	for _, r := range routes {
		rs = append(rs, fmt.Sprintf(wire["route"], r.name, r.host, r.prefix, r.kind, r.timeout, r.aim, r.service, r.public))
	}
	for _, s := range services {
		ss = append(ss, fmt.Sprintf(wire["service"], s))
	}
	for _, t := range tenants {
		keys := ""
		if t.key != "" {
			keys = `"` + t.key + `"`
		}
		ts = append(ts, fmt.Sprintf(wire["tenantEntry"], t.name, keys, t.rate, t.burst))
	}
	baseText := wire["firstBase"]
	if base > 0 {
		baseText = fmt.Sprintf(wire["base"], base)
	}
	return fmt.Sprintf(wire["configuration"], version, strings.Join(rs, ","), strings.Join(ss, ","), strings.Join(ts, ","), baseText)
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// put sends a configuration until it is acknowledged or refused, to one control host after the other, and returns the status.
func (f *fleet) put(ctx context.Context, document string) int {
	pause := 50 * time.Millisecond
	for i := 0; ctx.Err() == nil; i++ {
		m := f.control[i%len(f.control)]
		resp, err := operatorClient.Post("http://"+f.addr(m, controlPort)+wire["replacePath"], "application/json", bytes.NewBufferString(document))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode < 500 && resp.StatusCode != http.StatusRequestTimeout && resp.StatusCode != http.StatusTooManyRequests {
				f.record.line("operator: %s answered %d to %.60s...", m.name, resp.StatusCode, document)
				return resp.StatusCode
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	f.record.line("operator: no clear answer to %.60s...", document)
	return 0
}

// get reads the configuration, and returns the status and the body.
func (f *fleet) get(m *machine) (int, string) {
	resp, err := operatorClient.Get("http://" + f.addr(m, controlPort) + wire["getPath"])
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// awaitReady waits until all nodes answer the platform's question with 200.
func (f *fleet) awaitReady(ctx context.Context, nodes ...*machine) error {
	for _, m := range nodes {
		for {
			resp, err := operatorClient.Get("http://" + f.addr(m, readyPort) + wire["readyPath"])
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
