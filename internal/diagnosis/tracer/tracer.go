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

// Config says what to trace.
type Config struct {
	// Request is the ID of the request.
	Request string
	// From and To limit the time of the request; a zero value is no limit. Lines
	// shortly before and after belong to its report all the same.
	From, To time.Time
	// Inputs are the logs of the hosts. Text before "time=" in a line, such as the name
	// of a host, is kept in Line.Text; lines in another format are skipped.
	Inputs []Input
}

// Input opens a log. It is called twice, so that logs of any length take little
// memory: once to find the request, once to collect what belongs to it.
type Input func() (io.ReadCloser, error)

// flow is a flow of the request.
type flow struct{ caller, service string }

// search is what is known about the request after the first pass.
type search struct {
	flows       map[flow]bool
	first, last time.Time
}

// Trace returns what the logs show about a request.
func Trace(c Config) (r Report, err error) {
	defer func() { err = errors.Wrapf(err, "trace %s", c.Request) }()
	s, err := find(&c)
	if err != nil {
		return r, err
	}
	var changes []Line
	targets := map[string]bool{}
	err = scan(c.Inputs, func(text string) {
		if !s.mayBelong(text) {
			return
		}
		l, ok := parse(text)
		switch {
		case !ok || !within(l.Time, s.first, s.last):
		case s.flows[flow{l.Fields["caller"], l.Fields["service"]}]:
			r.Flow = append(r.Flow, l)
			if t := l.Fields["target"]; t != "" {
				targets[t] = true
			}
		case changeMessages[l.Message]:
			changes = append(changes, l)
		}
	})
	if err != nil {
		return r, err
	}
	for i := range changes {
		if isStateChange(&changes[i], targets) {
			r.StateChanges = append(r.StateChanges, changes[i])
		}
	}
	sortByTime(r.Flow)
	sortByTime(r.StateChanges)
	r.Conclusions = summarize(&r)
	return r, nil
}

// find returns the flows and the time of the request.
func find(c *Config) (s *search, err error) {
	s = &search{flows: map[flow]bool{}}
	err = scan(c.Inputs, func(text string) {
		if !strings.Contains(text, c.Request) {
			return
		}
		l, ok := parse(text)
		if !ok || l.Fields["request"] != c.Request || !c.inRange(l.Time) {
			return
		}
		if s.first.IsZero() || l.Time.Before(s.first) {
			s.first = l.Time
		}
		if l.Time.After(s.last) {
			s.last = l.Time
		}
		s.flows[flow{l.Fields["caller"], l.Fields["service"]}] = true
	})
	if err == nil && len(s.flows) == 0 {
		err = errNotFound
	}
	return s, err
}

func (c *Config) inRange(t time.Time) bool {
	return (c.From.IsZero() || !t.Before(c.From)) && (c.To.IsZero() || !t.After(c.To))
}

// mayBelong reports whether a line may belong to the report. It is cheaper than
// parsing the line.
func (s *search) mayBelong(text string) bool {
	for f := range s.flows {
		if strings.Contains(text, f.caller) {
			return true
		}
	}
	for m := range changeMessages {
		if strings.Contains(text, m) {
			return true
		}
	}
	return false
}

// scan calls handle with each line of the inputs.
func scan(inputs []Input, handle func(text string)) (err error) {
	for _, open := range inputs {
		if err := scanInput(open, handle); err != nil {
			return err
		}
	}
	return nil
}

func scanInput(open Input, handle func(text string)) (err error) {
	defer func() { err = errors.Wrap(err, "read log") }()
	r, err := open()
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, r.Close()) }()
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineLength)
	for s.Scan() {
		handle(s.Text())
	}
	return errors.WithStack(s.Err())
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

func within(t, first, last time.Time) bool {
	return t.After(first.Add(-contextWindow)) && t.Before(last.Add(contextWindow))
}

// changeMessages are the messages of lines that record a change of a target, of the
// routing, of the store or of a host.
var changeMessages = map[string]bool{
	"knowledge: target registered": true, "knowledge: target gone": true, "target: condition changed": true,
	"knowledge: routing in force": true, "store: lost": true, "store: regained": true,
	"host: woke up": true, "host: started": true, "host: stopping": true,
}

// isStateChange reports whether a line with such a message matters to a request: one
// about a target only if the request was there.
func isStateChange(l *Line, targets map[string]bool) bool {
	switch l.Message {
	case "knowledge: target registered", "knowledge: target gone", "target: condition changed":
		return targets[l.Fields["target"]]
	default:
		return true
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
		"targets_cold":   "the usable targets of the service had not warmed up, and their limit was reached at this host",
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
