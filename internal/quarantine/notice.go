package quarantine

// Notice is a message about suspects between entry instances. It is encoded as
// gob and JSON.
type Notice struct {
	// Facts are merged before the other fields are processed.
	Facts []Fact `json:"facts,omitempty"`
	// Ask is the id of a request for the turns of Fingerprints, zero if there is
	// none.
	Ask          uint64        `json:"ask,omitempty"`
	Fingerprints []Fingerprint `json:"fingerprints,omitempty"`
	// Answer is the id of the request that Busy answers, zero if there is none.
	// Busy lists the fingerprints that must not be run now.
	Answer uint64        `json:"answer,omitempty"`
	Busy   []Fingerprint `json:"busy,omitempty"`
	// AskTarget is the id of a request to reserve Target for suspects, zero if
	// there is none.
	AskTarget uint64 `json:"ask_target,omitempty"`
	Target    string `json:"target,omitempty"`
	// AnswerTarget is the id of the request that TargetBusy answers, zero if
	// there is none.
	AnswerTarget uint64 `json:"answer_target,omitempty"`
	TargetBusy   bool   `json:"target_busy,omitempty"`
	// Done lists fingerprints whose turn the sender has returned.
	Done []Fingerprint `json:"done,omitempty"`
	// Isolated lists targets that the sender reserves for suspects; they count
	// as isolated for a while after the last notice. Released lists targets that
	// are no longer reserved.
	Isolated []string `json:"isolated,omitempty"`
	Released []string `json:"released,omitempty"`
}
