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

// DefaultMaxCertificateAge is the maximum age of a freshness certificate under which a node accepts keys, unless the
// settings limit how long withdrawn keys may work.
const DefaultMaxCertificateAge = 2500 * time.Millisecond

// CertificateAgeShare is the maximum age of a freshness certificate as a share of the limit for withdrawn keys. The
// rest of the limit covers requests that are in flight when the certificate expires.
const CertificateAgeShare = 0.8

// DigestSize is the size of a key's digest in bytes.
const DigestSize = 32

// Digest is the SHA-256 digest of a key.
type Digest [DigestSize]byte

// KeyEntry describes an API key without its secret.
type KeyEntry struct {
	ID        string
	Account   string
	Withdrawn bool
}

// AccountPolicy holds the effective settings of a client account.
type AccountPolicy struct {
	Account string
	// Rate is in requests per second and Burst in requests.
	Rate     float64
	Burst    float64
	Priority uint32
	// Unlimited reports whether the account is exempt from rate limiting.
	Unlimited bool
	// Importance overrides the importance of routes if it is not nil.
	Importance *uint32
}

// Route holds the effective settings for requests of one route, or for requests of a service that match no route.
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
	// Attempts is the maximum number of upstreams that one request may be sent to. Zero means that only Retries limits
	// it.
	Attempts uint32
}

// View is an immutable snapshot of the settings tree, client accounts and keys at one revision.
type View struct {
	Revision       uint64
	keys           map[Digest]KeyEntry
	withdrawn      map[string]bool
	policies       map[string]*AccountPolicy
	routes         map[string][]*Route
	defaultRoute   *Route
	tokenKeys      map[uint32][]byte
	newestTokenKey uint32
	hostRoutes     map[string][]*HostRoute
	// Limits restricts what callers may send. It is nil before the first full configuration.
	Limits *schema.CallerLimits
	// healthPaths holds the path of each service's health check.
	healthPaths map[string]string
	// coldRates holds the requests per second that a cold upstream of a service takes.
	coldRates map[string]float64
	evacuated map[string]bool
}

// HealthPath returns the path of the health check of a service's upstreams. It is empty if the service has none.
func (v *View) HealthPath(service string) string {
	return v.healthPaths[service]
}

// Key returns the key with the given digest, and whether there is one.
func (v *View) Key(d Digest) (KeyEntry, bool) {
	k, ok := v.keys[d]
	return k, ok
}

// IsWithdrawn reports whether the key with the given ID was withdrawn.
func (v *View) IsWithdrawn(id string) bool {
	return v.withdrawn[id]
}

// AccountPolicy returns the effective settings of a client account, or nil if there is no such account.
func (v *View) AccountPolicy(account string) *AccountPolicy {
	return v.policies[account]
}

// Route returns the effective settings for a request path of a service. If no route of the service matches, these are
// the settings of the service, or of the root if it has no branch.
func (v *View) Route(service, path string) *Route {
	for _, r := range v.routes[service] {
		if hasPathPrefix(path, r.Prefix) {
			return r
		}
	}
	r := *v.defaultRoute
	r.Service = service
	return &r
}

// HasService reports whether the settings tree has a branch for a service or one of its routes.
func (v *View) HasService(service string) bool {
	return len(v.routes[service]) > 0
}

// hasPathPrefix reports whether path equals prefix or is below it in whole path segments.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// TokenKey returns the secret of the token key with the given ID, and whether there is one.
func (v *View) TokenKey(id uint32) ([]byte, bool) {
	s, ok := v.tokenKeys[id]
	return s, ok
}

// NewestTokenKey returns the ID and the secret of the key that signs new tokens. The ID is zero if there is no key.
func (v *View) NewestTokenKey() (uint32, []byte) {
	return v.newestTokenKey, v.tokenKeys[v.newestTokenKey]
}

// ViewBuilder applies deltas and builds views from the result. It is not safe for concurrent use.
type ViewBuilder struct {
	revision   uint64
	branches   map[string]*schema.Branch
	accounts   map[string]*schema.Account
	keys       map[string]*schema.Key
	tokenKeys  map[uint32]*schema.TokenKey
	hostRoutes map[string]*schema.HostRoute
	head       *schema.ConfigurationHead
	domains    map[string]*schema.FailureDomain
}

// NewViewBuilder returns a builder without any settings.
func NewViewBuilder() *ViewBuilder {
	return &ViewBuilder{
		branches:   map[string]*schema.Branch{},
		accounts:   map[string]*schema.Account{},
		keys:       map[string]*schema.Key{},
		tokenKeys:  map[uint32]*schema.TokenKey{},
		hostRoutes: map[string]*schema.HostRoute{},
		domains:    map[string]*schema.FailureDomain{},
	}
}

