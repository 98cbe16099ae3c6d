package command

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// maxLogLineBytes bounds the length of one log line.
const maxLogLineBytes = 1 << 20

// logLine is one event in the log of a process.
type logLine struct {
	// Time is the timestamp by which lines are sorted: month, day and time of day.
	Time    string
	Process string
	Event   string
	Fields  string
	// values holds the fields by name.
	values map[string]string
}

var (
	eventPattern = regexp.MustCompile(`^(.*?)[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [^ \]]+\] "([a-z_]+)"(.*)$`)
	fieldPattern = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// eventMeanings describes what each event means for the request that it names.
var eventMeanings = map[string]string{
	"accepted":                "the entry took the request",
	"placed":                  "a target was chosen",
	"refused_by_target":       "the target said that it did not run it",
	"response_rejected":       "the response was not certain to be that to the request",
	"late_response_discarded": "the target answered the request before it once more",
	"not_reached":             "no connection to the target; nothing was sent",
	"broken":                  "the answer broke off",
	"retried":                 "it was sent to another target",
	"replaced":                "its target was silent, and another one was at hand",
	"resumed_from_copy":       "the stream went on from a copy of its memory",
	"caller_returned":         "the caller came back for the rest of a stream",
	"copy_gone":               "the copy was lost with its target",
	"copy_moved":              "a new copy was asked for",
	"copy_failed":             "the new copy could not be made",
	"call_queued":             "the call waited for a place at a target",
	"budget_denied":           "the retry budget allowed no further attempt",
	"connection_closed":       "the entry had to end and closed the connection without a response",
	"quarantined":             "engines crash on a part of its prompt",
	"withdrawn":               "its target announced meanwhile that it takes no requests; nothing was sent",
	"target_leaving":          "the target announced that it is leaving",
	"target_backoff":          "the target asked for no requests for a while",
	"ended":                   "the request was over",
}

// targetStates are the events by which responses change what entries believe of a target.
// They name the request that was answered, and matter to all requests of that target.
var targetStates = map[string]bool{"target_leaving": true, "target_backoff": true}

// storeEras are the events by which an entry learns that the store has come back from an older copy, and
// what it then keeps. They matter to its requests for eraPeriod.
var storeEras = map[string]string{
	"store_era":                "the store came back from an older copy",
	"kept_against_copy":        "the store holds something older, which does not count",
	"configuration_superseded": "another entry has a later configuration; keys are refused until it is known here too",
	"configuration_learned":    "the later configuration came from another entry",
}

const (
	eraPeriod     = 12 * time.Second
	logTimeLayout = "0102 15:04:05.000000"
)

func newExplain() *cobra.Command {
	command := &cobra.Command{
		Use:   "explain REQUEST-ID [LOG...]",
		Short: "Tell the story of a request from the logs of the entries",
		Long: "Reads logs of any number of entries, from files or standard input, and prints in order what was\n" +
			"decided about a request and what happened meanwhile to the targets and the store that it depended on.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:], cmd.InOrStdin())
			if err != nil {
				return err
			}
			return explainRequest(cmd.OutOrStdout(), args[0], lines)
		},
	}
	return command
}

// readLogs reads the events of the files at paths, or of stdin if there are none.
func readLogs(paths []string, stdin io.Reader) ([]logLine, error) {
	if len(paths) == 0 {
		return parseLog(stdin)
	}
	var all []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		lines, err := parseLog(file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "log %s", path)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return all, nil
}

