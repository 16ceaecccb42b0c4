// Package applier holds the replicated state of the control hosts and applies committed commands to it. It is
// deterministic: the same commands in the same order give the same state on every replica.
package applier

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Bounds on the stored results, by which repeated commands are recognized.
const (
	// ResultRetention is how long the result of a command is stored.
	ResultRetention = 24 * time.Hour
	// maxResults bounds the number of stored results.
	maxResults = 20000
)

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	revision        uint64
	timeMillis      int64
	branches        map[string]*schema.Branch
	accounts        map[string]*schema.Account
	keys            map[string]*schema.Key
	keyIDs          map[resolver.Digest]string
	tokenKeys       map[uint32]*schema.TokenKey
	results         map[string]*schema.StoredResult
	resultOrder     []string
	claims          claimTable
	routes          map[string]*schema.HostRoute
	head            *schema.ConfigurationHead
	document        []byte
	acceptedDigests [][]byte
	holders         map[string]bool
	domains         map[string]*schema.FailureDomain
	// carryoverEndTerm is the last term whose leader recorded the end of the carry-over from earlier leaders.
	carryoverEndTerm uint64
	deltaSince       uint64
	deltaCache       *schema.Delta
}

// New returns an empty Machine.
func New() *Machine {
	return &Machine{
		branches:  map[string]*schema.Branch{},
		accounts:  map[string]*schema.Account{},
		keys:      map[string]*schema.Key{},
		keyIDs:    map[resolver.Digest]string{},
		tokenKeys: map[uint32]*schema.TokenKey{},
		results:   map[string]*schema.StoredResult{},
		claims:    newClaimTable(),
		routes:    map[string]*schema.HostRoute{},
		holders:   map[string]bool{},
		domains:   map[string]*schema.FailureDomain{},
	}
}

// Revision returns the log index of the last command that changed state that is sent to nodes.
func (m *Machine) Revision() uint64 {
	return m.revision
}

// Outcome is the outcome of applying one command.
type Outcome struct {
	// Result is the result of an operator's command.
	Result *schema.Result
	// Claims holds the replies to a batch of claims, one for each change in its order.
	Claims []*schema.ClaimReply
}

// Apply applies the command in one log entry. It returns an error only if data is not a valid command.
func (m *Machine) Apply(index uint64, data []byte) (Outcome, error) {
	cmd := &schema.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return Outcome{}, errors.Wrapf(err, "read command %d", index)
	}
	m.timeMillis = max(m.timeMillis, cmd.GetTimeMillis())
	m.expire()
	if c := cmd.GetClaims(); c != nil {
		return Outcome{Claims: m.claims.apply(c.GetChanges(), m.timeMillis)}, nil
	}
	if c := cmd.GetNoteHolders(); c != nil {
		m.changeHolders(c)
		return Outcome{}, nil
	}
	if c := cmd.GetNoteDomains(); c != nil {
		m.noteDomains(c)
		return Outcome{}, nil
	}
	if c := cmd.GetEndCarry(); c != nil {
		m.carryoverEndTerm = c.GetTerm()
		return Outcome{}, nil
	}
	if c := cmd.GetReplaceConfiguration(); c != nil {
		res, changed := m.replaceConfiguration(index, c)
		if changed {
			m.setRevision(index, res)
		}
		return Outcome{Result: res}, nil
	}
	return Outcome{Result: m.applyOnce(index, cmd)}, nil
}

// applyOnce applies a command and stores its result. For a request ID that it has seen, it returns the stored result.
func (m *Machine) applyOnce(index uint64, cmd *schema.Command) *schema.Result {
	id := cmd.GetRequestId()
	digest := digestOf(cmd)
	if stored, ok := m.results[id]; ok && id != "" {
		if stored.GetDigest() != digest {
			return invalid("request id %q was used for another command", id)
		}
		return stored.GetResult()
	}
	res := m.applyChange(index, cmd)
	if res.GetStatus() == schema.ResultStatus_RESULT_STATUS_OK {
		m.setRevision(index, res)
	}
	if id != "" {
		m.storeResult(&schema.StoredResult{RequestId: id, Result: res, TimeMillis: m.timeMillis, Digest: digest})
	}
	return res
}

// setRevision sets the revision to the index of an entry that changed state sent to nodes.
func (m *Machine) setRevision(index uint64, res *schema.Result) {
	m.revision = index
	m.deltaCache = nil
	res.Revision = index
}

// digestOf returns a digest of a command without its time and request ID.
func digestOf(cmd *schema.Command) uint64 {
	c := proto.Clone(cmd).(*schema.Command)
	c.RequestId = ""
	c.TimeMillis = 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		panic(errors.Wrap(err, "marshal command"))
	}
	return xxhash.Sum64(data)
}

func (m *Machine) storeResult(r *schema.StoredResult) {
	m.results[r.GetRequestId()] = r
	m.resultOrder = append(m.resultOrder, r.GetRequestId())
}

