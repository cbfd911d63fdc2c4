package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/medlardeck/medlardeck/internal/settings"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/standin/service"
)

// standins are the far ends that run as processes of their own.
func standins() map[string]func([]string, io.Writer, io.Writer) int {
	return map[string]func([]string, io.Writer, io.Writer) int{
		"platform": runPlatform,
		"engine":   runEngine,
		"service":  runService,
	}
}

func runStandin(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 {
		if run, ok := standins()[args[0]]; ok {
			return run(args[1:], stdout, stderr)
		}
	}
	fmt.Fprintln(stderr, "usage: medlardeck standin platform|engine|service [flags]")
	return exitUsage
}

func runEngine(args []string, stdout, stderr io.Writer) int {
	var address string
	var opts engine.Options
	set := settings.New("standin engine", stderr)
	set.String(&address, "address", "127.0.0.1:0", "address to listen on")
	set.List(&opts.Models, "models", "names of the loaded models, separated by commas")
	set.Duration(&opts.StepTime, "step-time", engine.DefaultStepTime, "shortest time between tokens")
	set.Int(&opts.PrefillTokensPerSecond, "prefill-tokens-per-second", engine.DefaultPrefillTokensPerSecond, "rate at which prompts are read")
	set.Int(&opts.StepTokens, "step-tokens", engine.DefaultStepTokens, "token budget of one step")
	set.Int(&opts.KVCapacityTokens, "kv-capacity-tokens", engine.DefaultKVCapacityTokens, "KV memory")
	set.Duration(&opts.ReportLag, "report-lag", 0, "age of load reports")
	set.Duration(&opts.EventLag, "event-lag", 0, "age of cache events")
	set.Float(&opts.EventLoss, "event-loss", 0, "share of cache events that get lost")
	set.Float(&opts.Speed, "speed", 1, "divides every time above")
	set.Require("models")
	if code, ok := parse(set, "standin engine", args, stderr); !ok {
		return code
	}
	eng, err := engine.Start(address, opts)
	if err != nil {
		fmt.Fprintln(stderr, "medlardeck standin engine:", err)
		return exitError
	}
	defer eng.Close()
	fmt.Fprintln(stdout, "engine on", eng.Addr())
	waitSignal()
	return exitOK
}

func runService(args []string, stdout, stderr io.Writer) int {
	return runHandler("service", args, stdout, stderr, service.Handler(service.NewLedger()))
}

func runPlatform(args []string, stdout, stderr io.Writer) int {
	return runHandler("platform", args, stdout, stderr, platformstandin.New(platformstandin.Options{}).Handler())
}

// runHandler serves a stand-in until a signal.
func runHandler(name string, args []string, stdout, stderr io.Writer, h http.Handler) int {
	var address string
	set := settings.New("standin "+name, stderr)
	set.String(&address, "address", "127.0.0.1:0", "address to listen on")
	if code, ok := parse(set, "standin "+name, args, stderr); !ok {
		return code
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintf(stderr, "medlardeck standin %s: %v\n", name, err)
		return exitError
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	fmt.Fprintln(stdout, name, "on", ln.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	select {
	case <-ctx.Done():
		_ = srv.Close()
		return exitOK
	case err := <-failed:
		fmt.Fprintf(stderr, "medlardeck standin %s: %v\n", name, err)
		return exitError
	}
}

func waitSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
