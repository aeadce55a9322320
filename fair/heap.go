package fair

import "container/heap"

// rowHeap is a heap of backlogged rows, lowest key first. Equal keys are
// ordered by workspace name, so that runs are reproducible.
type rowHeap struct {
	rows []*row
}

func (h *rowHeap) push(r *row) { heap.Push((*ordered)(h), r) }

func (h *rowHeap) remove(i int) { heap.Remove((*ordered)(h), i) }

func (h *rowHeap) fix(i int) { heap.Fix((*ordered)(h), i) }

// first returns the row with the lowest key that accept allows. It visits the
// rows in ascending order without changing the heap: only the children of
// refused rows become candidates.
func (h *rowHeap) first(accept func(*row) bool) *row {
	if len(h.rows) == 0 {
		return nil
	}
	next := candidates{heap: h, indices: []int{0}}
	for len(next.indices) > 0 {
		i := heap.Pop(&next).(int)
		if accept(h.rows[i]) {
			return h.rows[i]
		}
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.rows); child++ {
			heap.Push(&next, child)
		}
	}
	return nil
}

func less(a, b *row) bool {
	if a.key() != b.key() {
		return a.key() < b.key()
	}
	return a.workspace < b.workspace
}

// ordered implements heap.Interface for rowHeap.
type ordered rowHeap

func (h *ordered) Len() int           { return len(h.rows) }
func (h *ordered) Less(i, j int) bool { return less(h.rows[i], h.rows[j]) }

func (h *ordered) Swap(i, j int) {
	h.rows[i], h.rows[j] = h.rows[j], h.rows[i]
	h.rows[i].index, h.rows[j].index = i, j
}

// Push implements heap.Interface.
func (h *ordered) Push(x any) {
	r := x.(*row)
	r.index = len(h.rows)
	h.rows = append(h.rows, r)
}

// Pop implements heap.Interface.
func (h *ordered) Pop() any {
	last := len(h.rows) - 1
	r := h.rows[last]
	h.rows[last] = nil
	h.rows = h.rows[:last]
	r.index = -1
	return r
}

// candidates is a heap of indices in a rowHeap.
type candidates struct {
	heap    *rowHeap
	indices []int
}

func (c *candidates) Len() int { return len(c.indices) }

func (c *candidates) Less(i, j int) bool {
	return less(c.heap.rows[c.indices[i]], c.heap.rows[c.indices[j]])
}

func (c *candidates) Swap(i, j int) { c.indices[i], c.indices[j] = c.indices[j], c.indices[i] }

// Push implements heap.Interface.
func (c *candidates) Push(x any) { c.indices = append(c.indices, x.(int)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := len(c.indices) - 1
	i := c.indices[last]
	c.indices = c.indices[:last]
	return i
}
