package heads

import (
	"maps"
	"strings"
)

// unknownStatuses are status codes, some with a reason phrase, that RFC 9110 does not allow.
var unknownStatuses = []string{"000", "000 OK", "007 No", "099", "+12 OK", "-00", "600 Odd", "999 Odd"}

// statusTails follow a status line. The last ones hold another answer.
var statusTails = map[string]string{
	"stated length":  "@id\n@seal\nContent-Length: 5\n\nouter",
	"to the end":     "@id\n@seal\n\nouter",
	"no body":        "@id\n@seal\nContent-Length: 0\n\n",
	"chunks":         "@id\n@seal\nTransfer-Encoding: chunked\n\n5\nouter\n0\n\n",
	"events":         "@id\n@seal\nContent-Type: text/event-stream\n\nid: 1\ndata: a\n\n",
	"not executed":   "@id\n@not-executed\nContent-Length: 0\n\n",
	"inner answer":   "@id\n@seal\nContent-Type: text/plain\n\n" + soundAnswer,
	"answer behind":  "\n" + soundAnswer,
	"refusal behind": "\nHTTP/1.1 503 Busy\n@id\n@not-executed\nContent-Length: 0\n\n",
}

const soundAnswer = "HTTP/1.1 200 OK\n@id\n@seal\nContent-Length: 5\n\ninner"

// Malformed returns answers by name whose head is none of an answer on a new connection.
func Malformed(lines Lines) map[string]string {
	all := UnknownStatuses(lines)
	for _, more := range []map[string]string{BadLines(lines), OldCodings(lines), Switches(lines)} {
		maps.Copy(all, more)
	}
	// A client that expects one answer reads that one as its own.
	delete(all, afterAnother)
	return all
}

// UnknownStatuses returns answers by name whose status code is none.
func UnknownStatuses(lines Lines) map[string]string {
	all := make(map[string]string)
	for _, status := range unknownStatuses {
		for name, tail := range statusTails {
			all["status "+status+", "+name] = lines.fill("HTTP/1.1 " + status + "\n" + tail)
		}
	}
	all["version 2.0"] = lines.fill("HTTP/2.0 200 OK\n" + statusTails["stated length"])
	return all
}

// badLines are lines that are no header fields.
var badLines = map[string]string{
	"length, blank after the name":  "Content-Length : 5",
	"length, tab after the name":    "Content-Length\t: 5",
	"chunked, blank after the name": "Transfer-Encoding : chunked",
	"blank in the name":             "X Y: v",
	"blank after the name":          "X-Y : v",
	"blank alone":                   "X-Y :",
	"control byte in the name":      "X\x01Y: v",
	"NUL in the name":               "X\x00Y: v",
	"DEL in the name":               "X\x7fY: v",
	"high byte in the name":         "X\x80Y: v",
	"return in the name":            "X\rY: v",
	"separator in the name":         "X(Y): v",
	"no name":                       ": v",
	"no colon":                      "X-Y",
	"control byte in the value":     "X-Y: a\x01b",
	"NUL in the value":              "X-Y: a\x00b",
	"return in the value":           "X-Y: a\rb",
}

// BadLines returns answers by name that have a line in their head, or in that of an informational
// answer before it, which is no header field.
func BadLines(lines Lines) map[string]string {
	all := make(map[string]string)
	for name, line := range badLines {
		body := "inner"
		if strings.HasPrefix(name, "chunked") {
			body = "5\ninner\n0\n\n"
		}
		for place, fields := range map[string]string{"before": line + "\n@id\n@seal\n", "after": "@id\n@seal\n" + line + "\n"} {
			all[name+", "+place] = lines.fill("HTTP/1.1 200 OK\n" + fields + "\n" + body)
			all[name+", "+place+", failure"] = lines.fill("HTTP/1.1 500 No\n" + fields + "\n" + body)
			all[name+", "+place+", stated length"] = lines.fill("HTTP/1.1 200 OK\n" + fields + "Content-Length: 5\n\ninner")
			all[name+", "+place+", events"] = lines.fill("HTTP/1.1 200 OK\n" + fields + "Content-Type: text/event-stream\n\nid: 1\ndata: a\n\n")
		}
		all[name+", not executed"] = lines.fill("HTTP/1.1 503 Busy\n@id\n@not-executed\n" + line + "\nContent-Length: 0\n\n")
		all[name+", informational"] = lines.fill("HTTP/1.1 103 Early Hints\n" + line + "\n\n" + soundAnswer)
	}
	return all
}

