// Command currantholdd is the node, which runs on the same host as a backend server.
//
// Usage:
//
//	currantholdd run -settings FILE
//	currantholdd sidecar
//	currantholdd check [-platform] FILE
//
// The run command runs the node with the settings in FILE. The sidecar command runs
// it with the settings file that the users' platform, the environment that deploys
// the node, has written. The check command reports the mistakes in a file of either
// kind; -platform selects the second.
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

// logBufferLines is the maximum number of log lines that are buffered for writing.
const logBufferLines = 1024

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(new(runCommand), "")
	subcommands.Register(new(sidecarCommand), "")
	subcommands.Register(new(checkCommand), "")
	flag.Parse()
	out := event.NewWriter(os.Stdout, logBufferLines)
	log.SetHandler(json.New(out))
	status := subcommands.Execute(context.Background())
	_ = out.Close()
	os.Exit(int(status))
}
