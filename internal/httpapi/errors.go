package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/result"
)

// HeaderCode carries the numbered result of a request.
const HeaderCode = "X-Medlardeck-Code"

// apiError is the error object of the completions API.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

type errorAnswer struct {
	Error apiError `json:"error"`
}

// errorBody returns the JSON of an error; detail may add to its meaning.
func errorBody(code result.Code, detail string) []byte {
	info, _ := code.Info()
	message := info.Meaning
	if detail != "" {
		message += " " + detail
	}
	body, _ := json.Marshal(errorAnswer{apiError{Message: message, Type: info.Name, Code: int(code)}})
	return body
}

// refuse answers a request that the decisions never see.
func (a *API) refuse(w http.ResponseWriter, code result.Code, detail string) {
	if a.opts.Counter != nil {
		a.opts.Counter.Add(entry.CounterRefusals, code.String())
	}
	writeError(w, entry.Finish{Code: code}, detail)
}

// writeError answers a request that has no answer of a target.
func writeError(w http.ResponseWriter, end entry.Finish, detail string) {
	body := append(errorBody(end.Code, detail), '\n')
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderCode, strconv.Itoa(int(end.Code)))
	if end.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((end.RetryAfter.Milliseconds()+999)/1000)))
	}
	w.WriteHeader(end.Code.Status())
	w.Write(body)
}
