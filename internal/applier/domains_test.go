package applier

import (
	"testing"

	"github.com/lavenderhub/lavenderhub/schema"
)

func evacuate(name string, restore bool) *schema.Command {
	return &schema.Command{Change: &schema.Command_EvacuateDomain{EvacuateDomain: &schema.EvacuateDomain{Name: name, Restore: restore}}}
}

func noteDomains(names ...string) *schema.Command {
	return &schema.Command{Change: &schema.Command_NoteDomains{NoteDomains: &schema.NoteDomains{Names: names}}}
}

// TestEvacuateDomain guards against evacuations that are lost with a snapshot, that do not reach the nodes, or that a repeated
// request of the operator changes.
func TestEvacuateDomain(t *testing.T) {
	const ok, notFound = schema.ResultStatus_RESULT_STATUS_OK, schema.ResultStatus_RESULT_STATUS_NOT_FOUND
	tests := []struct {
		name     string
		commands []*schema.Command
		// status is the result of the last command.
		status schema.ResultStatus
		// evacuated maps the domains that nodes learn to their state.
		evacuated map[string]bool
	}{
		{"unknown domain", []*schema.Command{noteDomains("a"), evacuate("b", false)}, notFound, nil},
		{"name out of range", []*schema.Command{noteDomains("A B"), evacuate("A B", false)}, notFound, nil},
		{"evacuated", []*schema.Command{noteDomains("a", "b"), evacuate("a", false)}, ok, map[string]bool{"a": true}},
		{"repeated", []*schema.Command{noteDomains("a"), evacuate("a", false), evacuate("a", false)}, ok, map[string]bool{"a": true}},
		{"noted again", []*schema.Command{noteDomains("a"), evacuate("a", false), noteDomains("a")}, 0, map[string]bool{"a": true}},
		{"restored", []*schema.Command{noteDomains("a"), evacuate("a", false), evacuate("a", true)}, ok, map[string]bool{"a": false}},
		{"restored without evacuation", []*schema.Command{noteDomains("a"), evacuate("a", true)}, ok, nil},
		{"two", []*schema.Command{noteDomains("a", "b"), evacuate("a", false), evacuate("b", false)}, ok, map[string]bool{"a": true, "b": true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := commandLog{t: t, m: New()}
			var res *schema.Result
			for _, cmd := range tt.commands {
				res = l.apply(cmd).Result
				restored := New()
				if err := restored.Restore(l.m.Snapshot()); err != nil {
					t.Fatal(err)
				}
				l.m = restored
			}
			if res.GetStatus() != tt.status {
				t.Errorf("result %v, want %v", res, tt.status)
			}
			got := map[string]bool{}
			for _, d := range l.m.Delta(0).GetFailureDomains() {
				got[d.GetName()] = d.GetEvacuated()
			}
			if len(got) != len(tt.evacuated) {
				t.Errorf("nodes learn %v, want %v", got, tt.evacuated)
			}
			for name, want := range tt.evacuated {
				if evacuated, found := got[name]; !found || evacuated != want {
					t.Errorf("nodes learn %v, want %v", got, tt.evacuated)
				}
			}
		})
	}
}

// TestEvacuationDelta checks that nodes get only the change of one domain, and nothing again when the operator repeats a command.
func TestEvacuationDelta(t *testing.T) {
	l := commandLog{t: t, m: New()}
	l.apply(noteDomains("a", "b"))
	l.apply(evacuate("a", false))
	before := l.m.Revision()
	l.apply(evacuate("b", false))
	if d := l.m.Delta(before).GetFailureDomains(); len(d) != 1 || d[0].GetName() != "b" {
		t.Errorf("delta %v, want b", d)
	}
	before = l.m.Revision()
	l.apply(evacuate("b", false))
	if d := l.m.Delta(before).GetFailureDomains(); len(d) != 0 {
		t.Errorf("delta %v after a repeated command, want none", d)
	}
}
