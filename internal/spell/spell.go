// Package spell finds the known word that a mistyped one most likely means.
package spell

import (
	"fmt"
	"strings"
)

// Nearest returns the known word that is the fewest letters away, or "" if all
// are far.
func Nearest(word string, known []string) string {
	best, least := "", len(word)/3+2
	for _, k := range known {
		if d := distance(strings.ToLower(word), strings.ToLower(k), least); d < least {
			best, least = k, d
		}
	}
	return best
}

// Suggest ends a message about an unknown word: by the nearest one, or by all if
// they are few.
func Suggest(word string, known []string) string {
	if near := Nearest(word, known); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	if len(known) > 0 && len(known) <= 12 {
		return "; known: " + strings.Join(known, ", ")
	}
	return ""
}

// distance counts the letters to add, drop, change or swap with the next one to
// get from a to b; at most counts on no further.
func distance(a, b string, most int) int {
	if len(a)-len(b) >= most || len(b)-len(a) >= most {
		return most
	}
	two, one, row := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range one {
		one[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := 1
			if a[i-1] == b[j-1] {
				change = 0
			}
			row[j] = min(one[j]+1, row[j-1]+1, one[j-1]+change)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], two[j-2]+1)
			}
		}
		two, one, row = one, row, two
	}
	return one[len(b)]
}
