package cli

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/fleetnode"
	"github.com/medlardeck/medlardeck/internal/telemetry"
	"github.com/medlardeck/medlardeck/platform"
)

// runFleet runs one entry instance on the users' platform.
func runFleet(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", os.Getenv(platform.SettingsVariable), "path of the settings `file`")
	policy := flags.String("policy", string(fleet.PolicyValue), "how targets are chosen: value, round-robin or least-outstanding")
	metrics := flags.String("metrics-address", "", "`address` that serves metrics, empty for none")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	settings, err := platform.LoadSettings(*path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitError
	}
	if *check {
		return exitOK
	}
	lines := telemetry.NewBoundedWriter(stdout)
	// The process is killed soon after a stop, whoever reads its log.
	defer lines.CloseWithin(logFlushTime)
	log := telemetry.NewLog(lines)
	// From before the first request is accepted: a SIGTERM would lose it.
	signals := make(chan os.Signal, signalsBuffered)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt) // until the process ends
	instance, err := fleetnode.Start(fleetnode.Options{
		Settings: settings, Store: platform.NewStore(settings.StoreAddress),
		Decoder: fleetnode.Decoder{
			ConfigKey: platform.ConfigKey, TargetsPrefix: platform.TargetsPrefix,
			Config: platform.NewConfigDecoder().Decode, ConfigVersion: platform.ConfigVersion, Target: platform.DecodeTarget, TargetID: platform.TargetID,
			EvacuationsPrefix: platform.EvacuationsPrefix, EvacuatedDomain: platform.EvacuatedDomain,
		},
		HeaderCodec: platform.HeaderCodec{}, MemoryReserver: platform.NewMemoryClient(), Policy: fleet.Policy(*policy),
		MetricsAddress: *metrics, Log: log,
	})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitError
	}
	serveSignals(instance, signals, *path, log)
	return exitOK
}

// serveSignals reloads the settings on SIGHUP and stops on SIGTERM or an
// interrupt.
func serveSignals(instance *fleetnode.Instance, signals <-chan os.Signal, path string, log logr.Logger) {
	for s := range signals {
		if s != syscall.SIGHUP {
			instance.Stop()
			return
		}
		settings, err := platform.LoadSettings(path)
		if err != nil {
			log.Info("settings-kept", "cause", err.Error())
			continue
		}
		instance.Reload(settings)
	}
}

// logFlushTime is how long the process waits for its last lines to be read when it ends.
const logFlushTime = 50 * time.Millisecond

// signalsBuffered bounds the signals that wait: a stop behind a few reloads.
const signalsBuffered = 8
