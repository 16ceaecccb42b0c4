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

// ParsePolicy parses arguments of the form name=value, such as rate=100 or timeout=250ms, into a policy.
func ParsePolicy(args []string) (*schema.Policy, error) {
	p := &schema.Policy{}
	for _, arg := range args {
		name, text, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, errors.Errorf("bad setting %q, want name=value", arg)
		}
		fd := p.ProtoReflect().Descriptor().Fields().ByJSONName(name)
		if fd == nil {
			return nil, errors.Errorf("no setting %q, want one of %s", name, strings.Join(policyNames(), ", "))
		}
		v, err := parseValue(fd, text)
		if err != nil {
			return nil, errors.Errorf("bad value %q for %s, want %s", text, name, err)
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

// parseValue parses the value of a policy field. Its error names the expected form, such as "a number".
func parseValue(fd protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	switch fd.Kind() {
	case protoreflect.DoubleKind:
		x, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(x), expected(err, "a number")
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(n)), expected(err, "a whole number")
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(text)
		return protoreflect.ValueOfBool(b), expected(err, "true or false")
	case protoreflect.MessageKind:
		d, err := time.ParseDuration(text)
		return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), expected(err, "a duration such as 250ms")
	default:
		return protoreflect.ValueOfString(text), nil
	}
}

// expected returns nil if err is nil, and otherwise an error whose message is the expected form of the value.
func expected(err error, form string) error {
	if err == nil {
		return nil
	}
	return errors.New(form)
}

// FormatPolicy returns the fields that are set in p as name=value strings, the form that ParsePolicy accepts.
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
