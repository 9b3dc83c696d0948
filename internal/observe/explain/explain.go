// Package explain finds in the logs of any number of processes what became of
// one request, and what the processes that had it believed at the time.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// line is one line of a log.
type line struct {
	source string
	at     time.Time
	fields map[string]string
	text   string
}

// beliefs are messages that change what a process believes, and the field that
// tells of what. The last one before a request was in force during it.
var beliefs = map[string]string{
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
}

// Log is the lines of one process.
type Log struct {
	source string
	lines  []line
}

// Read reads the log of one process. Lines that are none of ours are skipped.
func Read(source string, reader io.Reader) (*Log, error) {
	log := &Log{source: source}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if l, ok := parse(source, scanner.Text()); ok {
			log.lines = append(log.lines, l)
		}
	}
	return log, scanner.Err()
}

// parse reads key=value pairs; values with spaces are quoted. What stands
// before the first pair, as a collector may add, is skipped.
func parse(source, text string) (line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return line{}, false
	}
	l := line{source: source, fields: make(map[string]string), text: text[at:]}
	for rest := l.text; rest != ""; {
		name, after, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		var value string
		value, rest = cutValue(after)
		l.fields[strings.TrimSpace(name)] = value
	}
	moment, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil {
		return line{}, false
	}
	l.at = moment
	return l, true
}

// cutValue splits the value at the start of the text from what follows.
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

// Story writes what the logs tell of the request, in order of time, and before
// it what each process that had it believed. It tells whether anything was
// found.
func Story(w io.Writer, id string, logs ...*Log) (found bool, err error) {
	var told []line
	for _, log := range logs {
		own := log.of(id)
		if len(own) == 0 {
			continue
		}
		told = append(told, own...)
		if _, err := fmt.Fprintf(w, "%s believed before:\n", log.source); err != nil {
			return true, err
		}
		for _, l := range log.believed(own) {
			if _, err := fmt.Fprintf(w, "  %8s earlier  %s\n", own[0].at.Sub(l.at).Round(time.Millisecond), l.brief()); err != nil {
				return true, err
			}
		}
	}
	if len(told) == 0 {
		return false, nil
	}
	sort.SliceStable(told, func(i, j int) bool { return told[i].at.Before(told[j].at) })
	_, err = fmt.Fprintf(w, "request %s (each process by its own clock):\n", id)
	for _, l := range told {
		if err != nil {
			return true, err
		}
		_, err = fmt.Fprintf(w, "  %s  %s  %s\n", l.at.Format("15:04:05.000"), l.source, l.brief())
	}
	return true, err
}

// Restarts returns, for the log of a process that was started anew, when: what it
// had in hand before left no last line if it was killed.
func Restarts(logs ...*Log) []string {
	var all []string
	for _, log := range logs {
		started := 0
		for _, l := range log.lines {
			if l.fields["msg"] != "started" {
				continue
			}
			started++
			if started > 1 {
				all = append(all, fmt.Sprintf("%s started anew at %s", log.source, l.at.Format("15:04:05.000")))
			}
		}
	}
	return all
}

func (l *Log) of(id string) []line {
	var own []line
	for _, line := range l.lines {
		if line.fields["id"] == id {
			own = append(own, line)
		}
	}
	return own
}

// believed returns the last lines before the request's first that tell what was
// in force; of upstreams and peers only those that the request met.
func (l *Log) believed(own []line) []line {
	met := make(map[string]bool)
	for _, line := range own {
		met[line.fields["upstream"]] = true
		for _, tried := range strings.Fields(strings.Trim(line.fields["tried"], "[]")) {
			met[tried] = true
		}
	}
	last := make(map[string]line)
	for _, line := range l.lines {
		about, ok := beliefs[line.fields["msg"]]
		if !ok || line.at.After(own[len(own)-1].at) {
			continue
		}
		if about == "upstream" && !met[line.fields[about]] {
			continue
		}
		last[line.fields["msg"]+line.fields[about]] = line
	}
	var all []line
	for _, line := range last {
		all = append(all, line)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}

// brief is the line without its time, level and id.
func (l line) brief() string {
	text := l.text
	for _, name := range []string{"time", "level", "id"} {
		if value, ok := l.fields[name]; ok {
			text = strings.Replace(text, name+"="+value+" ", "", 1)
		}
	}
	return text
}
