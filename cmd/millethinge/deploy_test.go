package main

import (
	"bufio"
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The platform starts the manager through a library that it loads into the
// process, which needs a dynamic loader and the C library; it refuses forks
// and the starting of other programs. These tests build the program as
// deploy/balancer.toml says and read the binary, so that a change of build
// flags, of the run line or of an import that starts programs fails here,
// without a run on the platform.

// deploySettings returns the key = "value" lines of deploy/balancer.toml.
func deploySettings(t *testing.T) (root string, settings map[string]string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	settings = map[string]string{}
	pattern := regexp.MustCompile(`^(\w+) = "(.*)"$`)
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		if m := pattern.FindStringSubmatch(scanner.Text()); m != nil {
			settings[m[1]] = m[2]
		}
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return root, settings
}

func TestDeployRunIsOneProcess(t *testing.T) {
	_, settings := deploySettings(t)
	run := settings["run"]
	// exec replaces the shell, so that the platform's signals reach the
	// manager and the process it watches is the manager itself.
	if !strings.HasPrefix(run, "exec ") {
		t.Fatalf("run = %q: the shell must be replaced by exec", run)
	}
	for _, sep := range []string{";", "&", "|", "\n", "$(", "`"} {
		if strings.Contains(run, sep) {
			t.Fatalf("run = %q contains %q, which starts a second process or a pipeline", run, sep)
		}
	}
	if f := strings.Fields(run); len(f) < 2 || f[1] != "bin/millethinge" {
		t.Fatalf("run = %q: it must start bin/millethinge, which build writes", run)
	}
}

func TestDeployBuildLinksTheCLibrary(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the whole program with the external linker")
	}
	root, settings := deploySettings(t)
	build := settings["build"]
	for _, want := range []string{"CGO_ENABLED=1", "-ldflags=-linkmode=external", "-o bin/"} {
		if !strings.Contains(build, want) {
			t.Fatalf("build = %q lacks %q", build, want)
		}
	}
	// The same command, but its output goes to a temporary directory.
	out := t.TempDir()
	cmd := exec.Command("sh", "-c", strings.ReplaceAll(build, "bin/", out+"/"))
	cmd.Dir = root
	if b, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, b)
	}
	f, err := elf.Open(filepath.Join(out, "millethinge"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("no program interpreter: the binary is linked statically")
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Contains(libs, "libc.so.6") {
		t.Errorf("needs %v, not the C library", libs)
	}
	syms, err := f.Symbols()
	if err != nil {
		t.Fatal(err)
	}
	// The platform refuses fork and exec (ENOSYS); the manager must have no
	// path that needs them. Linked code is all that can run.
	for _, s := range syms {
		if strings.HasPrefix(s.Name, "os/exec.") || s.Name == "syscall.forkExec" || s.Name == "os.StartProcess" {
			t.Errorf("the manager links %s, which starts programs", s.Name)
		}
	}
}
