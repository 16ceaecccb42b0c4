package storer

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// TestPowerLossDuringFirstStartBlocksNextStart guards against a database file that has its name before its contents are synced.
func TestPowerLossDuringFirstStartBlocksNextStart(t *testing.T) {
	tests := []int{0, 1, 4096, 16384, 32768}
	for _, size := range tests {
		t.Run(fmt.Sprintf("%d bytes of zeros", size), func(t *testing.T) {
			folder := t.TempDir()
			if err := os.WriteFile(filepath.Join(folder, newFileName), make([]byte, size), fileMode); err != nil {
				t.Fatal(err)
			}
			if first, second := openedID(t, folder), openedID(t, folder); first != second {
				t.Errorf("identity %d after a restart, want %d", second, first)
			}
		})
	}
}

// openedID opens a data folder and returns its identity.
func openedID(t *testing.T, folder string) uint64 {
	t.Helper()
	s, err := Open(folder, "control-1")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return s.Identity().GetId()
}
