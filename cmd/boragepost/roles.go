package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"boragepost/io/conf"
	"boragepost/io/ctrl"
	"boragepost/io/entry"
	"boragepost/io/logs"
	"boragepost/platform"
)

const shutdownTimeout = 60 * time.Second

func addRoles(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("entry", "Run an entry instance.")
	entrySettings := c.Flag("settings", "Settings file.").Required().String()
	commands["entry"] = func(ctx context.Context) error { return runEntry(ctx, *entrySettings) }

	c = app.Command("control", "Run a control replica.")
	controlSettings := c.Flag("settings", "Settings file.").Required().String()
	commands["control"] = func(ctx context.Context) error { return runControl(ctx, *controlSettings) }

	app.Command("platform", "Run the role that the users' platform assigns to this machine.")
	commands["platform"] = func(ctx context.Context) error { return platform.Run(ctx, platform.SettingsPath()) }
}

// untilSignal returns a context that is canceled by the first SIGTERM or SIGINT.
// The second signal exits the process immediately.
func untilSignal(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(exitFailure)
	}()
	return ctx
}

func runEntry(ctx context.Context, path string) error {
	settings, err := conf.LoadEntry(path)
	if err != nil {
		return err
	}
	log, err := logs.New(os.Stderr, settings.Log.Level)
	if err != nil {
		return fmt.Errorf("set up log: %w", err)
	}
	e, err := entry.Start(ctx, entry.Config{Settings: settings, Log: log})
	if err != nil {
		return fmt.Errorf("start entry instance: %w", err)
	}
	<-untilSignal(ctx).Done()
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	return e.Shutdown(ctx)
}

func runControl(ctx context.Context, path string) error {
	settings, err := conf.LoadControl(path)
	if err != nil {
		return err
	}
	log, err := logs.New(os.Stderr, settings.Log.Level)
	if err != nil {
		return fmt.Errorf("set up log: %w", err)
	}
	r, err := ctrl.Start(ctx, ctrl.Config{Settings: settings, Log: log})
	if err != nil {
		return fmt.Errorf("start control replica: %w", err)
	}
	select {
	case <-untilSignal(ctx).Done():
		return r.Close()
	case <-r.Done():
		return errors.Join(errors.New("control replica stopped unexpectedly"), r.Close())
	}
}
