package report

import (
	"encoding/json"
	"os"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/load"
)

// ReadFiles reads results that "load --json" wrote.
func ReadFiles(names []string) ([]load.Result, error) {
	results := make([]load.Result, 0, len(names))
	for _, name := range names {
		body, err := os.ReadFile(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		r, err := decode(body)
		if err != nil {
			return nil, trace.Wrap(err, "result %s", name)
		}
		results = append(results, r)
	}
	return results, nil
}

func decode(body []byte) (load.Result, error) {
	var r load.Result
	if err := json.Unmarshal(body, &r); err != nil {
		return load.Result{}, trace.BadParameter("%v", err)
	}
	if r.Experiment == "" {
		return load.Result{}, trace.BadParameter("not a result of load: it names no experiment")
	}
	return r, nil
}
