// Package parser parses settings files, which are JSON with comments, and validates them against the schema.
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

// ParseFile reads, validates and decodes a settings file. It returns an error of type Errors if the content is invalid.
func ParseFile(file string) (*schema.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse validates and decodes the text of a settings file. The file name appears only in error messages. A non-nil error
// is of type Errors.
func Parse(file string, text []byte) (*schema.Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Errors{syntaxError(file, err)}
	}
	cfg := &schema.Settings{}
	w := &walker{file: file, text: text, offsets: map[string]int{}}
	w.walkMessage(&root, cfg.ProtoReflect().Descriptor(), "")
	if len(w.errs) == 0 {
		root.Standardize()
		if err := protojson.Unmarshal(root.Pack(), cfg); err != nil {
			w.addError(root.StartOffset, "%s", err)
		}
	}
	if len(w.errs) == 0 {
		checkConstraints(cfg, w)
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

// position returns the line and column of a byte offset, both counted from 1.
func position(text []byte, offset int) (line, column int) {
	before := text[:min(offset, len(text))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
