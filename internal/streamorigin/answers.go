package streamorigin

import "github.com/hyssopsail/hyssopsail/internal/pb"

// answers collects what control instances say about one stream.
type answers struct {
	origin   Origin
	found    bool
	certain  bool // found by an instance in contact with the leader
	early    bool // some can't tell yet
	doubtful bool
}

// add takes in an answer and reports whether it suffices unless another one contradicts it. Only
// an instance in contact with the leader surely knows of endpoints that have started again.
func (a *answers) add(reply *pb.FindStreamReply) (sufficient bool) {
	switch reply.GetResult() {
	case pb.FindStreamResult_FIND_STREAM_RESULT_DOUBTFUL:
		a.doubtful = true
	case pb.FindStreamResult_FIND_STREAM_RESULT_EARLY:
		a.early = true
	case pb.FindStreamResult_FIND_STREAM_RESULT_FOUND:
		origin := Origin{Service: reply.Service, Software: reply.Software}
		a.doubtful = a.doubtful || a.found && origin != a.origin
		a.origin, a.found = origin, true
		a.certain = a.certain || reply.Current
	case pb.FindStreamResult_FIND_STREAM_RESULT_UNKNOWN:
	}
	return a.doubtful || a.certain
}

// result returns where the stream began; ok is false if that is unknown or in doubt.
func (a *answers) result() (origin Origin, ok bool) { return a.origin, a.certain && !a.doubtful }

// mayBecomeCertain reports whether a later question may have a result.
func (a *answers) mayBecomeCertain() bool { return (a.found || a.early) && !a.certain && !a.doubtful }
