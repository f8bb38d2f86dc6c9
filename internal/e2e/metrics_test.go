package e2e_test

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
	"testing"
)

// metricSum returns the sum of a metric's samples at a daemon, or 0 without any.
func metricSum(t *testing.T, i *instance, name string) (float64, error) {
	t.Helper()
	page := metricsPage(t, i)
	sum := 0.0
	lines := bufio.NewScanner(bytes.NewReader(page))
	for lines.Scan() {
		series, value, found := strings.Cut(lines.Text(), " ")
		plain, _, _ := strings.Cut(series, "{")
		if !found || plain != name {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, err
		}
		sum += number
	}
	return sum, lines.Err()
}
