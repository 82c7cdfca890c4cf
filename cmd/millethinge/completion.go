package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"The shell: ${enum}."`
}

// Run writes the script from the model of the command line, so that none of it
// is to be kept in step by hand.
func (cmd completionCmd) Run(a *app) error {
	k, err := a.parser(new(cli), func(int) {})
	if err != nil {
		return err
	}
	var commands, flags []string
	commandWords := map[string][]string{} // flags and words by command
	for _, f := range k.Model.Flags {
		flags = append(flags, flagNames(f)...)
	}
	commandHelp := map[string]string{}
	for _, n := range k.Model.Leaves(true) {
		name := n.Path()
		name = strings.TrimPrefix(name, "millethinge ")
		commands = append(commands, name)
		commandHelp[name] = n.Help
		for _, f := range n.Flags {
			commandWords[name] = append(commandWords[name], flagNames(f)...)
		}
		for _, p := range n.Positional {
			if p.Enum != "" {
				commandWords[name] = append(commandWords[name], p.EnumSlice()...)
			}
		}
	}
	switch cmd.Shell {
	case "fish":
		for _, c := range commands {
			fmt.Fprintf(a.out, "complete -c millethinge -n __fish_use_subcommand -f -a %s -d %s\n", c, shellQuote(commandHelp[c]))
			for _, w := range commandWords[c] {
				if !strings.HasPrefix(w, "-") {
					fmt.Fprintf(a.out, "complete -c millethinge -n '__fish_seen_subcommand_from %s' -f -a %s\n", c, w)
				}
			}
		}
		for _, f := range flags {
			fmt.Fprintf(a.out, "complete -c millethinge -l %s\n", strings.TrimPrefix(f, "--"))
		}
		return nil
	case "zsh":
		fmt.Fprintln(a.out, "autoload -U +X bashcompinit && bashcompinit")
	}
	fmt.Fprintf(a.out, "_millethinge() {\n    local cur=${COMP_WORDS[COMP_CWORD]} words=%s w\n    for w in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n        case $w in\n",
		shellQuote(strings.Join(append(commands, flags...), " ")))
	for _, c := range commands {
		fmt.Fprintf(a.out, "        %s) words=%s ;;\n", c, shellQuote(strings.Join(append(commandWords[c], flags...), " ")))
	}
	fmt.Fprint(a.out, "        esac\n    done\n    COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n"+
		"    [ ${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- \"$cur\"))\n}\ncomplete -F _millethinge millethinge\n")
	return nil
}

func flagNames(f *kong.Flag) []string {
	if f.Hidden {
		return nil
	}
	return []string{"--" + f.Name}
}

// shellQuote is a word for a shell.
func shellQuote(s string) string { return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'" }
