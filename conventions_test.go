package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPlatformNamesOnlyInPlatform checks that the names in the platform's wire formats appear only in platform/ and
// deploy/. It reads Go files other than tests and Twirp code.
func TestPlatformNamesOnlyInPlatform(t *testing.T) {
	names := []string{
		"X-Attempt-Id", "X-Deadline-Ms", "X-Server-Stamp", "X-Expect-Instance", "X-Not-Executed", "X-Caller-Service",
		"X-Server-Load", "X-Instance-Id", "X-Tenant", "apiKeys", "trafficSplit", "heartbeatAddr", "coldLeftS", "pathPrefix",
		"X-Cold-Ms", "coldPerS", "evacuateS",
	}
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
			strings.HasSuffix(path, ".twirp.go") || strings.HasPrefix(path, "platform") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, name := range names {
			if strings.Contains(string(text), name) {
				t.Errorf("%s contains %s", path, name)
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestNoBareGoroutines checks that internal/ contains no go statements. Goroutines are started through a tomb or a
// sync.WaitGroup, which can wait for them.
func TestNoBareGoroutines(t *testing.T) {
	files := 0
	err := filepath.WalkDir("internal", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		files++
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s: bare go statement; start it through a tomb", fset.Position(g.Pos()))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Fatal("no Go file found")
	}
}
