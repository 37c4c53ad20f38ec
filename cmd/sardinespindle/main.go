// Command sardinespindle is the daemon: one on each VM, every VM alike.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("sardinespindle", "Query tier over many shards.")
	path := app.Flag("settings", "Settings file in TOML.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	fmt.Fprintln(os.Stderr, "settings:", *path)
}
