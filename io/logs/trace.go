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

// Line is a parsed log line.
type Line struct {
	Time   time.Time
	Source string // name of the log that contains the line
	Event  string
	Fields map[string]string
	Text   string
}

// timeField and eventField are present in every line.
const (
	timeField  = "time"
	eventField = "event"
)

// maxLineBytes is the maximum length of a line that is read, in bytes.
const maxLineBytes = 1 << 20

// Read reads the lines of a log. Lines of any other format are skipped, since
// other programs may write to the same file.
func Read(source string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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

// cutValue splits text into the unquoted value at its start and the rest.
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

// traceMargin is how long before and after the lines of a request or flow related
// lines are included.
const traceMargin = 10 * time.Second

// Trace returns the lines that explain the handling of a request or a flow,
// sorted by time: the lines with its identifier, the lines of its flows, and,
// within traceMargin of these, changes of its backend servers, of the
// configuration, and of the links of the processes that handled its packets.
func Trace(lines []Line, id string) []Line {
	flows, servers, sources := map[string]bool{id: true}, map[string]bool{}, map[string]bool{}
	matches := func(l Line) bool { return l.Fields["request"] == id || flows[l.Fields["flow"]] }
	for range 2 { // the first pass may find the flow only after some of its lines
		for _, l := range lines {
			if !matches(l) {
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
	first, last := span(lines, matches)
	var out []Line
	for _, l := range lines {
		nearby := l.Time.After(first.Add(-traceMargin)) && l.Time.Before(last.Add(traceMargin))
		if matches(l) || nearby && isRelated(l, servers, sources) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return out
}

// span returns the times of the first and the last matching line.
func span(lines []Line, matches func(Line) bool) (first, last time.Time) {
	for _, l := range lines {
		if !matches(l) {
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

// isRelated reports whether a line describes a change of the given backend
// servers, of the configuration, or of the links of the given sources.
func isRelated(l Line, servers, sources map[string]bool) bool {
	switch l.Event {
	case "serverChanged":
		observed := l.Fields["source"] != "" && l.Fields["source"] != "replica"
		return servers[l.Fields["server"]] && (observed || sources[l.Source])
	case "configurationAcknowledged":
		return true
	case "configurationInForce", "replicaFound", "replicaLost", "entryStarted", "shutdownStarted", "linesDropped", "linesSampled":
		return sources[l.Source]
	default:
		return false
	}
}
