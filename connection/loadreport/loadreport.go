// Package loadreport parses the load reports that targets send with their responses.
package loadreport

import (
	"strconv"
	"strings"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// maxLoadFigure limits the requests and slots in a load report; no target counts as many.
	maxLoadFigure = 1 << 20
	// minWorkPercent and maxWorkPercent limit the fourth figure of a load report: hosts that
	// are a hundred times as fast or slow as usual have a broken report.
	minWorkPercent = 1
	maxWorkPercent = 10_000
)

// Parse parses a load report: running requests, waiting requests, slots, and
// optionally how long work takes, in percent of what is usual. It returns nil if the report
// is missing or the first three figures are malformed or out of bounds. The fourth figure is
// ignored by itself if it is.
func Parse(text string) *request.Load {
	var figures [4]int
	count := 0
	for field := range strings.SplitSeq(text, ",") {
		if count == len(figures) {
			return nil
		}
		figure, err := strconv.Atoi(strings.TrimSpace(field))
		valid := err == nil && figure >= 0 && figure <= maxLoadFigure
		if !valid && count < 3 {
			return nil
		}
		if valid {
			figures[count] = figure
		}
		count++
	}
	if count < 3 {
		return nil
	}
	load := &request.Load{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
	if percent := figures[3]; percent >= minWorkPercent && percent <= maxWorkPercent {
		load.WorkPercent = percent
	}
	return load
}