// Revision returns the revision of the last applied delta.
func (vb *ViewBuilder) Revision() uint64 {
	return vb.revision
}

// Apply applies the changes since the current revision up to the given revision. If the given revision is older than the
// current one, it changes nothing and returns false.
func (vb *ViewBuilder) Apply(revision uint64, d *schema.Delta) bool {
	if revision < vb.revision {
		return false
	}
	vb.revision = revision
	for _, b := range d.GetBranches() {
		vb.branches[b.GetPath()] = b
	}
	for _, a := range d.GetAccounts() {
		vb.accounts[a.GetId()] = a
	}
	for _, k := range d.GetKeys() {
		vb.keys[k.GetId()] = k
	}
	for _, k := range d.GetTokenKeys() {
		vb.tokenKeys[k.GetId()] = k
	}
	for _, r := range d.GetHostRoutes() {
		vb.hostRoutes[r.GetName()] = r
	}
	for _, f := range d.GetFailureDomains() {
		vb.domains[f.GetName()] = f
	}
	if d.GetHead() != nil {
		vb.head = d.GetHead()
	}
	return true
}

// Build returns a view of the current revision.
func (vb *ViewBuilder) Build() *View {
	v := &View{
		Revision:  vb.revision,
		keys:      make(map[Digest]KeyEntry, len(vb.keys)),
		withdrawn: map[string]bool{},
		policies:  make(map[string]*AccountPolicy, len(vb.accounts)),
		routes:    map[string][]*Route{},
		tokenKeys: make(map[uint32][]byte, len(vb.tokenKeys)),
	}
	for _, k := range vb.keys {
		v.keys[Digest(k.GetDigest())] = KeyEntry{ID: k.GetId(), Account: k.GetAccount(), Withdrawn: k.GetWithdrawn()}
		if k.GetWithdrawn() {
			v.withdrawn[k.GetId()] = true
		}
	}
	for id, a := range vb.accounts {
		p := Resolve(vb.branch, AccountPath(id), a.GetGroup()).Policy
		v.policies[id] = &AccountPolicy{
			Account: id, Rate: p.GetRate(), Burst: p.GetBurst(), Priority: p.GetPriority(), Unlimited: p.GetUnlimited(),
			Importance: accountImportance(vb.branches[AccountPath(id)]),
		}
	}
	for id, k := range vb.tokenKeys {
		v.tokenKeys[id] = k.GetSecret()
		v.newestTokenKey = max(v.newestTokenKey, id)
	}
	vb.buildRoutes(v)
	v.hostRoutes = buildHostRoutes(vb.hostRoutes)
	v.Limits = vb.head.GetLimits()
	v.healthPaths, v.coldRates = map[string]string{}, map[string]float64{}
	for _, s := range vb.head.GetServices() {
		v.healthPaths[s.GetName()] = s.GetHealthPath()
		v.coldRates[s.GetName()] = s.GetColdRate()
	}
	v.evacuated = evacuatedDomains(vb.domains)
	return v
}

// accountImportance returns the importance that is set on an account's branch itself, or nil. It ignores inherited and
// default values.
func accountImportance(b *schema.Branch) *uint32 {
	if b.GetPolicy() == nil {
		return nil
	}
	return b.GetPolicy().Importance
}

func (vb *ViewBuilder) branch(path string) *schema.Branch {
	return vb.branches[path]
}

func (vb *ViewBuilder) buildRoutes(v *View) {
	v.defaultRoute = newRoute("", "", Resolve(vb.branch, RootPath, "").Policy)
	for path, b := range vb.branches {
		rest, ok := strings.CutPrefix(path, "service/")
		if !ok || b.GetRemoved() {
			continue
		}
		service, name, _ := strings.Cut(rest, "/route/")
		v.routes[service] = append(v.routes[service], newRoute(service, name, Resolve(vb.branch, path, "").Policy))
	}
	for service, routes := range v.routes {
		hasDefault := slices.ContainsFunc(routes, func(r *Route) bool { return r.Name == "" })
		if !hasDefault {
			routes = append(routes, newRoute(service, "", Resolve(vb.branch, ServicePath(service), "").Policy))
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

// Fingerprint returns a hash of a set of workers. It does not depend on their order.
func Fingerprint(workers []*schema.Worker) uint64 {
	sum := uint64(0)
	for _, w := range workers {
		text := strings.Join([]string{
			w.GetNode(), w.GetService(), w.GetPeerAddress(), w.GetFailureDomain(), w.GetRegion(),
			strconv.FormatUint(uint64(w.GetSlots()), 10), w.GetState().String(), w.GetInstance(),
		}, "\n")
		if w.GetCold() {
			text += "\ncold"
		}
		sum ^= xxhash.Sum64String(text)
	}
	return sum
}
