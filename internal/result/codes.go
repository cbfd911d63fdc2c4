package result

import "net/http"

// Complete answers.
const (
	Complete Code = 1000 // the whole answer was delivered
	Replayed Code = 1001 // the recorded answer of an earlier run was delivered
)

// Refusals: the request did not run.
const (
	BadRequest        Code = 2000
	BodyTooLarge      Code = 2001
	Unauthenticated   Code = 2002
	UnknownModel      Code = 2003
	UnknownRoute      Code = 2004
	PromptTooLong     Code = 2005
	ModelNotAllowed   Code = 2006
	IdentityConflict  Code = 2007
	HeadersTooLarge   Code = 2008
	HeaderTimeout     Code = 2009
	WorkspaceLimit    Code = 2010
	QueueFull         Code = 2011
	DeadlineUnmet     Code = 2012
	QueueTimeout      Code = 2013
	Shed              Code = 2014
	MemoryExhausted   Code = 2015
	BodyStalled       Code = 2016
	BodyTimeout       Code = 2017
	ConnectionsFull   Code = 2018
	NoTarget          Code = 2020
	TargetsRefused    Code = 2021
	RetryBudget       Code = 2022
	GroupUnavailable  Code = 2023
	NoWeights         Code = 2024
	Quarantined       Code = 2030
	StoreUnavailable  Code = 2040
	ClaimLost         Code = 2041
	ClaimTimeout      Code = 2042
	ClaimRecordFull   Code = 2043
	Stopping          Code = 2050
	NoConfiguration   Code = 2051
	CallerGoneUnsent  Code = 2060
	InternalUnstarted Code = 2099
)

// Failures: the request ran and did not complete.
const (
	TargetError     Code = 3000 // the target answered with an error after starting the request
	DeadlineRunning Code = 3001 // the time limit passed while the request ran
	TargetDied      Code = 3002 // the target ended during the request and no retry was possible
	ResumeFailed    Code = 3003 // the stream could not be resumed on another target
	CallerGone      Code = 3004 // the caller left while the request ran
	SlowCaller      Code = 3005 // the caller did not read its answer in time
	AnswerTooLarge  Code = 3006 // the answer exceeds the limit for buffered answers
	CrashSuspect    Code = 3007 // targets ended while they ran the request; it is not retried
	StopRunning     Code = 3008 // the entry instance ended its planned stop during the answer
)

// Unknown outcomes: the request may have run.
const (
	BrokenAfterSend   Code = 4000
	DeadlineAfterSend Code = 4001
	NotRepeated       Code = 4002
	StillRunning      Code = 4003
	StopAfterSend     Code = 4004
)

// Results of operators' commands.
const (
	Accepted          Code = 5000
	NotAcceptedRaced  Code = 5001
	NotAcceptedFaulty Code = 5002
	PlanUnknown       Code = 5003
	AcceptanceUnknown Code = 5004
	OperatorDenied    Code = 5005
)

