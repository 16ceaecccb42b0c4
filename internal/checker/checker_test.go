package checker

import (
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// newConfiguration returns a configuration without findings, changed by the given functions.
func newConfiguration(changes ...func(*schema.Configuration)) *schema.Configuration {
	c := &schema.Configuration{
		Version: 2,
		Routes: []*schema.HostRoute{
			{
				Name: "a", Host: "h.example", Prefix: "/a/", Shares: []*schema.Share{{Service: "s1", Weight: 1}},
				Timeout: durationpb.New(2 * time.Second), ObjectiveLatency: durationpb.New(time.Second),
			},
			{
				Name: "b", Host: "h.example", Prefix: "/a/b/", Timeout: durationpb.New(2 * time.Second), Open: true,
				Shares: []*schema.Share{{Service: "s1", Weight: 1}, {Service: "s2", Weight: 0.5}},
			},
		},
		Services: []*schema.ServiceInfo{{Name: "s1", HealthPath: "/h"}, {Name: "s2"}},
		Accounts: []*schema.AccountTerms{{
			Id: "school", Policy: &schema.Policy{Unlimited: proto.Bool(false), Rate: proto.Float64(5), Burst: proto.Float64(5)},
			KeyDigests: [][]byte{make([]byte, resolver.DigestSize)},
		}},
		Limits: &schema.CallerLimits{
			MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20,
			HeaderTimeout: durationpb.New(3 * time.Second), IdleTimeout: durationpb.New(15 * time.Second),
		},
	}
	for _, change := range changes {
		change(c)
	}
	return c
}

// change returns a function that changes the entries of a configuration.
func change(f func(route *schema.HostRoute, c *schema.Configuration)) func(*schema.Configuration) {
	return func(c *schema.Configuration) { f(c.Routes[1], c) }
}

// TestCheckMissesFault guards against a fault that an operator learns only once the configuration is in force.
func TestCheckMissesFault(t *testing.T) {
	tests := []struct {
		name   string
		change func(route *schema.HostRoute, c *schema.Configuration)
		want   []string
	}{
		{"valid", func(*schema.HostRoute, *schema.Configuration) {}, nil},
		{"no version", func(_ *schema.HostRoute, c *schema.Configuration) { c.Version = 0 }, []string{"error: the version must be above zero"}},
		{"unknown service", func(_ *schema.HostRoute, c *schema.Configuration) { c.Services = c.Services[:1] }, []string{
			`error: route "b": no service "s2"`,
		}},
		{"the same host and prefix", func(r *schema.HostRoute, _ *schema.Configuration) { r.Host, r.Prefix = "H.Example", "/a/" }, []string{
			`warning: route "b": no request matches it: route "a" has the same host and path prefix`,
		}},
		{"no host", func(r *schema.HostRoute, _ *schema.Configuration) { r.Host = "" }, []string{
			`warning: route "b": no request matches it: it has no host`,
		}},
		{"host with a port", func(r *schema.HostRoute, _ *schema.Configuration) { r.Host = "h.example:80" }, []string{
			`warning: route "b": no request matches it: a host is compared without its port`,
		}},
		{"pattern of hosts", func(r *schema.HostRoute, _ *schema.Configuration) { r.Host = "*.example" }, []string{
			`warning: route "b": no request matches it: a host is compared literally`,
		}},
		{"URL for a host", func(r *schema.HostRoute, _ *schema.Configuration) { r.Host = "h.example/a" }, []string{
			`warning: route "b": no request matches it: "h.example/a" is no host`,
		}},
		{"IPv6 host", func(r *schema.HostRoute, _ *schema.Configuration) { r.Host = "::1" }, nil},
		{"prefix with a query", func(r *schema.HostRoute, _ *schema.Configuration) { r.Prefix = "/b?c=" }, []string{
			`warning: route "b": no request matches it: a path has no '?'`,
		}},
		{"no weight", func(r *schema.HostRoute, _ *schema.Configuration) { r.Shares[1].Weight = 0 }, []string{
			`warning: route "b": no request goes to its service "s2", which has no weight`, `warning: service "s2": no route leads to it`,
		}},
		{"the same service twice", func(r *schema.HostRoute, _ *schema.Configuration) {
			r.Shares = append(r.Shares, &schema.Share{Service: "s1", Weight: 1})
		}, []string{`warning: route "b": it names service "s1" twice, and the weights add up`}},
		{"target above the timeout", func(r *schema.HostRoute, _ *schema.Configuration) {
			r.ObjectiveLatency = durationpb.New(3 * time.Second)
		}, []string{`warning: route "b": its target latency of 3s is above its timeout of 2s`}},
		{"relative path of the health check", func(_ *schema.HostRoute, c *schema.Configuration) { c.Services[0].HealthPath = "h" }, []string{
			`warning: service "s1": the path of its health check must begin with a slash`,
		}},
		{"no keys", func(_ *schema.HostRoute, c *schema.Configuration) { c.Accounts[0].KeyDigests = nil }, []string{
			`warning: client account "school": no request belongs to it: it has no key`,
		}},
		{"burst below one request", func(_ *schema.HostRoute, c *schema.Configuration) {
			c.Accounts[0].Policy.Burst = proto.Float64(0.5)
		}, []string{
			`warning: client account "school": all its requests are refused: a burst of 0.5 is less than one request, at a rate of 5`,
		}},
		{"no accounts", func(_ *schema.HostRoute, c *schema.Configuration) { c.Accounts = nil }, []string{
			"warning: without client accounts no request needs a key",
		}},
		{"headers above the limit of a node", func(_ *schema.HostRoute, c *schema.Configuration) { c.Limits.MaxHeaderBytes = 1 << 20 }, []string{
			"warning: limits: headers of 1048576 bytes are above the 65536 that a node accepts",
		}},
		{"headers slower than idle connections", func(_ *schema.HostRoute, c *schema.Configuration) {
			c.Limits.IdleTimeout = durationpb.New(time.Second)
		}, []string{"warning: limits: the header timeout of 3s is above the idle timeout of 1s"}},
		{"negative timeout", func(_ *schema.HostRoute, c *schema.Configuration) { c.Limits.HeaderTimeout = durationpb.New(-1) }, []string{
			"warning: limits: a timeout must not be negative",
		}},
		{"no limits", func(_ *schema.HostRoute, c *schema.Configuration) { c.Limits = nil }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, f := range Check(newConfiguration(change(tt.change))) {
				got = append(got, f.String())
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got  %s\nwant %s", strings.Join(got, "\n     "), strings.Join(tt.want, "\n     "))
			}
		})
	}
}

