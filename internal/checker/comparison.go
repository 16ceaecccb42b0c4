package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/schema"
)

// Compare returns one line for each entry that was added or removed, and for each value that changed, from one configuration to another.
func Compare(from, to *schema.Configuration) []string {
	lines := compareEntries("route", entriesOf(from.GetRoutes(), (*schema.HostRoute).GetName),
		entriesOf(to.GetRoutes(), (*schema.HostRoute).GetName))
	lines = append(lines, compareEntries("service", entriesOf(from.GetServices(), (*schema.ServiceInfo).GetName),
		entriesOf(to.GetServices(), (*schema.ServiceInfo).GetName))...)
	lines = append(lines, compareEntries("client account", entriesOf(from.GetAccounts(), (*schema.AccountTerms).GetId),
		entriesOf(to.GetAccounts(), (*schema.AccountTerms).GetId))...)
	return append(lines, compareFields("limits", from.GetLimits().ProtoReflect(), to.GetLimits().ProtoReflect())...)
}

func entriesOf[T proto.Message](list []T, name func(T) string) map[string]protoreflect.Message {
	entries := make(map[string]protoreflect.Message, len(list))
	for _, e := range list {
		entries[name(e)] = e.ProtoReflect()
	}
	return entries
}

func compareEntries(kind string, from, to map[string]protoreflect.Message) []string {
	names := maps.Clone(from)
	maps.Copy(names, to)
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		entry := fmt.Sprintf("%s %q", kind, name)
		switch {
		case from[name] == nil:
			lines = append(lines, entry+": added")
		case to[name] == nil:
			lines = append(lines, entry+": removed")
		default:
			lines = append(lines, compareFields(entry, from[name], to[name])...)
		}
	}
	return lines
}

// compareFields compares two messages of the same type, field by field.
func compareFields(entry string, from, to protoreflect.Message) []string {
	var lines []string
	fields := to.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		a, b := from.Get(field), to.Get(field)
		switch {
		case a.Equal(b) && from.Has(field) == to.Has(field):
		case field.Kind() == protoreflect.BytesKind:
			// Only digests of keys are bytes in an entry.
			added, removed := countNew(a.List(), b.List()), countNew(b.List(), a.List())
			if added+removed > 0 {
				lines = append(lines, fmt.Sprintf("%s: keys: %d added, %d withdrawn", entry, added, removed))
			}
		case field.Kind() == protoreflect.MessageKind && !field.IsList() && !isDuration(b):
			lines = append(lines, compareFields(entry, a.Message(), b.Message())...)
		default:
			lines = append(lines, fmt.Sprintf("%s: %s: %s, was %s", entry, field.JSONName(), format(to, field), format(from, field)))
		}
	}
	return lines
}

// countNew returns the number of values of a second list that the first one lacks.
func countNew(from, to protoreflect.List) int {
	known := map[string]bool{}
	for i := range from.Len() {
		known[string(from.Get(i).Bytes())] = true
	}
	n := 0
	for i := range to.Len() {
		if !known[string(to.Get(i).Bytes())] {
			n++
		}
	}
	return n
}

func isDuration(v protoreflect.Value) bool {
	_, ok := v.Message().Interface().(*durationpb.Duration)
	return ok
}

// format returns the value of a field as text.
func format(m protoreflect.Message, field protoreflect.FieldDescriptor) string {
	v := m.Get(field)
	switch {
	case field.HasPresence() && !m.Has(field):
		return "not set"
	case field.IsList():
		return formatShares(v.List())
	case field.Kind() == protoreflect.MessageKind:
		return v.Message().Interface().(*durationpb.Duration).AsDuration().String()
	default:
		return v.String()
	}
}

// formatShares returns the services of a route with their weights.
func formatShares(list protoreflect.List) string {
	parts := make([]string, 0, list.Len())
	for i := range list.Len() {
		if share, ok := list.Get(i).Message().Interface().(*schema.Share); ok {
			parts = append(parts, fmt.Sprintf("%s %v", share.GetService(), share.GetWeight()))
		}
	}
	return "[" + strings.Join(parts, ", ") + "]"
}
