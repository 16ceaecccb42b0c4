package cmd

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"github.com/lavenderhub/lavenderhub/internal/documenter"
)

var cmdDocs = command{
	name:    "docs",
	short:   "Write the manual pages and the settings reference: docs FOLDER",
	example: "  lavenderhub docs docs",
	args:    cobra.ExactArgs(1),
	setup: func(*cobra.Command) func([]string) error {
		return func(args []string) error { return writeDocs(args[0]) }
	},
}

const (
	docsFolderMode = 0o755
	docsFileMode   = 0o644
)

func writeDocs(folder string) error {
	man := filepath.Join(folder, "man")
	if err := os.MkdirAll(man, docsFolderMode); err != nil {
		return errors.Wrap(err, "create folder")
	}
	root := newRoot()
	root.DisableAutoGenTag = true
	if err := doc.GenMarkdownTree(root, man); err != nil {
		return errors.Wrap(err, "write manual pages")
	}
	var text bytes.Buffer
	if err := documenter.Write(&text); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, "SETTINGS.md"), text.Bytes(), docsFileMode), "write settings reference")
}
