package suggest

import "testing"

func TestNearest(t *testing.T) {
	known := []string{"listen", "path", "grace", "open-per-connection"}
	for word, want := range map[string]string{"lisen": "listen", "LISTEN": "listen", "grcae": "grace", "pth": "path",
		"open_per_connection": "open-per-connection", "xyz": "", "": "", "websocket": ""} {
		if got := Nearest(word, known); got != want {
			t.Errorf("%s: %q, want %q", word, got, want)
		}
	}
}

func TestSuggest(t *testing.T) {
	for word, want := range map[string]string{"lisen": `; did you mean "listen"?`, "websocket": "; known: listen, path"} {
		if got := Suggest(word, []string{"listen", "path"}); got != want {
			t.Errorf("%s: %q", word, got)
		}
	}
	if got := Suggest("x", make([]string, 13)); got != "" {
		t.Errorf("%q", got)
	}
}
