package resolver

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/schema"
)

// Settings in force where no branch sets a value.
const (
	defaultRate             = 100.0
	defaultBurst            = 100.0
	defaultPriority         = 7
	defaultImportance       = 3
	defaultTimeout          = 10 * time.Second
	defaultRetries          = 2
	defaultObjective        = 0.999
	defaultObjectiveLatency = time.Second
)

// DefaultOrigin is the origin of values that no branch sets.
const DefaultOrigin = "default"

func defaultPolicy() *schema.Policy {
	return &schema.Policy{
		Rate:             proto.Float64(defaultRate),
		Burst:            proto.Float64(defaultBurst),
		Priority:         proto.Uint32(defaultPriority),
		Importance:       proto.Uint32(defaultImportance),
		Timeout:          durationpb.New(defaultTimeout),
		Open:             proto.Bool(false),
		Retries:          proto.Uint32(defaultRetries),
		Objective:        proto.Float64(defaultObjective),
		ObjectiveLatency: durationpb.New(defaultObjectiveLatency),
	}
}

// Chain returns the paths of the branches from the root to path, which inherit from each other in this order. The group
// is that of the client account, if path is an account's branch and the account has a group.
func Chain(path, group string) []string {
	chain := []string{RootPath}
	if path == RootPath {
		return chain
	}
	if strings.HasPrefix(path, "account/") && group != "" {
		chain = append(chain, GroupPath(group))
	}
	if service, _, ok := strings.Cut(path, "/route/"); ok {
		chain = append(chain, service)
	}
	return append(chain, path)
}

// Effective holds the effective settings of a branch and the branch that each value is inherited from.
type Effective struct {
	Policy  *schema.Policy
	Origins []*schema.Origin
}

// Lookup returns the branch at path, or nil if there is none.
type Lookup func(path string) *schema.Branch

// Resolve returns the effective settings of the branch at path. The group is as in Chain.
func Resolve(lookup Lookup, path, group string) Effective {
	e := Effective{Policy: defaultPolicy()}
	origins := map[string]string{}
	recordOrigins(e.Policy, DefaultOrigin, origins)
	for _, p := range Chain(path, group) {
		b := lookup(p)
		if b == nil || b.GetRemoved() || b.GetPolicy() == nil {
			continue
		}
		Merge(e.Policy, b.GetPolicy())
		recordOrigins(b.GetPolicy(), p, origins)
	}
	fields := e.Policy.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		name := fields.Get(i).JSONName()
		if origin, ok := origins[name]; ok {
			e.Origins = append(e.Origins, &schema.Origin{Field: name, Path: origin})
		}
	}
	return e
}

// Merge copies the values that are set in src to dst.
func Merge(dst, src *schema.Policy) {
	src.ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		dst.ProtoReflect().Set(fd, v)
		return true
	})
}

// recordOrigins records path as the origin of the values that are set in p.
func recordOrigins(p *schema.Policy, path string, origins map[string]string) {
	p.ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		origins[fd.JSONName()] = path
		return true
	})
}
