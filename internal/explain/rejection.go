package explain

import "fmt"

// rejectedAtEntry describes why the entry rejected a request before routing it, from the
// one line that the entry logs about it; "" for any other line.
func rejectedAtEntry(l Line) string {
	switch l.Message {
	case MessageNoRoute:
		return fmt.Sprintf("refused (no-route): no route of version %s leads to host %s and path %s%s",
			l.Get("version"), l.Get("host"), l.Get("path"), pendingConfiguration(l))
	case MessageNoKey:
		return fmt.Sprintf("refused (no-key): %s%s", keyProblem(l), pendingConfiguration(l))
	case MessageUnconfirmed:
		return fmt.Sprintf("refused (not-run): the entry last knew %s ms before that version %s was the newest, and could not tell whether the key still held",
			l.Get("unconfirmed_ms"), l.Get("version"))
	case MessageOutdated:
		return fmt.Sprintf("refused (not-run): version %s was replaced %s ms before, and the newer one had not come", l.Get("version"), l.Get("behind_ms"))
	case MessageNoQuota:
		return fmt.Sprintf("refused (over-quota): it counts %s, and of the quota of team %s, %s a second and %s at once, nothing was left for %s ms",
			l.Get("cost"), l.Get("team"), l.Get("per_second"), l.Get("burst"), l.Get("again_ms"))
	case MessageNoQuotaKeeper:
		return fmt.Sprintf("refused (not-run): no control instance could be asked for the quota of team %s in %s ms", l.Get("team"), l.Get("waited_ms"))
	}
	return ""
}

func keyProblem(l Line) string {
	if l.Get("shown") == "true" {
		return "no team of version " + l.Get("version") + " has the key that it showed"
	}
	return "it showed no key, and its route needs one"
}

// pendingConfiguration returns a remark on a newer configuration that the entry knew to
// exist but had not received; "" if there was none.
func pendingConfiguration(l Line) string {
	if behind := intField(l, "behind_ms"); behind > 0 {
		return fmt.Sprintf("; a newer one had been on its way for %d ms, so it was told to come again", behind)
	}
	return ""
}
