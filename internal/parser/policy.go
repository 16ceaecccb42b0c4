package parser

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/schema"
)

// ParsePolicy reads values such as rate=100 and timeout=250ms.
func ParsePolicy(args []string) (*schema.Policy, error) {
	p := &schema.Policy{}
	for _, arg := range args {
		name, text, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, errors.Errorf("bad setting %q, want name=value", arg)
		}
		fd := p.ProtoReflect().Descriptor().Fields().ByJSONName(name)
		if fd == nil {
			return nil, errors.Errorf("no setting %q; there are %s", name, strings.Join(policyNames(), ", "))
		}
		v, err := policyValue(fd, text)
		if err != nil {
			return nil, errors.Errorf("bad value %q of %s, want %s", text, name, err)
		}
		p.ProtoReflect().Set(fd, v)
	}
	return p, nil
}

func policyNames() []string {
	fields := (&schema.Policy{}).ProtoReflect().Descriptor().Fields()
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = fields.Get(i).JSONName()
	}
	return names
}

// policyValue reads one value. Its error says what was wanted.
func policyValue(fd protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	switch fd.Kind() {
	case protoreflect.DoubleKind:
		x, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(x), wanted(err, "a number")
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(n)), wanted(err, "a whole number")
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(text)
		return protoreflect.ValueOfBool(b), wanted(err, "true or false")
	case protoreflect.MessageKind:
		d, err := time.ParseDuration(text)
		return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), wanted(err, "a duration such as 250ms")
	default:
		return protoreflect.ValueOfString(text), nil
	}
}

func wanted(err error, what string) error {
	if err == nil {
		return nil
	}
	return errors.New(what)
}

// FormatPolicy writes the values that are present, in the form that ParsePolicy reads.
func FormatPolicy(p *schema.Policy) []string {
	var out []string
	fields := p.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if !p.ProtoReflect().Has(fd) {
			continue
		}
		v := p.ProtoReflect().Get(fd)
		text := v.String()
		if d, ok := v.Interface().(protoreflect.Message); ok {
			text = d.Interface().(*durationpb.Duration).AsDuration().String()
		}
		out = append(out, fd.JSONName()+"="+text)
	}
	return out
}
