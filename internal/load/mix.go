package load

import "math/rand/v2"

// Mix is a distribution of lengths: weighted ranges, uniform within each.
type Mix []MixPart

// MixPart is one range of a Mix, ends included.
type MixPart struct {
	Weight float64 `yaml:"weight"`
	From   int     `yaml:"from"`
	To     int     `yaml:"to"`
}

func (m Mix) draw(random *rand.Rand) int {
	at := random.Float64() * m.weight()
	for _, p := range m {
		if at -= p.Weight; at < 0 {
			return p.From + random.IntN(p.To-p.From+1)
		}
	}
	return m[len(m)-1].To
}

func (m Mix) mean() float64 {
	sum := 0.0
	for _, p := range m {
		sum += p.Weight * float64(p.From+p.To) / 2
	}
	return sum / m.weight()
}

func (m Mix) weight() float64 {
	sum := 0.0
	for _, p := range m {
		sum += p.Weight
	}
	return sum
}
