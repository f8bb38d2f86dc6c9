package retrybudget

import "math"

// A window is counted in buckets. A decision looks at the last bucketsKept of them: the
// windows that contain the present begin up to one window ago, and the requests of the
// window before each of them count as well.
const (
	bucketsPerWindow = 20
	bucketsKept      = 2 * bucketsPerWindow
)

// usage counts the requests and extra arrivals of a service in buckets, oldest first.
type usage struct {
	newestBucket  int64 // number of the newest bucket
	requests      [bucketsKept]int
	extraArrivals [bucketsKept]int
	reserved      int // extra arrivals that may happen at any moment
}

// advance begins new buckets up to the given one.
func (u *usage) advance(bucket int64) {
	elapsed := min(bucket-u.newestBucket, bucketsKept)
	if elapsed <= 0 {
		return
	}
	copy(u.requests[:], u.requests[elapsed:])
	copy(u.extraArrivals[:], u.extraArrivals[elapsed:])
	clear(u.requests[bucketsKept-elapsed:])
	clear(u.extraArrivals[bucketsKept-elapsed:])
	u.newestBucket = bucket
}

func (u *usage) addRequest() { u.requests[bucketsKept-1]++ }

func (u *usage) addExtraArrival() { u.extraArrivals[bucketsKept-1]++ }

// remaining returns how many more extra arrivals fit into every window that contains the
// present. A window may begin anywhere within a bucket: all arrivals of that bucket count,
// and so do its requests, which are in the window or in the one before it.
func (u *usage) remaining(ratio, slack float64) float64 {
	minimum := math.Inf(1)
	extraArrivals := u.reserved
	for start := bucketsKept - 1; start >= bucketsKept-1-bucketsPerWindow; start-- {
		extraArrivals += u.extraArrivals[start]
		requests := sum(u.requests[start-bucketsPerWindow+1 : min(start+bucketsPerWindow, bucketsKept)])
		minimum = min(minimum, ratio*float64(requests)/2+slack-float64(extraArrivals))
	}
	return minimum
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
