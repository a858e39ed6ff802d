package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"boragepost/io/logs"
)

func addTrace(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("trace", "Show the log lines of one request or flow.")
	id := c.Arg("id", "Identifier of the request, or a flow as caller>route, each an address and port.").Required().String()
	files := c.Arg("logs", "Log files, one per process.").Required().ExistingFiles()
	commands["trace"] = func(context.Context) error { return trace(*id, *files) }
}

var errNotInLogs = errors.New("no log line names this request or flow; it may have been sampled out (linesSampled), " +
	"or its packets never arrived")

func trace(id string, files []string) error {
	var all []logs.Line
	for _, path := range files {
		lines, err := readLog(path)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	found := logs.Trace(all, id)
	if len(found) == 0 {
		return errNotInLogs
	}
	for _, l := range found {
		fmt.Printf("%s: %s\n", l.Source, l.Text)
	}
	return nil
}

func readLog(path string) ([]logs.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	return logs.Read(filepath.Join(filepath.Base(filepath.Dir(path)), filepath.Base(path)), f)
}
