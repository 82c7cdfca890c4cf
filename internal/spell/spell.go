// Package spell finds the known word that a mistyped one most likely means.
package spell

import (
	"fmt"
	"strings"
)

// Nearest returns the known word that is the fewest letters away, or "" if all
// are far.
func Nearest(word string, known []string) string {
	nearest, nearestDistance := "", len(word)/3+2
	for _, k := range known {
		if d := distance(strings.ToLower(word), strings.ToLower(k), nearestDistance); d < nearestDistance {
			nearest, nearestDistance = k, d
		}
	}
	return nearest
}

// Suggest ends a message about an unknown word: by the nearest one, or by all if
// they are few.
func Suggest(word string, known []string) string {
	if nearest := Nearest(word, known); nearest != "" {
		return fmt.Sprintf("; did you mean %q?", nearest)
	}
	if len(known) > 0 && len(known) <= 12 {
		return "; known: " + strings.Join(known, ", ")
	}
	return ""
}

// distance counts the letters to add, drop, change or swap with the next one to
// get from a to b; at most counts on no further.
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
