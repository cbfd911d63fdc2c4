// Package operatorapi serves the HTTP API for operators: plans, edits, rollbacks,
// confirmations, status and history. It also serves metrics and health checks.
// It translates requests into commands of package entry and makes no policy
// decisions.
package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
)

// commandTimeout limits the execution of a command. The verdict of a
// confirmation that takes longer is reported as unknown.
const commandTimeout = 60 * time.Second

// maxEditBytes limits the request body of an edit.
const maxEditBytes = 1 << 20

// defaultHistoryLimit is the number of revisions listed if the request sets no
// limit.
const defaultHistoryLimit = 20

// Node executes commands.
type Node interface {
	Operate(ctx context.Context, command entry.OperatorCommand) (entry.CommandResult, error)
}

// Options configures the API.
type Options struct {
	Node Node
	// Operators lists who may authenticate with a bearer token.
	Operators []Operator
	// Metrics serves the metrics, without authentication.
	Metrics http.Handler
	// Ready reports whether the instance accepts new work.
	Ready func() bool
	Log   logr.Logger
}

type api struct{ opts Options }

// New returns the HTTP handler for the operator listener.
func New(opts Options) http.Handler {
	a := &api{opts: opts}
	r := mux.NewRouter()
	r.Handle("/metrics", opts.Metrics).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", a.handleReady).Methods(http.MethodGet)
	r.HandleFunc("/v1/plans", a.commandHandler("plan", a.parsePlan)).Methods(http.MethodPost)
	r.HandleFunc("/v1/edits", a.commandHandler("edit", a.parseEdit)).Methods(http.MethodPost)
	r.HandleFunc("/v1/rollbacks/{revision:[0-9]+}", a.commandHandler("rollback", parseRollback)).Methods(http.MethodPost)
	r.HandleFunc("/v1/plans/{id:[0-9a-f]+}/confirmation", a.commandHandler("confirm", parseConfirmation)).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", a.commandHandler("status", parseStatus)).Methods(http.MethodGet)
	r.HandleFunc("/v1/history", a.commandHandler("history", parseHistory)).Methods(http.MethodGet)
	return r
}

func (a *api) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !a.opts.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// commandHandler returns a handler that authenticates the operator, parses the
// request into a command, executes it and logs it with its outcome.
func (a *api) commandHandler(name string, parse func(http.ResponseWriter, *http.Request) (entry.OperatorCommand, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := a.authenticate(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeResult(w, http.StatusUnauthorized, entry.CommandResult{Failure: "unauthenticated", Text: "an operator's bearer token or client certificate is required"})
			return
		}
		result := a.runCommand(w, r, operator, parse)
		a.opts.Log.Info("operator-command", "operator", operator, "command", name, "outcome", outcomeName(result), "from", r.RemoteAddr)
		writeResult(w, httpStatus(result), result)
	}
}

// runCommand parses and executes a command. It reports every error in the result:
// a request that cannot be parsed as invalid, a command that fails as
// unavailable, and a confirmation that fails with an unknown verdict, because it
// may still take effect.
func (a *api) runCommand(w http.ResponseWriter, r *http.Request, operator string, parse func(http.ResponseWriter, *http.Request) (entry.OperatorCommand, error)) entry.CommandResult {
	command, err := parse(w, r)
	var faults configuration.Faults
	if errors.As(err, &faults) {
		return entry.CommandResult{Failure: entry.CommandFailureInvalid, Faults: faults, Text: "the intent has faults"}
	}
	if err != nil {
		return entry.CommandResult{Failure: entry.CommandFailureInvalid, Text: err.Error()}
	}
	command.Operator, command.At = operator, time.Now().UTC()
	// A client that disconnects must not abort a confirmation in progress.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), commandTimeout)
	defer cancel()
	result, err := a.opts.Node.Operate(ctx, command)
	if err != nil {
		result = entry.CommandResult{Failure: entry.CommandFailureUnavailable, Text: err.Error()}
		if command.Confirm != "" {
			result = entry.CommandResult{Confirmation: &entry.Confirmation{Verdict: configuration.VerdictUnknown, PlanID: command.Confirm}}
		}
	}
	return result
}