// afterAnother is the name of an answer that follows one to another request.
const afterAnother = "version 1.0, chunks after another answer"

// OldCodings returns answers by name of version 1.0, which has no transfer codings, that state one.
func OldCodings(lines Lines) map[string]string {
	const chunks = "5\ninner\n0\n\n"
	all := make(map[string]string)
	for name, text := range map[string]string{
		"version 1.0, chunks":                "HTTP/1.0 200 OK\n@id\n@seal\nTransfer-Encoding: chunked\n\n" + chunks,
		"version 1.0, chunks, stated length": "HTTP/1.0 200 OK\nContent-Length: 15\n@id\n@seal\ntransfer-encoding: chunked\n\n" + chunks,
		"version 1.0, chunks, failure":       "HTTP/1.0 500 No\n@id\n@seal\nTransfer-Encoding: chunked\n\n" + chunks,
		"version 1.0, another coding":        "HTTP/1.0 200 OK\n@id\n@seal\nTransfer-Encoding: gzip\n\ninner",
		"version 1.0, no coding":             "HTTP/1.0 200 OK\n@id\n@seal\nTransfer-Encoding:\n\ninner",
		"version 1.0, chunks, not executed":  "HTTP/1.0 503 Busy\n@id\n@not-executed\nTransfer-Encoding: chunked\n\n0\n\n",
		"version 1.0, chunks, kept alive":    "HTTP/1.0 200 OK\nConnection: keep-alive\n@id\n@seal\nTransfer-Encoding: chunked\n\n" + chunks,
		"version 1.0, chunks, events":        "HTTP/1.0 200 OK\n@id\n@seal\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n11\nid: 1\ndata: a\n\n0\n\n",
		"version 1.0, chunks, after a fold":  "HTTP/1.0 200 OK\n@id\n@seal\nX: a\n b\nTransfer-Encoding: chunked\n\n" + chunks,
		afterAnother:                         "HTTP/1.1 200 OK\n@other-id\n@seal\nContent-Length: 2\n\nokHTTP/1.0 200 OK\n@id\n@seal\nTransfer-Encoding: chunked\n\n" + chunks,
	} {
		all[name] = lines.fill(text)
	}
	return all
}

// Switches returns answers by name that switch to a protocol that nobody asked for.
func Switches(lines Lines) map[string]string {
	all := make(map[string]string)
	for name, tail := range statusTails {
		all["switch, "+name] = lines.fill("HTTP/1.1 101 Switching Protocols\nConnection: upgrade\nUpgrade: odd\n" + tail)
		all["switch, "+name+", no field"] = lines.fill("HTTP/1.1 101 Switching Protocols\n" + tail)
	}
	return all
}

// Sound returns answers by name that are unusual and sound. Their body is "inner".
func Sound(lines Lines) map[string]string {
	all := make(map[string]string)
	for name, text := range map[string]string{
		"after a 100": "HTTP/1.1 100 Continue\n\n" + soundAnswer,
		"after a 103": "HTTP/1.1 103 Early Hints\nLink: </a>\n@id\n@seal\n\n" + soundAnswer,
		"odd names and values": "HTTP/1.1 200 \n@id\n@seal\nX-!#$%&'*+.^_`|~9:   v  \nX-Empty:\nX-High: \xe9\xff\n" +
			"X-Folded: a\n\tb\ncontent-length:5\n\ninner",
		"blanks before the status": "HTTP/1.1   200 OK\n@id\n@seal\nContent-Length: 5\n\ninner",
		"length beside chunks":     "HTTP/1.1 200 OK\n@id\n@seal\nContent-Length: 99\nTransfer-Encoding: chunked\n\n5\ninner\n0\n\n",
		"blank in a trailer":       "HTTP/1.1 200 OK\n@id\n@seal\nTransfer-Encoding: chunked\n\n5\ninner\n0\nX Y: v\n\n",
		"version 1.0":              "HTTP/1.0 200 OK\n@id\n@seal\nContent-Length: 5\n\ninner",
		"version 1.2":              "HTTP/1.2 200 OK\n@id\n@seal\nContent-Length: 5\n\ninner",
	} {
		all[name] = lines.fill(text)
	}
	return all
}

// fill returns the text with the lines in it, and with the line ends of HTTP.
func (l Lines) fill(text string) string {
	return strings.ReplaceAll(l.replacer().Replace(text), "\n", "\r\n")
}
