package request

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOutput_TokensBeforeTheFirstAreAMismatch(t *testing.T) {
	for _, position := range []int{-1, -3, -10} {
		o := NewOutput(4)
		for range 2 {
			fresh, result := o.Append(position, []TokenID{1, 2, 3})
			assert.Equal(t, result, Mismatch)
			assert.Equal(t, len(fresh), 0)
			_, result = o.Append(o.Len(), []TokenID{4})
			assert.Equal(t, result, Accepted)
		}
		assert.Equal(t, o.Len(), 2)
	}
}
