package engine

// dueHeap is a container/heap of cancels, ordered by due time.
type dueHeap []*pendingCancel

// Len implements sort.Interface.
func (h dueHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h dueHeap) Less(a, b int) bool { return h[a].due.Before(h[b].due) }

// Swap implements sort.Interface.
func (h dueHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(*pendingCancel)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
