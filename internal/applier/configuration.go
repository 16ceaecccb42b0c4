package applier

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// maxAcceptedDigests bounds the stored digests of accepted documents, by which repeated commands are recognized.
const maxAcceptedDigests = 10000

// replaceConfiguration puts a full configuration in force and reports whether the state changed. A document that was
// accepted before is acknowledged again without effect.
func (m *Machine) replaceConfiguration(index uint64, c *schema.ReplaceConfiguration) (res *schema.Result, changed bool) {
	next := c.GetConfiguration()
	digest := sha256.Sum256(next.GetDocument())
	if slices.ContainsFunc(m.acceptedDigests, func(d []byte) bool { return bytes.Equal(d, digest[:]) }) {
		return &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_OK, Revision: m.head.GetRevision()}, false
	}
	if err := resolver.CheckConfiguration(next); err != nil {
		return invalid("%s", err), false
	}
	current := m.head.GetVersion()
	if c.GetBaseVersion() != current {
		return failure(schema.ResultStatus_RESULT_STATUS_CONFLICT,
			"version %d is in force, not %d; read it and decide again", current, c.GetBaseVersion()), false
	}
	if next.GetVersion() <= current {
		return invalid("version %d is not above version %d, which is in force", next.GetVersion(), current), false
	}
	m.putHostRoutes(index, next.GetRoutes())
	m.putAccounts(index, next.GetAccounts())
	m.head = &schema.ConfigurationHead{
		Version: next.GetVersion(), Services: next.GetServices(), Limits: next.GetLimits(), Revision: index,
	}
	m.document = next.GetDocument()
	m.acceptedDigests = append(m.acceptedDigests, digest[:])
	m.acceptedDigests = m.acceptedDigests[max(0, len(m.acceptedDigests)-maxAcceptedDigests):]
	return &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_OK}, true
}

// putHostRoutes replaces the routes. An unchanged route keeps its revision, so that it is not sent to the nodes again.
func (m *Machine) putHostRoutes(index uint64, routes []*schema.HostRoute) {
	named := map[string]bool{}
	for _, r := range routes {
		named[r.GetName()] = true
		updated := proto.Clone(r).(*schema.HostRoute)
		if old := m.routes[r.GetName()]; old != nil {
			updated.Revision = old.GetRevision()
			if proto.Equal(updated, old) {
				continue
			}
		}
		updated.Revision = index
		m.routes[r.GetName()] = updated
	}
	for name, old := range m.routes {
		if !named[name] && !old.GetRemoved() {
			m.routes[name] = &schema.HostRoute{Name: name, Removed: true, Revision: index}
		}
	}
}

// putAccounts replaces the policies and keys of the client accounts in a full configuration, and withdraws keys of earlier
// configurations that it does not list. Other accounts, and keys that operators issued individually, stay unchanged.
func (m *Machine) putAccounts(index uint64, accounts []*schema.AccountTerms) {
	listed := map[string]string{}
	for _, a := range accounts {
		m.putAccountPolicy(index, a)
		for _, d := range a.GetKeyDigests() {
			listed[documentKeyID(d)] = a.GetId()
			m.putDocumentKey(index, &schema.Key{Id: documentKeyID(d), Account: a.GetId(), Digest: d})
		}
	}
	for id, k := range m.keys {
		if _, ok := listed[id]; ok || k.GetWithdrawn() || id != documentKeyID(k.GetDigest()) {
			continue
		}
		m.putDocumentKey(index, &schema.Key{Id: id, Account: k.GetAccount(), Digest: k.GetDigest(), Withdrawn: true})
	}
}

func (m *Machine) putAccountPolicy(index uint64, a *schema.AccountTerms) {
	path := resolver.AccountPath(a.GetId())
	if m.accounts[a.GetId()] == nil {
		m.accounts[a.GetId()] = &schema.Account{Id: a.GetId(), Version: 1, Revision: index}
	}
	old := m.branches[path]
	if old != nil && !old.GetRemoved() && proto.Equal(old.GetPolicy(), a.GetPolicy()) {
		return
	}
	m.branches[path] = &schema.Branch{Path: path, Version: old.GetVersion() + 1, Policy: a.GetPolicy(), Revision: index}
}

func (m *Machine) putDocumentKey(index uint64, k *schema.Key) {
	old := m.keys[k.GetId()]
	if old != nil && old.GetAccount() == k.GetAccount() && old.GetWithdrawn() == k.GetWithdrawn() {
		return
	}
	k.Revision = index
	m.putKey(k)
}

// keyIDSize is the number of bytes of a key's digest that form the ID of a key in a full configuration. Each call between
// nodes carries the ID. At 96 bits the probability that two of a million keys share an ID is 1 in 10^17.
const keyIDSize = 12

// documentKeyID returns the ID of a key in a full configuration, made from the key's digest.
func documentKeyID(digest []byte) string {
	return "d-" + hex.EncodeToString(digest[:keyIDSize])
}

// Configuration returns the version and the document of the configuration in force. The version is zero if there is none
// yet.
func (m *Machine) Configuration() (version uint64, document []byte) {
	return m.head.GetVersion(), m.document
}
