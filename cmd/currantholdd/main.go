// Command currantholdd is the node that runs beside a backend server.
//
// Usage:
//
//	currantholdd run -settings FILE
//	currantholdd sidecar
//	currantholdd check [-platform] FILE
package main

import (
	"context"
	"flag"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/subcommands"

	"curranthold.example/curranthold/internal/event"
)

// logLines is how many lines of the log wait to be written at the most.
const logLines = 1024

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(new(runCommand), "")
	subcommands.Register(new(sidecarCommand), "")
	subcommands.Register(new(checkCommand), "")
	flag.Parse()
	out := event.NewWriter(os.Stdout, logLines)
	log.SetHandler(json.New(out))
	status := subcommands.Execute(context.Background())
	_ = out.Close()
	os.Exit(int(status))
}
