package fair

// ring is a sum over the steps of the window.
type ring struct {
	step  int64
	parts [windowSteps]float64
}

// advance clears the expired steps and returns the current one.
func (g *ring) advance(step int64) *float64 {
	for n := min(step-g.step, windowSteps); n > 0; n-- {
		g.parts[(step-n+1)%windowSteps] = 0
	}
	g.step = max(step, g.step)
	return &g.parts[g.step%windowSteps]
}

// add adds v to the current step.
func (g *ring) add(step int64, v float64) { *g.advance(step) += v }

// spread adds v evenly to all steps.
func (g *ring) spread(step int64, v float64) {
	g.advance(step)
	for i := range g.parts {
		g.parts[i] += v / windowSteps
	}
}

// scale multiplies all steps by f.
func (g *ring) scale(f float64) {
	for i := range g.parts {
		g.parts[i] *= f
	}
}

// sum returns the sum over the window.
func (g *ring) sum(step int64) float64 {
	g.advance(step)
	s := 0.0
	for _, p := range g.parts {
		s += p
	}
	return s
}

// last returns the sum over the n steps before the current one; n is less than
// windowSteps.
func (g *ring) last(step int64, n int) float64 {
	g.advance(step)
	s := 0.0
	for i := int64(1); i <= int64(n); i++ {
		s += g.parts[(g.step-i+windowSteps)%windowSteps]
	}
	return s
}

// recentMax is the maximum of the values of the last one to two windows.
type recentMax struct {
	window            int64
	current, previous float64
}

// add adds v in a step.
func (m *recentMax) add(step int64, v float64) {
	if window := step / windowSteps; window != m.window {
		m.previous = 0
		if window == m.window+1 {
			m.previous = m.current
		}
		m.window, m.current = window, 0
	}
	m.current = max(m.current, v)
}

// value returns the maximum.
func (m *recentMax) value() float64 { return max(m.current, m.previous) }
