package applier

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/schema"
)

func TestHoldersSurviveSnapshot(t *testing.T) {
	m := New()
	for i, c := range []*schema.NoteHolders{
		{Added: []string{"b", "a", "c"}}, {Added: []string{"a"}, Removed: []string{"c", "d"}},
	} {
		data, err := proto.Marshal(&schema.Command{Change: &schema.Command_NoteHolders{NoteHolders: c}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Apply(uint64(i+1), data); err != nil {
			t.Fatal(err)
		}
	}
	if m.Revision() != 0 {
		t.Errorf("revision %d, want 0: the change must not be sent to nodes", m.Revision())
	}
	restored := New()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if want := []string{"a", "b"}; !slices.Equal(restored.Holders(), want) || restored.IsHolder("c") {
		t.Errorf("holders %v, want %v", restored.Holders(), want)
	}
}
