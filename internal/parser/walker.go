package parser

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

const durationName = "google.protobuf.Duration"

// walker validates a syntax tree against a message descriptor and collects the errors. It also rewrites enum values and
// durations in the tree to the forms that protojson accepts.
type walker struct {
	file string
	text []byte
	errs Errors
	// offsets holds the byte offset of each visited value by its path, such as node.controlAddresses[0].
	offsets map[string]int
}

// addError records an error at a byte offset of the text.
func (w *walker) addError(offset int, format string, args ...any) {
	line, column := position(w.text, offset)
	w.errs = append(w.errs, Error{File: w.file, Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

// addErrorAt records an error at the position of the value at path, or at the start of the file if the value is absent.
func (w *walker) addErrorAt(path, format string, args ...any) {
	w.addError(w.offsets[path], format, args...)
}

func (w *walker) walkMessage(v *hujson.Value, md protoreflect.MessageDescriptor, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		w.addError(v.StartOffset, "%s: want an object", label(path))
		return
	}
	w.offsets[path] = v.StartOffset
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		fd := md.Fields().ByJSONName(name)
		switch {
		case fd == nil:
			w.addError(m.Name.StartOffset, "unknown field %q in %s", name, label(path))
		case seen[name]:
			w.addError(m.Name.StartOffset, "duplicate field %q in %s", name, label(path))
		default:
			w.walkField(&m.Value, fd, join(path, name))
		}
		seen[name] = true
	}
	for i := range md.Fields().Len() {
		fd := md.Fields().Get(i)
		if isRequired(fd) && !seen[fd.JSONName()] {
			w.addError(v.StartOffset, "field %q is missing in %s", fd.JSONName(), label(path))
		}
	}
}

func (w *walker) walkField(v *hujson.Value, fd protoreflect.FieldDescriptor, path string) {
	w.offsets[path] = v.StartOffset
	if !fd.IsList() {
		w.walkValue(v, fd, path)
		return
	}
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		w.addError(v.StartOffset, "%s: want an array", path)
		return
	}
	if isRequired(fd) && len(arr.Elements) == 0 {
		w.addError(v.StartOffset, "%s: must not be empty", path)
	}
	for i := range arr.Elements {
		elementPath := path + "[" + strconv.Itoa(i) + "]"
		w.offsets[elementPath] = arr.Elements[i].StartOffset
		w.walkValue(&arr.Elements[i], fd, elementPath)
	}
	w.checkUnique(arr, fd, path)
}

// checkUnique reports array elements that share the value of the field named by the unique_by option.
func (w *walker) checkUnique(arr *hujson.Array, fd protoreflect.FieldDescriptor, path string) {
	keyField := proto.GetExtension(fd.Options(), schema.E_UniqueBy).(string)
	if keyField == "" {
		return
	}
	seen := map[string]bool{}
	for i := range arr.Elements {
		id := arr.Elements[i].Find("/" + keyField)
		if id == nil {
			continue
		}
		lit, ok := id.Value.(hujson.Literal)
		if !ok {
			continue
		}
		if seen[string(lit)] {
			w.addError(id.StartOffset, "%s: duplicate %s %q", path, keyField, lit.String())
		}
		seen[string(lit)] = true
	}
}

// walkValue validates the value of a singular field, or one element of a repeated field.
func (w *walker) walkValue(v *hujson.Value, fd protoreflect.FieldDescriptor, path string) {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		if fd.Message().FullName() == durationName {
			w.walkDuration(v, path)
			return
		}
		w.walkMessage(v, fd.Message(), path)
	case protoreflect.StringKind:
		w.walkString(v, fd, path)
	case protoreflect.BoolKind:
		if lit, ok := v.Value.(hujson.Literal); !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
			w.addError(v.StartOffset, "%s: want true or false", path)
		}
	case protoreflect.EnumKind:
		w.walkEnum(v, fd.Enum(), path)
	default:
		w.walkNumber(v, fd, path)
	}
}

// walkEnum replaces the short name of an enum value by its full name: platform by FACE_PLATFORM. The zero value has no
// short name.
func (w *walker) walkEnum(v *hujson.Value, ed protoreflect.EnumDescriptor, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		w.addError(v.StartOffset, "%s: want a string", path)
		return
	}
	prefix := strings.ToUpper(string(ed.Name())) + "_"
	var names []string
	for i := range ed.Values().Len() {
		full := string(ed.Values().Get(i).Name())
		short := strings.ToLower(strings.TrimPrefix(full, prefix))
		if lit.String() == short && ed.Values().Get(i).Number() != 0 {
			v.Value = hujson.String(full)
			return
		}
		if ed.Values().Get(i).Number() != 0 {
			names = append(names, short)
		}
	}
	w.addError(v.StartOffset, "%s: unknown value %q, want %s", path, lit.String(), strings.Join(names, " or "))
}

// walkDuration replaces a duration such as "250ms" by the same duration in seconds.
func (w *walker) walkDuration(v *hujson.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		w.addError(v.StartOffset, "%s: want a duration such as \"250ms\"", path)
		return
	}
	d, err := time.ParseDuration(lit.String())
	if err != nil || d < 0 {
		w.addError(v.StartOffset, "%s: bad duration %q, want one such as \"250ms\"", path, lit.String())
		return
	}
	// protojson accepts durations only in seconds.
	v.Value = hujson.String(strconv.FormatFloat(d.Seconds(), 'f', 9, 64) + "s")
}

func (w *walker) walkString(v *hujson.Value, fd protoreflect.FieldDescriptor, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		w.addError(v.StartOffset, "%s: want a string", path)
		return
	}
	s := lit.String()
	if s == "" {
		if isRequired(fd) {
			w.addError(v.StartOffset, "%s: must not be empty", path)
		}
		return
	}
	switch proto.GetExtension(fd.Options(), schema.E_Format).(schema.Format) {
	case schema.Format_FORMAT_ADDR_PORT:
		if _, err := netip.ParseAddrPort(s); err != nil {
			w.addError(v.StartOffset, "%s: bad address %q, want an IP address and a port such as 127.0.0.1:8080", path, s)
		}
	case schema.Format_FORMAT_NAME:
		if !resolver.IsName(s) {
			w.addError(v.StartOffset, "%s: bad name %q, want lower-case letters, digits and dashes", path, s)
		}
	}
}

func (w *walker) walkNumber(v *hujson.Value, fd protoreflect.FieldDescriptor, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		w.addError(v.StartOffset, "%s: want a number", path)
		return
	}
	n := lit.Float()
	if fd.Kind() == protoreflect.DoubleKind {
		return
	}
	if n != math.Trunc(n) || n < 0 {
		w.addError(v.StartOffset, "%s: want a whole number that is not negative", path)
	}
}

func isRequired(fd protoreflect.FieldDescriptor) bool {
	return proto.GetExtension(fd.Options(), schema.E_Required).(bool)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// label returns the name of the value at path for error messages.
func label(path string) string {
	if path == "" {
		return "the settings"
	}
	return path
}
