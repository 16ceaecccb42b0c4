package applier

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Messages in the state are immutable, because the deltas for nodes and the stored results share them.

// applyChange applies a command that changes the settings tree, client accounts or keys.
func (m *Machine) applyChange(index uint64, cmd *schema.Command) *schema.Result {
	switch c := cmd.GetChange().(type) {
	case *schema.Command_CreateAccount:
		return m.createAccount(index, c.CreateAccount)
	case *schema.Command_SetBranch:
		return m.setBranch(index, cmd, c.SetBranch)
	case *schema.Command_UnsetBranch:
		return m.unsetBranch(index, cmd, c.UnsetBranch)
	case *schema.Command_IssueKey:
		return m.issueKey(index, c.IssueKey)
	case *schema.Command_WithdrawKey:
		return m.withdrawKey(index, c.WithdrawKey)
	case *schema.Command_AddTokenKey:
		return m.addTokenKey(index, c.AddTokenKey)
	case *schema.Command_EvacuateDomain:
		return m.evacuateDomain(index, c.EvacuateDomain)
	default:
		return invalid("unknown command")
	}
}

func (m *Machine) createAccount(index uint64, c *schema.CreateAccount) *schema.Result {
	if !resolver.IsName(c.GetId()) {
		return invalid("bad account id %q, want lower-case letters, digits and dashes", c.GetId())
	}
	if c.GetGroup() != "" && !resolver.IsName(c.GetGroup()) {
		return invalid("bad group %q, want lower-case letters, digits and dashes", c.GetGroup())
	}
	if a, ok := m.accounts[c.GetId()]; ok {
		res := failure(schema.ResultStatus_RESULT_STATUS_EXISTS, "account %q exists", c.GetId())
		res.Account = a
		return res
	}
	path := resolver.AccountPath(c.GetId())
	if err := resolver.CheckPolicy(path, c.GetPolicy()); err != nil {
		return invalid("%s", err)
	}
	policy := c.GetPolicy()
	if policy == nil {
		policy = &schema.Policy{}
	}
	a := &schema.Account{Id: c.GetId(), Group: c.GetGroup(), Version: 1, Revision: index}
	b := &schema.Branch{Path: path, Version: m.branches[path].GetVersion() + 1, Policy: policy, Revision: index}
	m.accounts[a.GetId()] = a
	m.branches[path] = b
	return &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_OK, Account: a, Branch: b}
}

func (m *Machine) setBranch(index uint64, cmd *schema.Command, c *schema.SetBranch) *schema.Result {
	if err := resolver.CheckPolicy(c.GetPath(), c.GetPolicy()); err != nil {
		return invalid("%s", err)
	}
	if res := m.checkBranch(cmd, c.GetPath()); res != nil {
		return res
	}
	policy := &schema.Policy{}
	if old := m.branches[c.GetPath()]; old.GetPolicy() != nil {
		policy = proto.Clone(old.GetPolicy()).(*schema.Policy)
	}
	if c.GetPolicy() != nil {
		resolver.Merge(policy, c.GetPolicy())
	}
	return m.putBranch(index, c.GetPath(), policy, false)
}

func (m *Machine) unsetBranch(index uint64, cmd *schema.Command, c *schema.UnsetBranch) *schema.Result {
	old := m.branches[c.GetPath()]
	if old == nil || old.GetRemoved() {
		return failure(schema.ResultStatus_RESULT_STATUS_NOT_FOUND, "no branch %q", c.GetPath())
	}
	if res := m.checkBranch(cmd, c.GetPath()); res != nil {
		return res
	}
	if len(c.GetFields()) == 0 {
		isAccount := strings.HasPrefix(c.GetPath(), "account/")
		return m.putBranch(index, c.GetPath(), &schema.Policy{}, !isAccount)
	}
	policy := proto.Clone(old.GetPolicy()).(*schema.Policy)
	fields := policy.ProtoReflect().Descriptor().Fields()
	for _, name := range c.GetFields() {
		fd := fields.ByJSONName(name)
		if fd == nil {
			fd = fields.ByName(protoreflect.Name(name))
		}
		if fd == nil {
			return invalid("no setting %q", name)
		}
		policy.ProtoReflect().Clear(fd)
	}
	return m.putBranch(index, c.GetPath(), policy, false)
}

