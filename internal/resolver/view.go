package resolver

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderhub/lavenderhub/schema"
)

// MaxCertificateAge is the oldest certificate of freshness under which a node honours keys, unless the settings set a
// limit for withdrawn keys.
const MaxCertificateAge = 2500 * time.Millisecond

// CertificateAgeShare is the part of the limit for withdrawn keys that a certificate may age. The rest covers requests that
// are on their way when it runs out.
const CertificateAgeShare = 0.8

// DigestSize is the length of a key's digest in bytes.
const DigestSize = 32

// Digest is the SHA-256 of a key.
type Digest [DigestSize]byte

// KeyEntry is what a view knows of a key.
type KeyEntry struct {
	ID        string
	Account   string
	Withdrawn bool
}

// AccountPolicy are the values in force for a client account.
type AccountPolicy struct {
	Account  string
	Rate     float64
	Burst    float64
	Priority uint32
	// Unlimited tells that the account has no rate.
	Unlimited bool
	// Importance takes the place of the routes' importance, when it is set.
	Importance *uint32
}

// Route holds the values in force for requests of one route, or of a service outside its routes.
type Route struct {
	Service          string
	Name             string
	Prefix           string
	Importance       uint32
	Timeout          time.Duration
	Idempotent       *bool
	Open             bool
	Retries          uint32
	Objective        float64
	ObjectiveLatency time.Duration
	// Attempts is the most upstreams that one request may be sent to; zero means no bound but Retries.
	Attempts uint32
}

// View is an immutable picture of the settings tree, accounts and keys at one revision.
type View struct {
	Revision  uint64
	keys      map[Digest]KeyEntry
	withdrawn map[string]bool
	terms     map[string]*AccountPolicy
	routes    map[string][]*Route
	fallback  *Route
	tokenKeys map[uint32][]byte
	newestKey uint32
	hosts     map[string][]*HostRoute
	// Limits bounds what callers may send; it is nil before the first whole configuration.
	Limits *schema.CallerLimits
	// health holds the path of the health check of each service.
	health map[string]string
}

// HealthPath returns the path of the health check of a service's upstreams, or nothing.
func (v *View) HealthPath(service string) string {
	return v.health[service]
}

// Key returns the key with a digest.
func (v *View) Key(d Digest) (KeyEntry, bool) {
	k, ok := v.keys[d]
	return k, ok
}

// IsWithdrawn reports whether the key with an id no longer works.
func (v *View) IsWithdrawn(id string) bool {
	return v.withdrawn[id]
}

// AccountPolicy returns the terms of a client account, or nil.
func (v *View) AccountPolicy(account string) *AccountPolicy {
	return v.terms[account]
}

// Route returns the values in force for a path below a service.
func (v *View) Route(service, path string) *Route {
	for _, r := range v.routes[service] {
		if isBelow(path, r.Prefix) {
			return r
		}
	}
	r := *v.fallback
	r.Service = service
	return &r
}

// HasService reports whether the settings tree has a branch of a service.
func (v *View) HasService(service string) bool {
	return len(v.routes[service]) > 0
}

