package queue

import "container/heap"

// indexedHeap is a binary heap whose elements store their own index, so that an
// element can be moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	elements []T
	less     func(a, b T) bool
	// index returns the field in which an element stores its index in this heap;
	// the heap keeps it up to date and sets it to -1 on removal.
	index func(T) *int
}

func (h *indexedHeap[T]) Len() int           { return len(h.elements) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.index(h.elements[i]) = i
	*h.index(h.elements[j]) = j
}

// Push implements heap.Interface; callers use add.
func (h *indexedHeap[T]) Push(x any) {
	element := x.(T)
	*h.index(element) = len(h.elements)
	h.elements = append(h.elements, element)
}

// Pop implements heap.Interface; callers use remove.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.elements) - 1
	element := h.elements[last]
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	*h.index(element) = -1
	return element
}

func (h *indexedHeap[T]) add(element T)    { heap.Push(h, element) }
func (h *indexedHeap[T]) remove(element T) { heap.Remove(h, *h.index(element)) }
func (h *indexedHeap[T]) fix(element T)    { heap.Fix(h, *h.index(element)) }
func (h *indexedHeap[T]) first() T         { return h.elements[0] }
