package quota

// costFade is by how much a team's earlier requests count less with each one.
const costFade = 0.01

// costs is what a team's requests have cost lately.
type costs struct {
	sum, squares float64 // that fade
}

func (c *costs) note(cost float64) {
	c.sum += costFade * (cost - c.sum)
	c.squares += costFade * (cost*cost - c.squares)
}

// usual is the cost of the request that an average part of the quota goes to: a few
// large ones count more than many small ones.
func (c *costs) usual() float64 {
	if c.sum <= 0 {
		return 0
	}
	return c.squares / c.sum
}
