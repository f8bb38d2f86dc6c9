package e2e_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// metricOf sums the samples of one metric at a daemon; 0 when it has none.
func metricOf(t *testing.T, i *instance, name string) (float64, error) {
	t.Helper()
	sent, err := http.NewRequestWithContext(callContext(t), http.MethodGet, "https://"+i.at(operatorsPort)+"/metrics", nil)
	assert.NilError(t, err)
	// The figures of a test fleet need no proof of who gives them.
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, DisableKeepAlives: true}
	response, err := transport.RoundTrip(sent)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("metrics of %s: status %d", i.id, response.StatusCode)
	}
	sum := 0.0
	lines := bufio.NewScanner(response.Body)
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
