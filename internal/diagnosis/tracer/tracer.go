// Package tracer reconstructs from the logs of hosts what happened to a request:
// the decisions on its flow, and how the hosts' view of its target changed at that
// time.
package tracer

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// contextWindow is how long before the first and after the last line of a request
	// other lines are part of its report.
	contextWindow = 8 * time.Second
	// maxLineLength limits a log line in bytes.
	maxLineLength = 1 << 20
)

// Line is a parsed log line; Text is the line as read.
type Line struct {
	Time    time.Time
	Message string
	Fields  map[string]string
	Text    string
}

// Report is what the logs show about a request.
type Report struct {
	// Flow holds the lines of the request's flow, StateChanges the lines that record a
	// change of its targets, the routing, the store or a host at that time.
	Flow, StateChanges []Line
	// Conclusions summarize the lines in words.
	Conclusions []string
}

// errNotFound is returned if no line names the request.
var errNotFound = errors.New("no line names this request; it may have been left out (see \"flow: lines left out\"), or have reached no host")

// Read parses the log lines of hosts and sorts them by time. Text before "time=",
// such as the name of a host, is kept in Line.Text. Other lines are skipped.
func Read(r io.Reader) (lines []Line, err error) {
	defer func() { err = errors.Wrap(err, "read log") }()
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineLength)
	for s.Scan() {
		if l, ok := parse(s.Text()); ok {
			lines = append(lines, l)
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	return lines, errors.WithStack(s.Err())
}

// parse parses a line in the text format of slog.
func parse(text string) (l Line, ok bool) {
	i := strings.Index(text, "time=")
	if i < 0 {
		return l, false
	}
	l.Text, l.Fields = text, map[string]string{}
	for rest := text[i:]; rest != ""; {
		var name, value string
		name, rest, ok = strings.Cut(rest, "=")
		if !ok {
			break
		}
		value, rest = cutValue(rest)
		l.Fields[strings.TrimSpace(name)] = value
	}
	t, err := time.Parse(time.RFC3339Nano, l.Fields["time"])
	l.Time, l.Message = t, l.Fields["msg"]
	return l, err == nil
}

// cutValue splits a quoted or unquoted value from the rest of the line.
func cutValue(s string) (value, rest string) {
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return value, rest
	}
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return s[1:i], strings.TrimPrefix(s[i+1:], " ")
		}
	}
	return s[1:], ""
}

// Trace returns what the lines show about the request with the ID.
func Trace(lines []Line, id string) (r Report, err error) {
	defer func() { err = errors.Wrapf(err, "trace %s", id) }()
	type flow struct{ caller, service string }
	flows, targets := map[flow]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.Fields["request"] != id {
			continue
		}
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
		flows[flow{l.Fields["caller"], l.Fields["service"]}] = true
	}
	if len(flows) == 0 {
		return r, errNotFound
	}
	for _, l := range lines {
		if flows[flow{l.Fields["caller"], l.Fields["service"]}] && within(l.Time, first, last) {
			r.Flow = append(r.Flow, l)
			if t := l.Fields["target"]; t != "" {
				targets[t] = true
			}
		}
	}
	for _, l := range lines {
		if within(l.Time, first, last) && isStateChange(&l, targets) {
			r.StateChanges = append(r.StateChanges, l)
		}
	}
	r.Conclusions = summarize(&r)
	return r, nil
}

func within(t, first, last time.Time) bool {
	return t.After(first.Add(-contextWindow)) && t.Before(last.Add(contextWindow))
}

// isStateChange reports whether a line records a change of one of the targets, of
// the routing, of the store or of a host.
func isStateChange(l *Line, targets map[string]bool) bool {
	switch l.Message {
	case "knowledge: target registered", "knowledge: target gone", "target: condition changed":
		return targets[l.Fields["target"]]
	case "knowledge: routing in force", "store: lost", "store: regained", "host: woke up", "host: started", "host: stopping":
		return true
	default:
		return false
	}
}

// summarize describes in words what the lines of a report show.
func summarize(r *Report) (conclusions []string) {
	add := func(format string, arguments ...any) {
		conclusions = append(conclusions, fmt.Sprintf(format, arguments...))
	}
	retransmissions := 0
	for i := range r.Flow {
		l := &r.Flow[i]
		if l.Fields["repeat"] == "true" {
			retransmissions++
		}
		switch l.Message {
		case "flow: request unanswered":
			add("target %s did not answer within %s", l.Fields["target"], l.Fields["waited"])
		case "flow: reset":
			add("the flow was reset: %s, under version %s, knowledge %s old", describeReason(l.Fields["reason"]), l.Fields["version"], l.Fields["age"])
		case "flow: dropped":
			add("a packet was dropped: %s, knowledge %s old", describeReason(l.Fields["reason"]), l.Fields["age"])
		}
	}
	if retransmissions > 0 {
		add("the caller sent %d packets again: no answer came in 200 ms", retransmissions)
	}
	for _, change := range countChanges(r.StateChanges) {
		add("%s (first seen at %s, by %d hosts or times)", change.text, change.first, change.count)
	}
	return unique(conclusions)
}

// stateChange is a change of a target that one or more lines record.
type stateChange struct {
	text, first string
	count       int
}

// countChanges returns the distinct changes of targets in the order of their first
// lines, each with its number of lines.
func countChanges(lines []Line) (changes []stateChange) {
	index := map[string]int{}
	for i := range lines {
		text := describeChange(&lines[i])
		if text == "" {
			continue
		}
		if _, known := index[text]; !known {
			index[text] = len(changes)
			changes = append(changes, stateChange{text: text, first: lines[i].Fields["time"]})
		}
		changes[index[text]].count++
	}
	return changes
}

// describeChange describes the change of a target that a line records. It returns
// an empty string for other lines.
func describeChange(l *Line) string {
	target := l.Fields["target"]
	switch {
	case l.Message == "target: condition changed" && l.Fields["down"] == "true":
		return "target " + target + " was found dead"
	case l.Message == "knowledge: target gone":
		return "the registration of target " + target + " ended"
	case l.Message == "knowledge: target registered" && l.Fields["state"] == "draining":
		return "target " + target + " began to drain"
	default:
		return ""
	}
}

func unique(all []string) (distinct []string) {
	seen := map[string]bool{}
	for _, s := range all {
		if !seen[s] {
			seen[s] = true
			distinct = append(distinct, s)
		}
	}
	return distinct
}

// describeReason returns a reason with its meaning, if known.
func describeReason(reason string) string {
	meanings := map[string]string{
		"no_route":       "no route leads from this address in the configuration in force",
		"no_target":      "the service has no target that takes new flows",
		"target_gone":    "the registration of its target ended",
		"target_down":    "its target answered neither packets nor probes, and others had room",
		"unknown_cookie": "no target has the flow's cookie",
		"not_ready":      "the host had no configuration yet",
		"forged":         "it was no packet that callers send",
	}
	if m := meanings[reason]; m != "" {
		return reason + " (" + m + ")"
	}
	return reason
}
