// Package parser reads settings files: JSON with comments, checked against the schema.
package parser

import (
	"bytes"
	"cmp"
	"os"
	"regexp"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lavenderhub/lavenderhub/schema"
)

// ParseFile reads and checks a settings file. It returns Errors for faults in the content.
func ParseFile(file string) (*schema.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse checks the text of a settings file and decodes it. The file's name is used in errors only.
func Parse(file string, text []byte) (*schema.Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Errors{syntaxError(file, err)}
	}
	cfg := &schema.Settings{}
	w := &walker{file: file, text: text, offsets: map[string]int{}}
	w.message(&root, cfg.ProtoReflect().Descriptor(), "")
	if len(w.errs) == 0 {
		root.Standardize()
		if err := protojson.Unmarshal(root.Pack(), cfg); err != nil {
			w.fail(root.StartOffset, "%s", err)
		}
	}
	if len(w.errs) == 0 {
		verify(cfg, w)
	}
	if len(w.errs) > 0 {
		slices.SortStableFunc(w.errs, func(a, b Error) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, w.errs
	}
	return cfg, nil
}

var syntaxPattern = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

func syntaxError(file string, err error) Error {
	m := syntaxPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return Error{File: file, Line: 1, Column: 1, Message: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Error{File: file, Line: line, Column: column, Message: m[3]}
}

// position returns line and column of an offset, both from 1.
func position(text []byte, offset int) (line, column int) {
	before := text[:min(offset, len(text))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
