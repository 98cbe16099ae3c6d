package command

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// logLine is one event of a process's log.
type logLine struct {
	// Time is the part of the line that orders it: month, day and time of day.
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

// causes says what each event means for the request that it names.
var causes = map[string]string{
	"accepted":          "the entry took the request",
	"placed":            "a target was chosen",
	"refused_by_target": "the target said that it did not run it",
	"not_reached":       "no connection to the target; nothing was sent",
	"broken":            "the answer broke off",
	"retried":           "it was sent to another target",
	"resumed_from_copy": "the stream went on from a copy of its memory",
	"copy_gone":         "the copy was lost with its target",
	"copy_moved":        "a new copy was asked for",
	"copy_failed":       "the new copy could not be made",
	"budget_denied":     "the retry budget allowed no further attempt",
	"ended":             "the request was over",
}

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

// readLogs reads files, or standard input where none is named.
func readLogs(paths []string, standard io.Reader) ([]logLine, error) {
	if len(paths) == 0 {
		return parseLog(standard)
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

// parseLog reads the events of a log. Lines of another form are passed over.
func parseLog(reader io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		match := eventPattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		line := logLine{Time: match[2], Event: match[3], Fields: strings.TrimSpace(match[4]), values: map[string]string{}}
		// A collector may have put the name of the process before the line.
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

// explainRequest prints the story of a request and what it ended with.
func explainRequest(out io.Writer, id string, lines []logLine) error {
	own := slices.IndexFunc(lines, func(l logLine) bool { return l.values["request"] == id })
	if own < 0 {
		return errors.Errorf("no line names request %s; it may have reached no entry, or its lines were left out (see leftOut)", id)
	}
	story := storyOf(id, lines)
	for _, line := range story {
		mark := "  "
		meaning := ""
		if line.values["request"] == id {
			mark, meaning = "* ", causes[line.Event]
		}
		fields := strings.ReplaceAll(line.Fields, `request="`+id+`"`, "")
		if _, err := fmt.Fprintf(out, "%s%s %-14s %-18s %s", mark, line.Time[5:], line.Process, line.Event, strings.TrimSpace(fields)); err != nil {
			return errors.Wrap(err, "write")
		}
		if meaning != "" {
			meaning = "  -- " + meaning
		}
		if _, err := fmt.Fprintln(out, meaning); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	_, err := fmt.Fprintln(out, "cause:", causeOf(id, story))
	return errors.Wrap(err, "write")
}

// storyOf returns the lines about a request, and those between its first and last
// about its targets and about the entries that served it.
func storyOf(id string, lines []logLine) []logLine {
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
	// An entry that was lost logs no end, but its next start.
	if lines[last].Event != "ended" {
		next := slices.IndexFunc(lines[last+1:], func(l logLine) bool {
			return l.Event == "started" && processes[l.Process]
		})
		if next >= 0 {
			last += next + 1
		}
	}
	var story []logLine
	for _, line := range lines[first : last+1] {
		request, about := line.values["request"], line.values["target"]
		switch {
		case request == id, request == "" && targets[about]:
			story = append(story, line)
		case request == "" && about == "" && processes[line.Process]:
			story = append(story, line)
		}
	}
	return story
}

// causeOf names the decision that ended a request the way it did: the last thing
// that went wrong before its end.
func causeOf(id string, story []logLine) string {
	cause := "no end is logged: the entry was lost, or the line was left out"
	trouble := ""
	for _, line := range story {
		own := line.values["request"] == id
		switch {
		case line.Event == "started":
			cause = fmt.Sprintf("the entry %s was lost with the request and started anew at %s", line.Process, line.Time[5:])
		case own && line.Event == "ended":
			cause = line.end()
		case own:
			if problem := line.problem(); problem != "" {
				trouble = problem
			}
		}
	}
	if trouble != "" {
		cause += "; before that " + trouble
	}
	return cause
}

// problem describes a line about something that went wrong, and is empty for others.
func (l logLine) problem() string {
	switch l.Event {
	case "broken", "not_reached", "refused_by_target":
		return fmt.Sprintf("%s at %s (%s)", causes[l.Event], l.values["target"], l.Fields)
	case "budget_denied":
		return fmt.Sprintf("%s (%s)", causes[l.Event], l.Fields)
	default:
		return ""
	}
}

// end describes the line about the end of a request.
func (l logLine) end() string {
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
	return cause
}
