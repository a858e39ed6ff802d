package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"boragepost/io/sizing"
)

func addMeasure(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("measure", "Measure what the parts cost as they grow, and work out the capacity table.")
	out := c.Flag("out", "File to write the measured slopes to.").String()
	in := c.Flag("slopes", "File of slopes to use instead of measuring.").String()
	commands["measure"] = func(context.Context) error {
		slopes, err := slopesFrom(*in)
		if err != nil {
			return err
		}
		if *out != "" {
			if err := slopes.Save(*out); err != nil {
				return err
			}
		}
		fmt.Print(sizing.Markdown(sizing.Plan(sizing.Target, slopes), slopes))
		return nil
	}
}

func slopesFrom(path string) (sizing.Slopes, error) {
	if path != "" {
		return sizing.Load(path)
	}
	return sizing.Measure(os.Stderr), nil
}