// TestCheckBaseMissesConflict guards against a change that the control hosts refuse, because another one came first.
func TestCheckBaseMissesConflict(t *testing.T) {
	tests := []struct {
		base, version, current uint64
		want                   int
	}{{0, 1, 0, 0}, {4, 5, 4, 0}, {4, 9, 4, 0}, {3, 5, 4, 1}, {4, 4, 4, 1}, {3, 4, 5, 2}}
	for _, tt := range tests {
		change := &schema.ReplaceConfiguration{BaseVersion: tt.base, Configuration: &schema.Configuration{Version: tt.version}}
		if got := CheckBase(change, tt.current); len(got) != tt.want {
			t.Errorf("base %d, version %d while %d is in force: %v, want %d findings", tt.base, tt.version, tt.current, got, tt.want)
		}
	}
}

// TestCompareMissesChange guards against a difference that is not shown to the operator.
func TestCompareMissesChange(t *testing.T) {
	tests := []struct {
		name   string
		change func(route *schema.HostRoute, c *schema.Configuration)
		want   []string
	}{
		{"none", func(_ *schema.HostRoute, c *schema.Configuration) { slices.Reverse(c.Routes) }, nil},
		{"version", func(_ *schema.HostRoute, c *schema.Configuration) { c.Version = 3 }, nil},
		{"route added", func(_ *schema.HostRoute, c *schema.Configuration) {
			c.Routes = append(c.Routes, &schema.HostRoute{Name: "c"})
		}, []string{`route "c": added`}},
		{"service and route removed", func(_ *schema.HostRoute, c *schema.Configuration) {
			c.Routes, c.Services = c.Routes[:1], c.Services[:1]
		}, []string{`route "b": removed`, `service "s2": removed`}},
		{"values of a route", func(r *schema.HostRoute, _ *schema.Configuration) {
			r.Open, r.MaxAttempts, r.Timeout, r.Shares[1].Weight = false, 3, durationpb.New(time.Minute), 2
		}, []string{
			`route "b": shares: [s1 1, s2 2], was [s1 1, s2 0.5]`, `route "b": open: false, was true`, `route "b": timeout: 1m0s, was 2s`,
			`route "b": maxAttempts: 3, was 0`,
		}},
		{"target latency removed", func(_ *schema.HostRoute, c *schema.Configuration) { c.Routes[0].ObjectiveLatency = nil }, []string{
			`route "a": objectiveLatency: not set, was 1s`,
		}},
		{"health path", func(_ *schema.HostRoute, c *schema.Configuration) { c.Services[1].HealthPath = "/x" }, []string{
			`service "s2": healthPath: /x, was `,
		}},
		{"account without a limit", func(_ *schema.HostRoute, c *schema.Configuration) {
			c.Accounts[0].Policy = &schema.Policy{Unlimited: proto.Bool(true)}
		}, []string{
			`client account "school": rate: not set, was 5`, `client account "school": burst: not set, was 5`,
			`client account "school": unlimited: true, was false`,
		}},
		{"key replaced", func(_ *schema.HostRoute, c *schema.Configuration) { c.Accounts[0].KeyDigests = [][]byte{{1}, {2}} }, []string{
			`client account "school": keys: 2 added, 1 withdrawn`,
		}},
		{"limits", func(_ *schema.HostRoute, c *schema.Configuration) { c.Limits.MaxBodyBytes = 7 }, []string{
			"limits: maxBodyBytes: 7, was 1048576",
		}},
		{"limits removed", func(_ *schema.HostRoute, c *schema.Configuration) { c.Limits = nil }, []string{
			"limits: maxHeaderBytes: 0, was 16384", "limits: maxBodyBytes: 0, was 1048576", "limits: headerTimeout: not set, was 3s",
			"limits: idleTimeout: not set, was 15s",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Compare(newConfiguration(), newConfiguration(change(tt.change))); !slices.Equal(got, tt.want) {
				t.Errorf("got  %s\nwant %s", strings.Join(got, "\n     "), strings.Join(tt.want, "\n     "))
			}
		})
	}
}
