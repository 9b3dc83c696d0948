package entry

import (
	"bytes"
	"net/http"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/caller/connection"
	"github.com/persimmonridge/persimmonridge/internal/caller/request"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
)

const (
	// maxRecordedBody is the largest response body that is stored with a claim,
	// in bytes.
	maxRecordedBody = 32 << 10
	// writeTimeout is how long a caller may take to accept one chunk.
	writeTimeout = 30 * time.Second
)

// output writes one response to its caller. It checks that bytes arrive in
// order and without gaps, also when the response continues on another link.
type output struct {
	requestID  string
	writer     http.ResponseWriter
	ending     connection.Ending
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

// recorder buffers a response body to be stored with a claim, up to
// maxRecordedBody.
type recorder struct {
	body     []byte
	overflow bool
}

func newOutput(id string, w http.ResponseWriter, ending connection.Ending, invariants *invariant.Recorder, now func() time.Time) *output {
	return &output{requestID: id, writer: w, ending: ending, control: http.NewResponseController(w), invariants: invariants, now: now}
}

// setHead keeps the response head until the first byte is written, up to which
// the request can still be sent to another upstream.
func (o *output) setHead(head *wire.Head) { o.head = head }

// reset discards a head that was not written yet.
func (o *output) reset() {
	if !o.started {
		o.head, o.offset = nil, 0
	}
}

// write sends one chunk to the caller.
func (o *output) write(data *wire.Data) error {
	if data.GetOffset()+uint64(len(data.GetBytes())) <= o.offset {
		return nil
	}
	if !o.invariants.Check(data.GetOffset() == o.offset, invariant.AnswerContiguous, o.requestID, "chunk does not start at the end of the previous one") {
		return errGap
	}
	if err := o.begin(); err != nil {
		return err
	}
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

// tokens returns the response's length in tokens: its number of events, or an
// estimate from its bytes if it was not streamed.
func (o *output) tokens() int {
	// bytesPerToken is the typical length of a token of text.
	const bytesPerToken = 4
	if o.events > 0 {
		return o.events
	}
	return int(o.offset / bytesPerToken)
}

// complete ends a response of which everything was written.
func (o *output) complete() error {
	if err := o.begin(); err != nil {
		return err
	}
	return o.ending.Complete()
}

// begin writes the head, once. It is called before each chunk and before the
// end of the response, and extends the write deadline each time.
func (o *output) begin() error {
	_ = o.control.SetWriteDeadline(o.now().Add(writeTimeout))
	if o.started {
		return nil
	}
	if o.head.GetStatus() == 0 {
		return errNoHead
	}
	if err := o.ending.Begin(); err != nil {
		return err
	}
	o.started = true
	o.firstAt = o.now()
	header := o.writer.Header()
	for _, field := range o.head.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set(request.HeaderRequestID, o.requestID)
	header.Set("X-Ran", "ran")
	o.writer.WriteHeader(int(o.head.GetStatus()))
	return nil
}

func (r *recorder) add(p []byte) {
	if len(r.body)+len(p) > maxRecordedBody {
		r.overflow = true
		r.body = nil
	}
	if !r.overflow {
		r.body = append(r.body, p...)
	}
}

// stored returns the response in the form that is stored with a claim.
func (o *output) stored(outcome wire.End_Outcome) *wire.StoredAnswer {
	answer := &wire.StoredAnswer{Outcome: outcome, Status: o.head.GetStatus(), Headers: o.head.GetHeaders()}
	if o.recorder != nil && !o.recorder.overflow && outcome == wire.End_OUTCOME_ANSWERED {
		answer.Body, answer.Whole = o.recorder.body, true
	}
	return answer
}
