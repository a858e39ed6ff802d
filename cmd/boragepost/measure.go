package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"boragepost/io/sizing"
)

func addMeasure(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("measure", "Measure how resource usage grows with the deployment and compute the capacity table.")
	out := c.Flag("out", "File to write the measured slopes to.").String()
	in := c.Flag("slopes", "File of slopes to use instead of measuring.").String()
	commands["measure"] = func(context.Context) error {
		slopes, err := loadOrMeasure(*in)
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

func loadOrMeasure(path string) (sizing.Slopes, error) {
	if path != "" {
		return sizing.Load(path)
	}
	return sizing.Measure(os.Stderr), nil
}
