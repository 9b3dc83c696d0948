// Package explain reconstructs from the logs of any number of processes what happened
// to one request, and the state of the processes that handled it at that time.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

const maxLineBytes = 1 << 20

// line is one line of a log.
type line struct {
	source string
	time   time.Time
	fields map[string]string
	text   string
}

// stateMessages maps the messages that log a change of a process's state to the field
// that names the subject of the state, if there is one. The last such line before a
// request shows the state during it.
var stateMessages = map[string]string{
	"configuration in force": "",
	"scheduler":              "",
	"store lost":             "",
	"store regained":         "",
	"requests wait":          "",
	"stopping":               "",
	"speeds of engines read": "",
	"upstream changed":       "upstream",
	"upstream gone":          "upstream",
	"peer silent":            "peer",
	"scheduler silent":       "node",
	// The last line holds all domains that are evacuated.
	"evacuated failure domains": "",
}

// Log holds the log lines of one process.
type Log struct {
	source string
	lines  []line
}

// Read reads the log of one process. It skips lines of other formats.
func Read(source string, reader io.Reader) (*Log, error) {
	log := &Log{source: source}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(source, scanner.Text()); ok {
			log.lines = append(log.lines, l)
		}
	}
	return log, scanner.Err()
}

// parse reads key=value pairs; values with spaces are quoted. It skips text before the
// time, which a log collector may add.
func parse(source, text string) (line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return line{}, false
	}
	l := line{source: source, fields: make(map[string]string), text: text[start:]}
	for rest := l.text; rest != ""; {
		name, after, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		var value string
		value, rest = cutValue(after)
		l.fields[strings.TrimSpace(name)] = value
	}
	timestamp, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil {
		return line{}, false
	}
	l.time = timestamp
	return l, true
}

// cutValue splits the text after its first value.
func cutValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return strings.ReplaceAll(text[1:i], `\"`, `"`), strings.TrimPrefix(text[i+1:], " ")
		}
	}
	return text, ""
}

// WriteReport writes the lines of the request in order of time, preceded by the state of
// each process that handled it. It reports whether a line was found.
func WriteReport(w io.Writer, id string, logs ...*Log) (found bool, err error) {
	var merged []line
	for _, log := range logs {
		requestLines := log.linesOf(id)
		if len(requestLines) == 0 {
			continue
		}
		merged = append(merged, requestLines...)
		if _, err := fmt.Fprintf(w, "state of %s before the request:\n", log.source); err != nil {
			return true, err
		}
		for _, l := range log.stateBefore(requestLines) {
			if _, err := fmt.Fprintf(w, "  %8s earlier  %s\n", requestLines[0].time.Sub(l.time).Round(time.Millisecond), l.summary()); err != nil {
				return true, err
			}
		}
	}
	if len(merged) == 0 {
		return false, nil
	}
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].time.Before(merged[j].time) })
	_, err = fmt.Fprintf(w, "request %s (times are from the clock of each process):\n", id)
	for _, l := range merged {
		if err != nil {
			return true, err
		}
		_, err = fmt.Fprintf(w, "  %s  %s  %s\n", l.time.Format("15:04:05.000"), l.source, l.summary())
	}
	return true, err
}

// Restarts returns a line for each restart of a process, with its time. If the process
// was killed, its requests in flight have no final log line.
func Restarts(logs ...*Log) []string {
	var restarts []string
	for _, log := range logs {
		started := 0
		for _, l := range log.lines {
			if l.fields["msg"] != "started" {
				continue
			}
			started++
			if started > 1 {
				restarts = append(restarts, fmt.Sprintf("%s restarted at %s", log.source, l.time.Format("15:04:05.000")))
			}
		}
	}
	return restarts
}

// linesOf returns the lines of the request.
func (l *Log) linesOf(id string) []line {
	var matching []line
	for _, line := range l.lines {
		if line.fields["id"] == id {
			matching = append(matching, line)
		}
	}
	return matching
}

// stateBefore returns the last line of each state before the end of the request. Of
// upstreams it includes only those that the request was sent to.
func (l *Log) stateBefore(requestLines []line) []line {
	requestUpstreams := make(map[string]bool)
	for _, line := range requestLines {
		requestUpstreams[line.fields["upstream"]] = true
		for _, upstream := range strings.Fields(strings.Trim(line.fields["tried"], "[]")) {
			requestUpstreams[upstream] = true
		}
	}
	lastLines := make(map[string]line)
	for _, line := range l.lines {
		subject, ok := stateMessages[line.fields["msg"]]
		if !ok || line.time.After(requestLines[len(requestLines)-1].time) {
			continue
		}
		if subject == "upstream" && !requestUpstreams[line.fields[subject]] {
			continue
		}
		lastLines[line.fields["msg"]+line.fields[subject]] = line
	}
	var states []line
	for _, line := range lastLines {
		states = append(states, line)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].time.Before(states[j].time) })
	return states
}

// summary returns the line without its time, level and request ID.
func (l line) summary() string {
	text := l.text
	for _, name := range []string{"time", "level", "id"} {
		if value, ok := l.fields[name]; ok {
			text = strings.Replace(text, name+"="+value+" ", "", 1)
		}
	}
	return text
}
