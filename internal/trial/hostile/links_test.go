package hostile_test

import (
	"encoding/binary"
	"strings"
	"testing"
	"time"
)

// Frames of the multiplexer between gateways: version, type, flags, stream and length.
const (
	dataFrame, windowUpdate = 0, 1
	noFlag, openStream      = 0, 1
	firstStream             = 1
	// largestFrame is what a stream may send before it is read, and largestMessage the most bytes
	// of a message.
	largestFrame   = 256 << 10
	largestMessage = 2 << 20
	pieceBytes     = 32 << 10
)

func frameHeader(kind, flags byte, stream, length int) string {
	b := []byte{0, kind, 0, flags}
	b = binary.BigEndian.AppendUint32(b, uint32(stream)) //nolint:gosec // Streams and lengths of tests are small.
	b = binary.BigEndian.AppendUint32(b, uint32(length)) //nolint:gosec // As above.
	return string(b)
}

// linkScenarios are crowds at the port for other gateways.
func linkScenarios() []scenario {
	sized := string(binary.AppendUvarint(nil, largestMessage))
	open := frameHeader(windowUpdate, openStream, firstStream, 0)
	begin := open + frameHeader(dataFrame, noFlag, firstStream, len(sized)) + sized
	fill := frameHeader(dataFrame, noFlag, firstStream, pieceBytes) + strings.Repeat("m", pieceBytes)
	var streams strings.Builder
	for number := range 200 {
		streams.WriteString(frameHeader(windowUpdate, openStream, 2*number+1, 0))
		streams.WriteString(frameHeader(dataFrame, noFlag, 2*number+1, len(sized)) + sized)
	}
	return []scenario{
		{Name: "silent", Crowd: 800},
		{Name: "requests", Crowd: 400, Send: []piece{{Text: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", Endless: true}}},
		{Name: "frames-short-of-their-end", Crowd: 500, Send: []piece{
			{Text: open + frameHeader(dataFrame, noFlag, firstStream, largestFrame)}, {Text: "f", Bytes: largestFrame - 1},
		}},
		{Name: "messages-short-of-their-end", Crowd: 100, Send: []piece{
			{Text: begin}, {Text: fill, Bytes: (largestMessage/pieceBytes - 1) * len(fill)},
		}},
		{Name: "messages-stated-on-many-streams", Crowd: 20, Send: []piece{{Text: streams.String()}}},
		{Name: "streams-without-number", Crowd: 20, Send: []piece{{Text: manyStreams()}}},
	}
}

// manyStreams opens streams and sends half of a frame's most on each.
func manyStreams() string {
	var text strings.Builder
	for number := range 100 {
		text.WriteString(frameHeader(windowUpdate, openStream, 2*number+1, 0))
		text.WriteString(frameHeader(dataFrame, noFlag, 2*number+1, largestFrame/2))
		text.WriteString(string(binary.AppendUvarint(nil, largestMessage)))
		text.WriteString(strings.Repeat("s", largestFrame/2-len(binary.AppendUvarint(nil, largestMessage))))
	}
	return text.String()
}

// Guards against those who connect to the port for other gateways and end the process there, or
// keep the gateways from hearing each other afterwards.
func TestPortForGatewaysIsBounded(t *testing.T) {
	binary := buildProgram(t)
	for _, s := range linkScenarios() {
		t.Run(s.Name, func(t *testing.T) {
			g := startGateway(t, binary)
			g.requireHolds(func() { runCrowd(g.linkAddress(), s, time.Now().Add(playTime/2)) })
			peer := g.startPeer("gateway-2")
			g.awaitMetric("persimmonridge_gateways_heard", 2)
			peer.awaitMetric("persimmonridge_gateways_heard", 2)
		})
	}
}
