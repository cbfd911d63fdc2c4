package request

// Class is a prompt length class. Classes have reserved capacity in queues and on
// engines, and the time to first token is reported by class.
type Class int

// Length classes by prompt tokens.
const (
	ClassShort  Class = iota // up to 4,096 tokens
	ClassMedium              // up to 32,768
	ClassLong                // up to 100,000
	ClassHuge                // above
	NumClasses  = 4
)

// Upper bounds of the length classes, in prompt tokens.
const (
	MaxShortTokens  = 4096
	MaxMediumTokens = 32768
	MaxLongTokens   = 100_000
)

// ClassOf returns the class of a prompt with that number of tokens.
func ClassOf(tokens int) Class {
	switch {
	case tokens <= MaxShortTokens:
		return ClassShort
	case tokens <= MaxMediumTokens:
		return ClassMedium
	case tokens <= MaxLongTokens:
		return ClassLong
	}
	return ClassHuge
}

// String returns the name of the class in settings and metrics.
func (c Class) String() string {
	switch c {
	case ClassShort:
		return "short"
	case ClassMedium:
		return "medium"
	case ClassLong:
		return "long"
	}
	return "huge"
}
