package forwarder

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderhub/lavenderhub/internal/exporter"
)

const (
	// maxAccountMeters bounds the memory for the counters of client accounts.
	maxAccountMeters = 1000
	// otherAccounts is the label of all accounts beyond maxAccountMeters.
	otherAccounts = "other"
)

// accountMeter counts the requests of one client account that got a token, and those refused for its rate.
type accountMeter struct {
	admitted    metrics.Counter
	rateLimited metrics.Counter
}

// accountMeters holds the counters of client accounts.
type accountMeters struct {
	registry metrics.Registry

	mu        sync.Mutex
	byAccount map[string]*accountMeter
}

// of returns the counters of an account, or those of all other accounts if there are too many.
func (a *accountMeters) of(account string) *accountMeter {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m := a.byAccount[account]; m != nil {
		return m
	}
	if len(a.byAccount) >= maxAccountMeters {
		account = otherAccounts
	}
	m := a.byAccount[account]
	if m == nil {
		m = &accountMeter{
			admitted:    metrics.GetOrRegisterCounter(exporter.Labeled("accounts.admitted", "account", account), a.registry),
			rateLimited: metrics.GetOrRegisterCounter(exporter.Labeled("accounts.rateLimited", "account", account), a.registry),
		}
		a.byAccount[account] = m
	}
	return m
}
