package demo

import (
	"embed"
	"fmt"
	"strings"
)

//go:embed prompts/*.txt
var promptFiles embed.FS

// longPromptCopies is the number of copies of a text that are appended to a long prompt.
const longPromptCopies = 6

// prompts returns n different prompts from the texts in turn. Every fourth is long.
func prompts(n int) ([]string, error) {
	entries, err := promptFiles.ReadDir("prompts")
	if err != nil {
		return nil, err
	}
	var texts []string
	for _, entry := range entries {
		data, err := promptFiles.ReadFile("prompts/" + entry.Name())
		if err != nil {
			return nil, err
		}
		texts = append(texts, strings.TrimSpace(string(data)))
	}
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("Request %d.\n%s", i+1, texts[i%len(texts)])
		if i%4 == 3 {
			list[i] += strings.Repeat("\n\n"+texts[(i/4)%len(texts)], longPromptCopies)
		}
	}
	return list, nil
}