// parseLog reads the events of a log and skips lines in any other format.
func parseLog(reader io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		match := eventPattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		line := logLine{Time: match[2], Event: match[3], Fields: strings.TrimSpace(match[4]), values: map[string]string{}}
		// A log collector may have put the name of the process before the line.
		if words := strings.Fields(match[1]); len(words) > 0 {
			line.Process = words[len(words)-1]
		}
		for _, field := range fieldPattern.FindAllStringSubmatch(line.Fields, -1) {
			line.values[field[1]] = strings.Trim(field[2], `"`)
		}
		lines = append(lines, line)
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

// explainRequest prints the log lines related to a request and the cause of its
// outcome.
func explainRequest(out io.Writer, id string, lines []logLine) error {
	firstLine := slices.IndexFunc(lines, func(l logLine) bool { return l.values["request"] == id })
	if firstLine < 0 {
		return errors.Errorf("no line names request %s; it may have reached no entry, or its lines were left out (see leftOut)", id)
	}
	related := relatedLines(id, lines)
	for _, line := range related {
		prefix := "  "
		meaning := ""
		if line.values["request"] == id {
			prefix = "* "
		}
		if line.values["request"] == id || targetStates[line.Event] {
			meaning = eventMeanings[line.Event]
		} else if line.values["request"] == "" {
			meaning = storeEras[line.Event]
		}
		fields := strings.ReplaceAll(line.Fields, `request="`+id+`"`, "")
		if _, err := fmt.Fprintf(out, "%s%s %-14s %-18s %s", prefix, line.Time[5:], line.Process, line.Event, strings.TrimSpace(fields)); err != nil {
			return errors.Wrap(err, "write")
		}
		if meaning != "" {
			meaning = "  -- " + meaning
		}
		if _, err := fmt.Fprintln(out, meaning); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	_, err := fmt.Fprintln(out, "cause:", describeCause(id, related))
	return errors.Wrap(err, "write")
}

// relatedLines returns the lines of a request, and those between its first and last
// line that are about its targets or come from the entries that served it.
func relatedLines(id string, lines []logLine) []logLine {
	first, last := -1, -1
	targets, processes := map[string]bool{}, map[string]bool{}
	for i, line := range lines {
		if line.values["request"] != id {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		processes[line.Process] = true
		for _, field := range []string{"target", "copy", "runs"} {
			if target := line.values[field]; target != "" {
				targets[target] = true
			}
		}
	}
	// An entry that crashed logs no end of the request, but it logs its next start.
	if lines[last].Event != "ended" {
		next := slices.IndexFunc(lines[last+1:], func(l logLine) bool {
			return l.Event == "started" && processes[l.Process]
		})
		if next >= 0 {
			last += next + 1
		}
	}
	related := eraLines(lines[:first], lines[first].Time, processes)
	for _, line := range lines[first : last+1] {
		request, target := line.values["request"], line.values["target"]
		switch {
		case request == id, targets[target] && (request == "" || targetStates[line.Event]):
			related = append(related, line)
		case request == "" && target == "" && processes[line.Process]:
			related = append(related, line)
		}
	}
	return related
}

// eraLines returns the lines about the eras of the store that the given processes logged shortly before a
// time.
func eraLines(lines []logLine, before string, processes map[string]bool) []logLine {
	end, err := time.Parse(logTimeLayout, before)
	if err != nil {
		return nil
	}
	var found []logLine
	for _, line := range lines {
		at, err := time.Parse(logTimeLayout, line.Time)
		if _, ok := storeEras[line.Event]; ok && err == nil && processes[line.Process] && end.Sub(at) <= eraPeriod {
			found = append(found, line)
		}
	}
	return found
}

// describeCause describes the outcome of a request and the last problem before its
// end.
func describeCause(id string, related []logLine) string {
	cause := "no end is logged: the entry was lost, or the line was left out"
	lastProblem := ""
	for _, line := range related {
		ofRequest := line.values["request"] == id
		switch {
		case line.Event == "started":
			cause = fmt.Sprintf("the entry %s was lost with the request and started anew at %s", line.Process, line.Time[5:])
		case ofRequest && line.Event == "ended":
			cause = line.describeEnd()
		case ofRequest && line.Event == "connection_closed":
			cause = eventMeanings[line.Event]
		case ofRequest, targetStates[line.Event]:
			if problem := line.describeProblem(); problem != "" {
				lastProblem = problem
			}
		}
	}
	if lastProblem != "" {
		cause += "; before that " + lastProblem
	}
	return cause
}

// describeProblem describes a line that reports a problem. It returns the empty
// string for other lines.
func (l logLine) describeProblem() string {
	switch l.Event {
	case "broken", "not_reached", "refused_by_target", "response_rejected", "withdrawn", "target_leaving", "target_backoff":
		return fmt.Sprintf("%s at %s (%s)", eventMeanings[l.Event], l.values["target"], l.Fields)
	case "budget_denied", "quarantined":
		return fmt.Sprintf("%s (%s)", eventMeanings[l.Event], l.Fields)
	default:
		return ""
	}
}

// describeEnd describes the line that logs the end of a request.
func (l logLine) describeEnd() string {
	cause := "outcome " + l.values["outcome"]
	switch {
	case l.values["outcome"] != "none":
	case l.values["status"] != "":
		cause = "answered with status " + l.values["status"]
	default:
		cause = "answered whole, " + l.values["events"] + " events"
	}
	if l.values["firstAfter"] != "" {
		cause += fmt.Sprintf(", the first after %s, the longest pause %s", l.values["firstAfter"], l.values["longestPause"])
	}
	if l.values["error"] != "" {
		cause += ": " + l.values["error"]
	}
	if l.values["cutOff"] != "" {
		cause += fmt.Sprintf("; the entry was stopped %s before and ended it with its grace period", l.values["sinceStop"])
	}
	return cause
}
