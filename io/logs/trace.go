package logs

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Source string // name of the log that it comes from
	Event  string
	Fields map[string]string
	Text   string
}

// timeField and eventField stand in every line.
const (
	timeField  = "time"
	eventField = "event"
)

// maxLine bounds a line that is read.
const maxLine = 1 << 20

// Read reads the lines of a log. Lines of another form are passed over, since
// other programs may write to the same place.
func Read(source string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parseLine(source, scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, fmt.Errorf("read log %s: %w", source, err)
	}
	return lines, nil
}

func parseLine(source, text string) (Line, bool) {
	at := strings.Index(text, timeField+"=")
	if at < 0 {
		return Line{}, false
	}
	l := Line{Source: source, Fields: map[string]string{}, Text: text[at:]}
	for rest := text[at:]; rest != ""; {
		key, after, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		value, after := cutValue(after)
		l.Fields[strings.TrimSpace(key)] = value
		rest = after
	}
	when, err := time.Parse(timestampFormat, l.Fields[timeField])
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Event = when, l.Fields[eventField]
	return l, l.Event != ""
}

// cutValue returns the value at the start of text, unquoted, and what follows.
func cutValue(text string) (value, after string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		value, err := strconv.Unquote(quoted)
		if err == nil {
			return value, text[len(quoted):]
		}
	}
	value, after, _ = strings.Cut(text, " ")
	return value, after
}

// followMargin is how long before and after a request's own lines the state of
// its backend server and of the configuration is of interest.
const followMargin = 10 * time.Second

// Trace returns, in the order of time, the lines that explain what became of a
// request or a flow: those that name it, those of its flows, and around them the
// changes of its backend servers, of the configuration, and of the links of the
// processes that took its packets.
func Trace(lines []Line, id string) []Line {
	flows, servers, sources := map[string]bool{id: true}, map[string]bool{}, map[string]bool{}
	own := func(l Line) bool { return l.Fields["request"] == id || flows[l.Fields["flow"]] }
	for range 2 { // the flow is known only once the request has been found
		for _, l := range lines {
			if !own(l) {
				continue
			}
			sources[l.Source] = true
			if f := l.Fields["flow"]; f != "" {
				flows[f] = true
			}
			for _, field := range []string{"server", "unanswered"} {
				if s := l.Fields[field]; s != "" {
					servers[s] = true
				}
			}
		}
	}
	first, last := span(lines, own)
	var out []Line
	for _, l := range lines {
		around := l.Time.After(first.Add(-followMargin)) && l.Time.Before(last.Add(followMargin))
		if own(l) || around && explains(l, servers, sources) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return out
}

// span returns the times of the first and the last line that is wanted.
func span(lines []Line, wanted func(Line) bool) (first, last time.Time) {
	for _, l := range lines {
		if !wanted(l) {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	return first, last
}

// explains reports whether a line says what a process believed of the backend
// servers, the configuration or its peers.
func explains(l Line, servers, sources map[string]bool) bool {
	switch l.Event {
	case "serverChanged":
		firstHand := l.Fields["source"] != "" && l.Fields["source"] != "replica"
		return servers[l.Fields["server"]] && (firstHand || sources[l.Source])
	case "configurationAcknowledged":
		return true
	case "configurationInForce", "replicaFound", "replicaLost", "entryStarted", "shutdownStarted", "linesDropped", "linesSampled":
		return sources[l.Source]
	default:
		return false
	}
}
