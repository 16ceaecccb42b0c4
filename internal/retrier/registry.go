package retrier

import "sync"

// registry holds one value per name and creates it on first use.
type registry[T any] struct {
	values sync.Map
}

func (r *registry[T]) get(name string, newValue func() *T) *T {
	if value, ok := r.values.Load(name); ok {
		return value.(*T)
	}
	value, _ := r.values.LoadOrStore(name, newValue())
	return value.(*T)
}