// isBelow reports whether path is prefix or lies below it, by whole segments.
func isBelow(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// TokenKey returns the secret with an id.
func (v *View) TokenKey(id uint32) ([]byte, bool) {
	s, ok := v.tokenKeys[id]
	return s, ok
}

// NewestTokenKey returns the secret that signs new tokens. The id is zero when there is none.
func (v *View) NewestTokenKey() (uint32, []byte) {
	return v.newestKey, v.tokenKeys[v.newestKey]
}

// ViewBuilder collects deltas and builds views. It is not safe for concurrent use.
type ViewBuilder struct {
	revision  uint64
	branches  map[string]*schema.Branch
	accounts  map[string]*schema.Account
	keys      map[string]*schema.Key
	tokenKeys map[uint32]*schema.TokenKey
	routes    map[string]*schema.HostRoute
	head      *schema.ConfigurationHead
}

// NewViewBuilder returns an empty Mirror.
func NewViewBuilder() *ViewBuilder {
	return &ViewBuilder{
		branches:  map[string]*schema.Branch{},
		accounts:  map[string]*schema.Account{},
		keys:      map[string]*schema.Key{},
		tokenKeys: map[uint32]*schema.TokenKey{},
		routes:    map[string]*schema.HostRoute{},
	}
}

// Revision returns the revision up to which deltas were applied.
func (m *ViewBuilder) Revision() uint64 {
	return m.revision
}

// Apply takes in the changes after the mirror's revision up to the given one. It returns false, and changes
// nothing, when the revision is older than the mirror's.
func (m *ViewBuilder) Apply(revision uint64, d *schema.Delta) bool {
	if revision < m.revision {
		return false
	}
	m.revision = revision
	for _, b := range d.GetBranches() {
		m.branches[b.GetPath()] = b
	}
	for _, a := range d.GetAccounts() {
		m.accounts[a.GetId()] = a
	}
	for _, k := range d.GetKeys() {
		m.keys[k.GetId()] = k
	}
	for _, k := range d.GetTokenKeys() {
		m.tokenKeys[k.GetId()] = k
	}
	for _, r := range d.GetHostRoutes() {
		m.routes[r.GetName()] = r
	}
	if d.GetHead() != nil {
		m.head = d.GetHead()
	}
	return true
}

// Build returns the view of what was applied.
func (m *ViewBuilder) Build() *View {
	v := &View{
		Revision:  m.revision,
		keys:      make(map[Digest]KeyEntry, len(m.keys)),
		withdrawn: map[string]bool{},
		terms:     make(map[string]*AccountPolicy, len(m.accounts)),
		routes:    map[string][]*Route{},
		tokenKeys: make(map[uint32][]byte, len(m.tokenKeys)),
	}
	for _, k := range m.keys {
		v.keys[Digest(k.GetDigest())] = KeyEntry{ID: k.GetId(), Account: k.GetAccount(), Withdrawn: k.GetWithdrawn()}
		if k.GetWithdrawn() {
			v.withdrawn[k.GetId()] = true
		}
	}
	for id, a := range m.accounts {
		p := Resolve(m.branch, AccountPath(id), a.GetGroup()).Policy
		v.terms[id] = &AccountPolicy{
			Account: id, Rate: p.GetRate(), Burst: p.GetBurst(), Priority: p.GetPriority(), Unlimited: p.GetUnlimited(),
			Importance: ownImportance(m.branches[AccountPath(id)]),
		}
	}
	for id, k := range m.tokenKeys {
		v.tokenKeys[id] = k.GetSecret()
		v.newestKey = max(v.newestKey, id)
	}
	m.buildRoutes(v)
	v.hosts = buildHostRoutes(m.routes)
	v.Limits = m.head.GetLimits()
	v.health = map[string]string{}
	for _, s := range m.head.GetServices() {
		v.health[s.GetName()] = s.GetHealthPath()
	}
	return v
}

// ownImportance returns the importance that an account's own branch sets, or nil.
func ownImportance(b *schema.Branch) *uint32 {
	if b.GetPolicy() == nil {
		return nil
	}
	return b.GetPolicy().Importance
}

func (m *ViewBuilder) branch(path string) *schema.Branch {
	return m.branches[path]
}

func (m *ViewBuilder) buildRoutes(v *View) {
	v.fallback = newRoute("", "", Resolve(m.branch, RootPath, "").Policy)
	for path, b := range m.branches {
		rest, ok := strings.CutPrefix(path, "service/")
		if !ok || b.GetRemoved() {
			continue
		}
		service, name, _ := strings.Cut(rest, "/route/")
		v.routes[service] = append(v.routes[service], newRoute(service, name, Resolve(m.branch, path, "").Policy))
	}
	for service, routes := range v.routes {
		hasDefault := slices.ContainsFunc(routes, func(r *Route) bool { return r.Name == "" })
		if !hasDefault {
			routes = append(routes, newRoute(service, "", Resolve(m.branch, ServicePath(service), "").Policy))
		}
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(b.Name, a.Name))
		})
		v.routes[service] = routes
	}
}

func newRoute(service, name string, p *schema.Policy) *Route {
	r := &Route{
		Service:          service,
		Name:             name,
		Importance:       p.GetImportance(),
		Timeout:          p.GetTimeout().AsDuration(),
		Idempotent:       p.Idempotent,
		Open:             p.GetOpen(),
		Retries:          p.GetRetries(),
		Objective:        p.GetObjective(),
		ObjectiveLatency: p.GetObjectiveLatency().AsDuration(),
	}
	if name != "" {
		r.Prefix = p.GetPrefix()
		if r.Prefix == "" {
			r.Prefix = "/" + name
		}
	}
	return r
}

// Fingerprint identifies a set of workers, in any order.
func Fingerprint(workers []*schema.Worker) uint64 {
	sum := uint64(0)
	for _, w := range workers {
		text := strings.Join([]string{
			w.GetNode(), w.GetService(), w.GetPeerAddress(), w.GetFailureDomain(), w.GetRegion(),
			strconv.FormatUint(uint64(w.GetSlots()), 10), w.GetState().String(), w.GetInstance(),
		}, "\n")
		sum ^= xxhash.Sum64String(text)
	}
	return sum
}
