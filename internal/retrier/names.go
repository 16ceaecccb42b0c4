package retrier

import "sync"

// names holds one value for each name and makes it at first use.
type names[T any] struct {
	byName sync.Map
}

func (n *names[T]) of(name string, fresh func() *T) *T {
	if found, ok := n.byName.Load(name); ok {
		return found.(*T)
	}
	found, _ := n.byName.LoadOrStore(name, fresh())
	return found.(*T)
}
