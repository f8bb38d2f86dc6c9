package engineapi

// MediaEvents is the content type of decode streams.
const MediaEvents = "text/event-stream"

// Known tells whether c is one of the codes above.
func (c Code) Known() bool {
	switch c {
	case CodeStale, CodeFull, CodeNoModel, CodeGone, CodeTransfer,
		CodeLeaving, CodeOldToken, CodeBadRequest, CodeWrongRole:
		return true
	}
	return false
}

// Known tells whether f is one of the ends of a stream, or none.
func (f Finish) Known() bool {
	switch f {
	case FinishNone, FinishStop, FinishLength, FinishCancelled, FinishError:
		return true
	}
	return false
}
