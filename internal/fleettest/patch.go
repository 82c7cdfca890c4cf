package fleettest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Patch is a fault that is put into the program, to see that a scenario tells it.
type Patch struct {
	File     string // from the repository's root
	Old, New string // Old stands there once
}

// BuildPatched is Build of a program with faults in it. The repository's files stay
// as they are: the compiler reads the patched ones in their place.
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
			return "", fmt.Errorf("fleettest: patch %d: %q stands %d times in %s", i, p.Old, n, p.File)
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