// outcomeName returns the outcome that the log shows: the failure, the verdict of
// a confirmation, or "ok".
func outcomeName(result entry.CommandResult) string {
	switch {
	case result.Failure != "":
		return string(result.Failure)
	case result.Confirmation != nil:
		return string(result.Confirmation.Verdict)
	}
	return "ok"
}

func (a *api) parsePlan(w http.ResponseWriter, r *http.Request) (entry.OperatorCommand, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, configuration.MaxIntentBytes))
	if err != nil {
		return entry.OperatorCommand{}, fmt.Errorf("read intent: %w", err)
	}
	intent, err := configuration.Decode(raw)
	return entry.OperatorCommand{Plan: &intent}, err
}

func (a *api) parseEdit(w http.ResponseWriter, r *http.Request) (entry.OperatorCommand, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEditBytes))
	if err != nil {
		return entry.OperatorCommand{}, fmt.Errorf("read edit: %w", err)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var edit configuration.Edit
	if err := dec.Decode(&edit); err != nil {
		return entry.OperatorCommand{}, fmt.Errorf("read edit: %w", err)
	}
	return entry.OperatorCommand{Edit: &edit}, nil
}

func parseRollback(_ http.ResponseWriter, r *http.Request) (entry.OperatorCommand, error) {
	rev, err := strconv.ParseInt(mux.Vars(r)["revision"], 10, 64)
	if err != nil || rev == 0 {
		return entry.OperatorCommand{}, fmt.Errorf("read revision %q: a number above 0 is expected", mux.Vars(r)["revision"])
	}
	return entry.OperatorCommand{Rollback: configuration.Revision(rev)}, nil
}

func parseConfirmation(_ http.ResponseWriter, r *http.Request) (entry.OperatorCommand, error) {
	return entry.OperatorCommand{Confirm: mux.Vars(r)["id"]}, nil
}

func parseStatus(http.ResponseWriter, *http.Request) (entry.OperatorCommand, error) {
	return entry.OperatorCommand{Status: true}, nil
}

func parseHistory(_ http.ResponseWriter, r *http.Request) (entry.OperatorCommand, error) {
	limit := defaultHistoryLimit
	if v := r.URL.Query().Get("limit"); v != "" {
		var err error
		if limit, err = strconv.Atoi(v); err != nil || limit < 1 {
			return entry.OperatorCommand{}, fmt.Errorf("read limit %q: a number above 0 is expected", v)
		}
	}
	return entry.OperatorCommand{History: limit}, nil
}

// httpStatus maps a result to an HTTP status. Several results share a status; the
// response body carries the exact failure or verdict.
func httpStatus(result entry.CommandResult) int {
	switch result.Failure {
	case "":
	case entry.CommandFailureInvalid:
		return http.StatusUnprocessableEntity
	case entry.CommandFailureUnavailable:
		return http.StatusServiceUnavailable
	case entry.CommandFailureBehind:
		return http.StatusConflict
	case entry.CommandFailureNoPlan, entry.CommandFailureNoRevision:
		return http.StatusNotFound
	default:
		return http.StatusInternalServerError
	}
	if result.Confirmation == nil {
		return http.StatusOK
	}
	switch result.Confirmation.Verdict {
	case configuration.VerdictAccepted:
		return http.StatusOK
	case configuration.VerdictNotAccepted, configuration.VerdictStoreBehind:
		return http.StatusConflict
	case configuration.VerdictUnavailable:
		return http.StatusServiceUnavailable
	case configuration.VerdictUnknown:
	}
	return http.StatusGatewayTimeout
}

func writeResult(w http.ResponseWriter, status int, result entry.CommandResult) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(result)
}
