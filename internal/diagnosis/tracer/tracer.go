// Package tracer finds in the logs of hosts what happened to one request: what
// was decided about its flow, and what the hosts believed of its target then.
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
	// around is how long before and after the request other lines are of interest.
	around = 8 * time.Second
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
)

// Line is a log line.
type Line struct {
	Time    time.Time
	Message string
	Fields  map[string]string
	Text    string
}

// Report is what the logs tell of a request.
type Report struct {
	// Flow are the lines of the request's flow, StateChanges the changes in what hosts
	// believed of its target and of the store around it.
	Flow, StateChanges []Line
	// Conclusions say in words what the lines show.
	Conclusions []string
}

// errNotFound says that no line names the request.
var errNotFound = errors.New("no line names this request; it may have been left out (see \"flow: lines left out\"), or have reached no host")

// Read reads the log lines of hosts. Whatever stands before "time=" belongs to
// the source, such as a host's name, and is kept.
func Read(r io.Reader) (lines []Line, err error) {
	defer func() { err = errors.Wrap(err, "read log") }()
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := parse(s.Text()); ok {
			lines = append(lines, l)
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	return lines, errors.WithStack(s.Err())
}

// parse reads a line of the text format.
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

// cutValue splits a value, quoted or not, from what follows.
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

// Trace returns what the lines tell of the request with the id.
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
		if within(l.Time, first, last) && believes(&l, targets) {
			r.StateChanges = append(r.StateChanges, l)
		}
	}
	r.Conclusions = conclude(&r)
	return r, nil
}

func within(t, first, last time.Time) bool {
	return t.After(first.Add(-around)) && t.Before(last.Add(around))
}

// believes tells whether a line changes what a host believes of the targets, of
// the routes or of the store.
func believes(l *Line, targets map[string]bool) bool {
	switch l.Message {
	case "knowledge: target registered", "knowledge: target gone", "target: condition changed":
		return targets[l.Fields["target"]]
	case "knowledge: routing in force", "store: lost", "store: regained", "host: woke up", "host: started", "host: stopping":
		return true
	default:
		return false
	}
}

// conclude says in words what the lines show.
func conclude(r *Report) (found []string) {
	add := func(format string, arguments ...any) { found = append(found, fmt.Sprintf(format, arguments...)) }
	repeats := 0
	for i := range r.Flow {
		l := &r.Flow[i]
		if l.Fields["repeat"] == "true" {
			repeats++
		}
		switch l.Message {
		case "flow: request unanswered":
			add("target %s did not answer within %s", l.Fields["target"], l.Fields["waited"])
		case "flow: reset":
			add("the flow was reset: %s, under version %s, knowledge %s old", explain(l.Fields["reason"]), l.Fields["version"], l.Fields["age"])
		case "flow: dropped":
			add("a packet was dropped: %s, knowledge %s old", explain(l.Fields["reason"]), l.Fields["age"])
		}
	}
	if repeats > 0 {
		add("the caller sent %d packets again: no answer came in 200 ms", repeats)
	}
	for _, x := range news(r.StateChanges) {
		add("%s (first seen at %s, by %d hosts or times)", x.text, x.first, x.times)
	}
	return unique(found)
}

// learned is something that hosts learned.
type learned struct {
	text, first string
	times       int
}

// news gathers what hosts learned of targets, in order.
func news(beliefs []Line) (all []learned) {
	index := map[string]int{}
	for i := range beliefs {
		text := belief(&beliefs[i])
		if text == "" {
			continue
		}
		if _, known := index[text]; !known {
			index[text] = len(all)
			all = append(all, learned{text: text, first: beliefs[i].Fields["time"]})
		}
		all[index[text]].times++
	}
	return all
}

// belief says what a line tells of a target, or nothing.
func belief(l *Line) string {
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

func unique(all []string) (once []string) {
	seen := map[string]bool{}
	for _, x := range all {
		if !seen[x] {
			seen[x] = true
			once = append(once, x)
		}
	}
	return once
}

// explain says what a reason means.
func explain(reason string) string {
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
