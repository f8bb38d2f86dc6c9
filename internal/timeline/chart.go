package timeline

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// WriteChart writes merged events as a table for a terminal: time since the
// first event, instance, event kind, a bar with the event's position in the
// whole time span, endpoint, attempt and detail. Daemons that did not answer
// are listed at the end.
func WriteChart(w io.Writer, merged Merged) error {
	if len(merged.Events) > 0 {
		first := Stamp{Wall: merged.Events[0].GetWallNs()}.Time().UTC()
		if _, err := fmt.Fprintf(w, "began %s\n", first.Format(startTimeLayout)); err != nil {
			return err
		}
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "AFTER\tINSTANCE\tEVENT\tWHEN\tENDPOINT\tATTEMPT\tDETAIL"); err != nil {
		return err
	}
	span := spanOf(merged.Events)
	for _, e := range merged.Events {
		if err := writeRow(table, span, e); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, s := range merged.FailedQueries {
		if _, err := fmt.Fprintf(w, "no answer from %s: %s\n", s.Instance, s.Cause); err != nil {
			return err
		}
	}
	return nil
}

const startTimeLayout = "2006-01-02 15:04:05.000000"

type span struct {
	first, last uint64 // unix ns
}

func spanOf(events []*pb.TimelineEvent) span {
	if len(events) == 0 {
		return span{}
	}
	return span{first: events[0].GetWallNs(), last: events[len(events)-1].GetWallNs()}
}

// barWidth is the width of the chart's time axis, characters.
const barWidth = 32

func (s span) bar(at uint64) string {
	place := 0
	if s.last > s.first {
		place = int((at - s.first) * (barWidth - 1) / (s.last - s.first))
	}
	return strings.Repeat("·", place) + "█" + strings.Repeat("·", barWidth-1-place)
}

// maxAttemptChars is how many characters of an attempt ID a row shows.
const maxAttemptChars = 8

func writeRow(w io.Writer, s span, e *pb.TimelineEvent) error {
	after := time.Duration(e.GetWallNs() - s.first)
	_, err := fmt.Fprintf(w, "%9.3fms\t%s\t%s\t%s\t%s\t%s\t%s\n",
		float64(after)/float64(time.Millisecond),
		e.GetInstanceId(),
		e.GetKind(),
		s.bar(e.GetWallNs()),
		e.GetEndpointId(),
		truncate(e.GetAttemptId(), maxAttemptChars),
		e.GetDetail())
	return err
}