// codeInfo documents every code. Its entries equal the table in docs/RESULT-CODES.md.
var codeInfo = map[Code]Info{
	Complete: {"complete", http.StatusOK, "The whole answer was delivered."},
	Replayed: {"replayed", http.StatusOK, "The recorded answer of an earlier run of the same identity was delivered; the status is the recorded one."},

	BadRequest:        {"bad-request", http.StatusBadRequest, "The request could not be parsed or lacks a required field."},
	BodyTooLarge:      {"body-too-large", http.StatusRequestEntityTooLarge, "The body exceeds the configured limit."},
	Unauthenticated:   {"unauthenticated", http.StatusUnauthorized, "The key is missing or belongs to no workspace."},
	UnknownModel:      {"unknown-model", http.StatusNotFound, "No configured model has this name."},
	UnknownRoute:      {"unknown-route", http.StatusNotFound, "No configured service route has a prefix of this path."},
	PromptTooLong:     {"prompt-too-long", http.StatusBadRequest, "The prompt exceeds the context of the model."},
	ModelNotAllowed:   {"model-not-allowed", http.StatusForbidden, "The workspace may not use this model."},
	IdentityConflict:  {"identity-conflict", http.StatusUnprocessableEntity, "The idempotency key was used before with a different request."},
	HeadersTooLarge:   {"headers-too-large", http.StatusRequestHeaderFieldsTooLarge, "The headers exceed the limit."},
	HeaderTimeout:     {"header-timeout", http.StatusRequestTimeout, "The headers were not complete within the time limit."},
	WorkspaceLimit:    {"workspace-limit", http.StatusTooManyRequests, "The workspace has used up its limit."},
	QueueFull:         {"queue-full", http.StatusServiceUnavailable, "The queue of the length class is full."},
	DeadlineUnmet:     {"deadline-unmet", http.StatusServiceUnavailable, "The predicted finish lies beyond the time limit."},
	QueueTimeout:      {"queue-timeout", http.StatusServiceUnavailable, "The time limit passed while the request was queued."},
	Shed:              {"shed", http.StatusServiceUnavailable, "Overload: the class or workspace with the most work in excess was shed."},
	MemoryExhausted:   {"memory-exhausted", http.StatusServiceUnavailable, "The memory budget of the entry instance has no room for the request."},
	BodyStalled:       {"body-stalled", http.StatusServiceUnavailable, "The body made no progress while other requests found no memory."},
	BodyTimeout:       {"body-timeout", http.StatusRequestTimeout, "The body was not complete within the time limit."},
	ConnectionsFull:   {"connections-full", http.StatusServiceUnavailable, "The entry instance has as many connections as it may have."},
	NoTarget:          {"no-target", http.StatusServiceUnavailable, "No healthy target serves the model or route."},
	TargetsRefused:    {"targets-refused", http.StatusServiceUnavailable, "Each target tried said that it did not run the request."},
	RetryBudget:       {"retry-budget", http.StatusServiceUnavailable, "The request did not run and the retry budget is used up."},
	GroupUnavailable:  {"group-unavailable", http.StatusServiceUnavailable, "No group of engines has the memory for the prompt in time."},
	NoWeights:         {"no-weights", http.StatusServiceUnavailable, "No target has the version of the weights that the request expects."},
	Quarantined:       {"quarantined", http.StatusUnprocessableEntity, "Earlier runs of this very request ended targets; it is not run again for a while."},
	StoreUnavailable:  {"store-unavailable", http.StatusServiceUnavailable, "The claim could not be written: the platform's store is unavailable."},
	ClaimLost:         {"claim-lost", http.StatusServiceUnavailable, "Another instance owns the claim record now; nothing was sent."},
	ClaimTimeout:      {"claim-timeout", http.StatusServiceUnavailable, "The claim was not confirmed within the time limit and was withdrawn."},
	ClaimRecordFull:   {"claim-record-full", http.StatusServiceUnavailable, "The claim record reached its size limit."},
	Stopping:          {"stopping", http.StatusServiceUnavailable, "The entry instance is stopping."},
	NoConfiguration:   {"no-configuration", http.StatusServiceUnavailable, "The entry instance has no configuration yet."},
	CallerGoneUnsent:  {"caller-gone-unsent", 499, "The caller left before the request was sent."},
	InternalUnstarted: {"internal-unstarted", http.StatusServiceUnavailable, "An internal fault ended the request before it was sent."},

	TargetError:     {"target-error", http.StatusInternalServerError, "The target answered with an error after starting the request."},
	DeadlineRunning: {"deadline-running", http.StatusInternalServerError, "The time limit passed while the request ran."},
	TargetDied:      {"target-died", http.StatusInternalServerError, "The target ended during the request and no retry was possible."},
	ResumeFailed:    {"resume-failed", http.StatusInternalServerError, "The stream could not be resumed on another target."},
	CallerGone:      {"caller-gone", 499, "The caller left while the request ran; it was cancelled."},
	SlowCaller:      {"slow-caller", http.StatusInternalServerError, "The caller did not read its answer in time."},
	AnswerTooLarge:  {"answer-too-large", http.StatusInternalServerError, "The answer exceeds the limit for buffered answers."},
	CrashSuspect:    {"crash-suspect", http.StatusInternalServerError, "Targets ended while they ran the request; it is not retried."},
	StopRunning:     {"stop-running", http.StatusInternalServerError, "The entry instance ended its planned stop while the answer was being delivered."},

	BrokenAfterSend:   {"broken-after-send", http.StatusInternalServerError, "The connection to the target broke after the request was sent."},
	DeadlineAfterSend: {"deadline-after-send", http.StatusInternalServerError, "The time limit passed after the request was sent and before its answer came."},
	NotRepeated:       {"not-repeated", http.StatusConflict, "An earlier run of this identity has an unknown outcome; it is not repeated."},
	StillRunning:      {"still-running", http.StatusConflict, "An earlier arrival of this identity still runs elsewhere; it is not repeated."},
	StopAfterSend:     {"stop-after-send", http.StatusInternalServerError, "The entry instance ended its planned stop after the request was sent and before its answer came."},

	Accepted:          {"accepted", http.StatusOK, "The plan is in force at its revision."},
	NotAcceptedRaced:  {"not-accepted-raced", http.StatusConflict, "Another change was accepted first; the plan was not applied."},
	NotAcceptedFaulty: {"not-accepted-faulty", http.StatusUnprocessableEntity, "The intent has faults; nothing was applied."},
	PlanUnknown:       {"plan-unknown", http.StatusNotFound, "No plan has this id."},
	AcceptanceUnknown: {"acceptance-unknown", http.StatusInternalServerError, "The store did not answer; ask again with the same plan id."},
	OperatorDenied:    {"operator-denied", http.StatusUnauthorized, "The operator's credentials are missing or wrong."},
}
