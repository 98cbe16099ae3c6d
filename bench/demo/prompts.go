package demo

import (
	"embed"
	"fmt"
	"strings"
)

//go:embed prompts/*.txt
var promptFiles embed.FS

// longCopies is how many notes a long prompt is put together from.
const longCopies = 6

// prompts returns n different prompts: the texts in turn, every fourth a long one.
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
			list[i] += strings.Repeat("\n\n"+texts[(i/4)%len(texts)], longCopies)
		}
	}
	return list, nil
}
