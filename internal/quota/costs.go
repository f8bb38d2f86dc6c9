package quota

// costDecay is the weight of the newest request in the moving averages.
const costDecay = 0.01

// costs holds exponentially weighted averages of the costs of a team's requests.
type costs struct {
	mean, meanSquare float64
}

func (c *costs) add(cost float64) {
	c.mean += costDecay * (cost - c.mean)
	c.meanSquare += costDecay * (cost*cost - c.meanSquare)
}

// typical returns the average cost, weighted by cost: the cost of the request that an average
// unit of the quota goes to. A few large requests count more than many small ones.
func (c *costs) typical() float64 {
	if c.mean <= 0 {
		return 0
	}
	return c.meanSquare / c.mean
}
