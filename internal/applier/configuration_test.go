package applier

import (
	"crypto/sha256"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// replaceCommand returns a command that replaces the configuration of version base. If edit is not nil, it changes the new
// configuration.
func replaceCommand(document string, base, version uint64, edit func(*schema.Configuration)) *schema.ReplaceConfiguration {
	digest := sha256.Sum256([]byte("key-a"))
	c := &schema.Configuration{
		Version: version, Document: []byte(document),
		Services: []*schema.ServiceInfo{{Name: "orders"}},
		Routes: []*schema.HostRoute{{
			Name: "r1", Host: "a.example", Prefix: "/x/", Shares: []*schema.Share{{Service: "orders", Weight: 1}},
			Timeout: durationpb.New(time.Second),
		}},
		Accounts: []*schema.AccountTerms{{
			Id: "school", Policy: &schema.Policy{Rate: proto.Float64(10), Burst: proto.Float64(5)}, KeyDigests: [][]byte{digest[:]},
		}},
	}
	if edit != nil {
		edit(c)
	}
	return &schema.ReplaceConfiguration{BaseVersion: base, Configuration: c}
}

// replace applies a command at the next log index and returns its status.
func (r *replacer) replace(t *testing.T, c *schema.ReplaceConfiguration) schema.ResultStatus {
	t.Helper()
	r.index++
	data, err := proto.Marshal(&schema.Command{Change: &schema.Command_ReplaceConfiguration{ReplaceConfiguration: c}})
	if err != nil {
		t.Fatal(err)
	}
	out, err := r.machine.Apply(r.index, data)
	if err != nil {
		t.Fatal(err)
	}
	return out.Result.GetStatus()
}

type replacer struct {
	machine *Machine
	index   uint64
}

func TestReplaceConfiguration(t *testing.T) {
	const ok, conflict, invalid = schema.ResultStatus_RESULT_STATUS_OK, schema.ResultStatus_RESULT_STATUS_CONFLICT,
		schema.ResultStatus_RESULT_STATUS_INVALID
	unknownService := func(c *schema.Configuration) { c.Routes[0].Shares[0].Service = "cellar" }
	steps := []struct {
		name string
		cmd  *schema.ReplaceConfiguration
		want schema.ResultStatus
		// version is the version in force afterwards.
		version uint64
	}{
		{"missing base version", replaceCommand("b", 2, 5, nil), conflict, 0},
		{"first", replaceCommand("a", 0, 2, nil), ok, 2},
		{"first, repeated", replaceCommand("a", 0, 2, nil), ok, 2},
		{"invalid", replaceCommand("bad", 2, 9, unknownService), invalid, 2},
		{"second", replaceCommand("b", 2, 5, nil), ok, 5},
		{"concurrent change of the same base", replaceCommand("c", 2, 6, nil), conflict, 5},
		{"same version, different document", replaceCommand("d", 2, 5, nil), conflict, 5},
		{"version not increased", replaceCommand("e", 5, 5, nil), invalid, 5},
		{"first, repeated after the second", replaceCommand("a", 0, 2, nil), ok, 5},
		{"base version not yet in force", replaceCommand("f", 7, 9, nil), conflict, 5},
		{"third", replaceCommand("g", 5, 7, nil), ok, 7},
		{"refused one, now on its base version", replaceCommand("f", 7, 9, nil), ok, 9},
	}
	r := &replacer{machine: New()}
	for _, s := range steps {
		if got := r.replace(t, s.cmd); got != s.want {
			t.Errorf("%s: %v, want %v", s.name, got, s.want)
		}
		if version, _ := r.machine.Configuration(); version != s.version {
			t.Errorf("%s: version %d is in force, want %d", s.name, version, s.version)
		}
	}
	// A restart keeps the whole state, including the digests of accepted documents.
	restored := &replacer{machine: New(), index: r.index}
	if err := restored.machine.Restore(r.machine.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if got := restored.replace(t, replaceCommand("b", 2, 5, nil)); got != ok {
		t.Errorf("repeat of a command accepted before the restart: %v", got)
	}
	if version, document := restored.machine.Configuration(); version != 9 || string(document) != "f" {
		t.Errorf("after the restart: version %d, document %q, want 9 and f", version, document)
	}
}

// TestConfigurationDelta checks that a delta contains only what changed, and that it removes from the nodes what the new
// configuration no longer contains.
func TestConfigurationDelta(t *testing.T) {
	r := &replacer{machine: New()}
	builder := resolver.NewViewBuilder()
	catchUp := func() *resolver.View {
		builder.Apply(r.machine.Revision(), r.machine.Delta(builder.Revision()))
		return builder.Build()
	}
	key := resolver.Digest(sha256.Sum256([]byte("key-a")))
	r.replace(t, replaceCommand("a", 0, 1, nil))
	v := catchUp()
	if route := v.HostRoute("A.example", "/x/y"); route == nil || route.Choose(0).Service != "orders" {
		t.Fatalf("route %v", route)
	}
	if k, ok := v.Key(key); !ok || k.Withdrawn || k.Account != "school" {
		t.Errorf("key %+v", k)
	}
	r.replace(t, replaceCommand("b", 1, 2, func(c *schema.Configuration) {
		c.Routes = append(c.Routes, &schema.HostRoute{
			Name: "r2", Host: "a.example", Prefix: "/x/deep/", Shares: []*schema.Share{{Service: "orders", Weight: 1}},
			Timeout: durationpb.New(time.Second),
		})
	}))
	if d := r.machine.Delta(builder.Revision()); len(d.GetHostRoutes()) != 1 || len(d.GetKeys()) != 0 || len(d.GetBranches()) != 0 {
		t.Errorf("delta %v", d)
	}
	if got := catchUp().HostRoute("a.example", "/x/deep/y"); got == nil || got.Name != "r2" {
		t.Errorf("longest prefix: %v", got)
	}
	r.replace(t, replaceCommand("c", 2, 3, func(c *schema.Configuration) {
		c.Routes[0].Name, c.Routes[0].Prefix = "r3", "/z/"
		c.Accounts[0].KeyDigests = nil
	}))
	v = catchUp()
	if v.HostRoute("a.example", "/x/y") != nil || v.HostRoute("a.example", "/z/y") == nil {
		t.Error("a removed route is still in force, or the new one is not")
	}
	if k, _ := v.Key(key); !k.Withdrawn {
		t.Error("a key that is no longer listed is still valid")
	}
	r.replace(t, replaceCommand("d", 3, 4, nil))
	if k, ok := catchUp().Key(key); !ok || k.Withdrawn {
		t.Error("a key that is listed again is not valid")
	}
}