// checkBranch returns the result that refuses a change of a branch, or nil if the change is allowed. It checks the version
// that the command requires, and that the client account exists.
func (m *Machine) checkBranch(cmd *schema.Command, path string) *schema.Result {
	old := m.branches[path]
	if cmd.IfVersion != nil && cmd.GetIfVersion() != old.GetVersion() {
		res := failure(schema.ResultStatus_RESULT_STATUS_CONFLICT, "%s has version %d, not %d; read it and decide again",
			path, old.GetVersion(), cmd.GetIfVersion())
		res.Branch = old
		return res
	}
	if strings.HasPrefix(path, "account/") && m.accountAtPath(path) == nil {
		return failure(schema.ResultStatus_RESULT_STATUS_NOT_FOUND, "no %s; create the account first", path)
	}
	return nil
}

func (m *Machine) putBranch(index uint64, path string, policy *schema.Policy, removed bool) *schema.Result {
	b := &schema.Branch{
		Path: path, Version: m.branches[path].GetVersion() + 1, Policy: policy, Revision: index, Removed: removed,
	}
	m.branches[path] = b
	return &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_OK, Branch: b}
}

func (m *Machine) accountAtPath(path string) *schema.Account {
	id, ok := strings.CutPrefix(path, "account/")
	if !ok {
		return nil
	}
	return m.accounts[id]
}

func (m *Machine) issueKey(index uint64, c *schema.IssueKey) *schema.Result {
	switch {
	case m.accounts[c.GetAccount()] == nil:
		return failure(schema.ResultStatus_RESULT_STATUS_NOT_FOUND, "no account %q", c.GetAccount())
	case len(c.GetDigest()) != resolver.DigestSize:
		return invalid("a key's digest has %d bytes", resolver.DigestSize)
	case !resolver.IsName(c.GetKeyId()):
		return invalid("bad key id %q, want lower-case letters, digits and dashes", c.GetKeyId())
	case m.keys[c.GetKeyId()] != nil:
		return failure(schema.ResultStatus_RESULT_STATUS_EXISTS, "key %q exists", c.GetKeyId())
	case m.keyIDs[resolver.Digest(c.GetDigest())] != "":
		return failure(schema.ResultStatus_RESULT_STATUS_EXISTS, "this key was issued before")
	}
	k := &schema.Key{Id: c.GetKeyId(), Account: c.GetAccount(), Digest: c.GetDigest(), Revision: index}
	m.putKey(k)
	return &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_OK, Key: k}
}

func (m *Machine) withdrawKey(index uint64, c *schema.WithdrawKey) *schema.Result {
	old := m.keys[c.GetKeyId()]
	if old == nil {
		return failure(schema.ResultStatus_RESULT_STATUS_NOT_FOUND, "no key %q", c.GetKeyId())
	}
	k := proto.Clone(old).(*schema.Key)
	if !k.GetWithdrawn() {
		k.Withdrawn = true
		k.Revision = index
	}
	m.putKey(k)
	return &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_OK, Key: k}
}

func (m *Machine) addTokenKey(index uint64, c *schema.AddTokenKey) *schema.Result {
	if len(c.GetSecret()) < resolver.DigestSize {
		return invalid("a token key has at least %d bytes", resolver.DigestSize)
	}
	id := uint32(1)
	for known := range m.tokenKeys {
		id = max(id, known+1)
	}
	m.tokenKeys[id] = &schema.TokenKey{Id: id, Secret: c.GetSecret(), Revision: index}
	return &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_OK}
}

func invalid(format string, args ...any) *schema.Result {
	return failure(schema.ResultStatus_RESULT_STATUS_INVALID, format, args...)
}

func failure(status schema.ResultStatus, format string, args ...any) *schema.Result {
	return &schema.Result{Status: status, Message: fmt.Sprintf(format, args...)}
}
