package fleettest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Patch replaces one piece of the program's source by a faulty one. It is used to verify that
// a scenario detects the fault.
type Patch struct {
	File     string // path from the root of the repository
	Old, New string // Old must occur exactly once in File
}

// BuildPatched is like Build, with patches applied to the source. The files of the repository
// stay unchanged: the compiler reads the patched copies through an overlay.
func BuildPatched(root, folder string, patches ...Patch) (string, error) {
	replace := map[string]string{}
	for i, p := range patches {
		source := filepath.Join(root, p.File)
		current := source
		if patched, ok := replace[source]; ok {
			current = patched
		}
		text, err := os.ReadFile(current)
		if err != nil {
			return "", fmt.Errorf("fleettest: %w", err)
		}
		if n := strings.Count(string(text), p.Old); n != 1 {
			return "", fmt.Errorf("fleettest: patch %d: %q occurs %d times in %s, not once", i, p.Old, n, p.File)
		}
		target := filepath.Join(folder, fmt.Sprintf("patched-%d.go", i))
		if err := os.WriteFile(target, []byte(strings.Replace(string(text), p.Old, p.New, 1)), 0o600); err != nil {
			return "", fmt.Errorf("fleettest: %w", err)
		}
		replace[source] = target
	}
	text, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(overlay, text, 0o600); err != nil {
		return "", fmt.Errorf("fleettest: %w", err)
	}
	return Build(root, folder, "-overlay", overlay)
}
