package gateway

import (
	"strconv"
	"strings"
)

// formatParts returns the IDs of a prompt's parts as clients write them, separated by commas.
func formatParts(parts []uint64) string {
	var text []string
	for _, part := range parts {
		text = append(text, strconv.FormatUint(part, 16))
	}
	return strings.Join(text, ",")
}
