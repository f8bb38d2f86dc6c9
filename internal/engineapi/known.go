package engineapi

// EventStreamMediaType is the media type of decode streams.
const EventStreamMediaType = "text/event-stream"

// Known reports whether c is one of the error codes of endpoints.
func (c Code) Known() bool {
	switch c {
	case CodeStale, CodeFull, CodeNoModel, CodeGone, CodeTransfer,
		CodeLeaving, CodeOldToken, CodeBadRequest, CodeWrongRole:
		return true
	}
	return false
}

// Known reports whether f is FinishNone or one of the reasons for which a stream ends.
func (f Finish) Known() bool {
	switch f {
	case FinishNone, FinishStop, FinishLength, FinishCancelled, FinishError:
		return true
	}
	return false
}
