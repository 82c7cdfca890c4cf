// Command medianode is a stand-in media node to try millethinge with. It answers every SETUP and
// ends each session after a while. It plays no media.
package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"time"

	"millethinge/internal/standin"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:5062", "address to listen on")
	length := flag.Duration("length", 30*time.Second, "how long a session plays")
	every := flag.Int("full", 0, "answer 453 to one SETUP in so many; 0: to none")
	flag.Parse()
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "medianode:", err)
		os.Exit(1)
	}
	fmt.Println("listening on", l.Addr())
	count := 0
	node := &standin.Node{Counts: standin.NewCounts(), Decide: func(session string, nth int) standin.Response {
		v := standin.Response{Status: 200, SessionLength: *length}
		if count++; *every > 0 && count%*every == 0 {
			v = standin.Response{Status: 453}
		}
		fmt.Println("SETUP", session, v.Status)
		return v
	}}
	node.Serve(l)
}
