// Package suggest suggests the known word that a misspelled one most likely stands for.
package suggest

import (
	"fmt"
	"strings"
)

// Nearest returns the known word with the smallest edit distance from word, ignoring case,
// or "" if none is within len(word)/3+1 edits.
func Nearest(word string, known []string) string {
	nearest, nearestDistance := "", len(word)/3+2
	for _, k := range known {
		if d := distance(strings.ToLower(word), strings.ToLower(k), nearestDistance); d < nearestDistance {
			nearest, nearestDistance = k, d
		}
	}
	return nearest
}

// Suggest returns the end of a message about an unknown word: the nearest known word or,
// if none is near, all known words if there are at most 12.
func Suggest(word string, known []string) string {
	if nearest := Nearest(word, known); nearest != "" {
		return fmt.Sprintf("; did you mean %q?", nearest)
	}
	if len(known) > 0 && len(known) <= 12 {
		return "; known: " + strings.Join(known, ", ")
	}
	return ""
}

// distance returns the edit distance of a and b in bytes: the number of insertions,
// deletions, substitutions and swaps of adjacent bytes that turn a into b. Where the
// lengths alone differ by limit or more, it returns limit.
func distance(a, b string, limit int) int {
	if len(a)-len(b) >= limit || len(b)-len(a) >= limit {
		return limit
	}
	rowBeforeLast, lastRow, row := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range lastRow {
		lastRow[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			substitution := 1
			if a[i-1] == b[j-1] {
				substitution = 0
			}
			row[j] = min(lastRow[j]+1, row[j-1]+1, lastRow[j-1]+substitution)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], rowBeforeLast[j-2]+1)
			}
		}
		rowBeforeLast, lastRow, row = lastRow, row, rowBeforeLast
	}
	return lastRow[len(b)]
}