func (m *Machine) expire() {
	oldest := m.timeMillis - ResultRetention.Milliseconds()
	for len(m.resultOrder) > 0 {
		r := m.results[m.resultOrder[0]]
		if r.GetTimeMillis() >= oldest && len(m.resultOrder) <= maxResults {
			break
		}
		delete(m.results, m.resultOrder[0])
		m.resultOrder = m.resultOrder[1:]
	}
	m.claims.expire(m.timeMillis)
}

// Delta returns what changed after a revision, or nil if nothing did. Callers must not modify it.
func (m *Machine) Delta(since uint64) *schema.Delta {
	if since >= m.revision {
		return nil
	}
	if m.deltaCache != nil && m.deltaSince == since {
		return m.deltaCache
	}
	d := &schema.Delta{
		Branches:  changedSince(m.branches, since),
		Accounts:  changedSince(m.accounts, since),
		Keys:      changedSince(m.keys, since),
		TokenKeys: changedSince(m.tokenKeys, since),

		HostRoutes: changedSince(m.routes, since),

		FailureDomains: changedSince(m.domains, since),
	}
	if m.head.GetRevision() > since {
		d.Head = m.head
	}
	m.deltaSince, m.deltaCache = since, d
	return d
}

type revisioned interface {
	GetRevision() uint64
}

func changedSince[K comparable, V revisioned](all map[K]V, since uint64) []V {
	var out []V
	for _, v := range all {
		if v.GetRevision() > since {
			out = append(out, v)
		}
	}
	return out
}

// Branch returns a branch of the settings tree, or nil.
func (m *Machine) Branch(path string) *schema.Branch {
	return m.branches[path]
}

// Effective returns the effective policy at a path of the settings tree, and the origin of each value.
func (m *Machine) Effective(path string) resolver.Effective {
	group := ""
	if a := m.accountAtPath(path); a != nil {
		group = a.GetGroup()
	}
	return resolver.Resolve(m.Branch, path, group)
}

// Accounts returns all client accounts, sorted by ID.
func (m *Machine) Accounts() []*schema.Account {
	ids := slices.Sorted(maps.Keys(m.accounts))
	out := make([]*schema.Account, len(ids))
	for i, id := range ids {
		out[i] = m.accounts[id]
	}
	return out
}

// Keys returns the keys of an account, sorted by ID. If account is empty, it returns the keys of all accounts.
func (m *Machine) Keys(account string) []*schema.Key {
	var out []*schema.Key
	for _, id := range slices.Sorted(maps.Keys(m.keys)) {
		if k := m.keys[id]; account == "" || k.GetAccount() == account {
			out = append(out, k)
		}
	}
	return out
}

// HasTokenKey reports whether a key for request tokens exists.
func (m *Machine) HasTokenKey() bool {
	return len(m.tokenKeys) > 0
}

// Snapshot returns the whole state, encoded for Restore.
func (m *Machine) Snapshot() []byte {
	s := &schema.State{
		Revision:   m.revision,
		TimeMillis: m.timeMillis,
		Branches:   slices.Collect(maps.Values(m.branches)),
		Accounts:   slices.Collect(maps.Values(m.accounts)),
		Keys:       slices.Collect(maps.Values(m.keys)),
		TokenKeys:  slices.Collect(maps.Values(m.tokenKeys)),
		Claims:     m.claims.stored(),
		HostRoutes: slices.Collect(maps.Values(m.routes)),
		Head:       m.head,
		Document:   m.document,
		Accepted:   m.acceptedDigests,
		Holders:    m.Holders(),
		CarryEnded: m.carryoverEndTerm,

		FailureDomains: m.Domains(),
	}
	for _, id := range m.resultOrder {
		s.Results = append(s.Results, m.results[id])
	}
	data, err := proto.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "marshal state"))
	}
	return data
}

// Restore replaces the state by that of a snapshot. It returns an error if data is not a valid snapshot.
func (m *Machine) Restore(data []byte) error {
	s := &schema.State{}
	if err := proto.Unmarshal(data, s); err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	*m = *New()
	m.revision = s.GetRevision()
	m.timeMillis = s.GetTimeMillis()
	for _, b := range s.GetBranches() {
		m.branches[b.GetPath()] = b
	}
	for _, a := range s.GetAccounts() {
		m.accounts[a.GetId()] = a
	}
	for _, k := range s.GetKeys() {
		m.putKey(k)
	}
	for _, k := range s.GetTokenKeys() {
		m.tokenKeys[k.GetId()] = k
	}
	for _, r := range s.GetResults() {
		m.storeResult(r)
	}
	for _, c := range s.GetClaims() {
		m.claims.insert(c)
	}
	for _, r := range s.GetHostRoutes() {
		m.routes[r.GetName()] = r
	}
	m.head, m.document, m.acceptedDigests = s.GetHead(), s.GetDocument(), s.GetAccepted()
	m.carryoverEndTerm = s.GetCarryEnded()
	for _, d := range s.GetFailureDomains() {
		m.domains[d.GetName()] = d
	}
	for _, name := range s.GetHolders() {
		m.holders[name] = true
	}
	return nil
}

func (m *Machine) putKey(k *schema.Key) {
	m.keys[k.GetId()] = k
	m.keyIDs[resolver.Digest(k.GetDigest())] = k.GetId()
}
