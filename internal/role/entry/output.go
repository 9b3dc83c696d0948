package entry

import (
	"bytes"
	"net/http"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/caller/request"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
)

const (
	// recordMost is the largest answer that is kept with a claim.
	recordMost = 32 << 10
	// callerTimeout is how long a caller may take to accept one piece.
	callerTimeout = 30 * time.Second
)

// output is the way of one answer to its caller. It checks that bytes come in
// order and without a gap, whatever links they came over.
type output struct {
	requestID  string
	writer     http.ResponseWriter
	control    *http.ResponseController
	invariants *invariant.Recorder
	now        func() time.Time

	head     *wire.Head
	started  bool
	offset   uint64
	firstAt  time.Time
	events   int
	recorder *recorder
}

// recorder keeps a small answer whole, for a claim.
type recorder struct {
	body     []byte
	overflow bool
}

func newOutput(id string, w http.ResponseWriter, invariants *invariant.Recorder, now func() time.Time) *output {
	return &output{requestID: id, writer: w, control: http.NewResponseController(w), invariants: invariants, now: now}
}

// setHead remembers the head; it is written with the first byte, so that until
// then the request can still go elsewhere.
func (o *output) setHead(head *wire.Head) { o.head = head }

// reset forgets a head of which nothing was written.
func (o *output) reset() {
	if !o.started {
		o.head, o.offset = nil, 0
	}
}

// write hands one piece to the caller.
func (o *output) write(data *wire.Data) error {
	if data.GetOffset()+uint64(len(data.GetBytes())) <= o.offset {
		return nil
	}
	if !o.invariants.Check(data.GetOffset() == o.offset, invariant.AnswerContiguous, o.requestID, "a piece does not follow the last one") {
		return errGap
	}
	o.begin()
	o.offset += uint64(len(data.GetBytes()))
	o.events += bytes.Count(data.GetBytes(), []byte("data:"))
	if o.recorder != nil {
		o.recorder.add(data.GetBytes())
	}
	if _, err := o.writer.Write(data.GetBytes()); err != nil {
		return errCallerGone
	}
	if err := o.control.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// tokens returns the answer's length: its events, or what its bytes make when
// it was not streamed.
func (o *output) tokens() int {
	// bytesPerToken is the usual length of a token of text.
	const bytesPerToken = 4
	if o.events > 0 {
		return o.events
	}
	return int(o.offset / bytesPerToken)
}

// begin writes the head, once. It is called before each piece and before the
// answer's end, and gives the caller its time for what follows.
func (o *output) begin() {
	_ = o.control.SetWriteDeadline(o.now().Add(callerTimeout))
	if o.started {
		return
	}
	o.started = true
	o.firstAt = o.now()
	header := o.writer.Header()
	for _, field := range o.head.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set(request.HeaderRequestID, o.requestID)
	header.Set("X-Ran", "ran")
	status := int(o.head.GetStatus())
	if status == 0 {
		status = http.StatusOK
	}
	o.writer.WriteHeader(status)
}

func (r *recorder) add(p []byte) {
	if len(r.body)+len(p) > recordMost {
		r.overflow = true
		r.body = nil
	}
	if !r.overflow {
		r.body = append(r.body, p...)
	}
}

// stored returns the answer as it is kept with a claim.
func (o *output) stored(outcome wire.End_Outcome) *wire.StoredAnswer {
	answer := &wire.StoredAnswer{Outcome: outcome, Status: o.head.GetStatus(), Headers: o.head.GetHeaders()}
	if o.recorder != nil && !o.recorder.overflow && outcome == wire.End_OUTCOME_ANSWERED {
		answer.Body, answer.Whole = o.recorder.body, true
	}
	return answer
}
