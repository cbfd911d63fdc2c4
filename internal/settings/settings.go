// Package settings reads a process's settings from flags and environment
// variables and reports all errors together.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
)

// Prefix is the common prefix of the names of all environment variables.
const Prefix = "MEDLARDECK_"

// Set holds the settings of one command. Each setting has a flag and an
// environment variable; the flag takes precedence.
type Set struct {
	flags  *flag.FlagSet
	values map[string]*value
	errs   []error
	checks []func() error
	lookup func(string) (string, bool)
}

// New returns an empty Set for a command. Usage messages are written to w.
func New(command string, w io.Writer) *Set {
	s := &Set{
		flags: flag.NewFlagSet(command, flag.ContinueOnError), values: make(map[string]*value), lookup: os.LookupEnv,
	}
	s.flags.SetOutput(w)
	return s
}

// value is one setting. It implements flag.Value, but adds its errors to the Set
// so that an invalid value doesn't stop the parsing of the others.
type value struct {
	set    *Set
	name   string
	text   string
	source string // flag or variable that set it; empty for the default
	parse  func(string) error
	isBool bool
}

// String implements flag.Value.
func (v *value) String() string {
	if v == nil {
		return ""
	}
	return v.text
}

// IsBoolFlag tells the flag package that the flag may be given without a value.
func (v *value) IsBoolFlag() bool { return v.isBool }

// Set implements flag.Value. It always returns nil; errors are added to the Set.
func (v *value) Set(text string) error {
	v.assign("-"+v.name, text)
	return nil
}

// assign parses text, which came from source, and adds an error to the Set if it is
// invalid.
func (v *value) assign(source, text string) {
	v.text, v.source = text, source
	if err := v.parse(text); err != nil {
		v.set.errs = append(v.set.errs, fmt.Errorf("%s: %q: %w", source, text, err))
	}
}

// Variable returns the name of the environment variable that sets a setting: Prefix
// and the setting's name in upper case, with underscores for hyphens.
func Variable(name string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// addValue defines a setting with its flag. text is the default as printed in the
// usage.
func (s *Set) addValue(name, text, usage string, isBool bool, parse func(string) error) {
	v := &value{set: s, name: name, text: text, parse: parse, isBool: isBool}
	s.values[name] = v
	s.flags.Var(v, name, usage+" ("+Variable(name)+")")
}

// String defines a string setting that is stored in *p, with a default.
func (s *Set) String(p *string, name, defaultValue, usage string) {
	*p = defaultValue
	s.addValue(name, defaultValue, usage, false, func(text string) error { *p = text; return nil })
}

// List defines a setting of comma-separated strings. Surrounding spaces and empty
// items are dropped.
func (s *Set) List(p *[]string, name, usage string) {
	s.addValue(name, "", usage, false, func(text string) error {
		*p = nil
		for item := range strings.SplitSeq(text, ",") {
			if item = strings.TrimSpace(item); item != "" {
				*p = append(*p, item)
			}
		}
		return nil
	})
}

var (
	errInt      = errors.New("not a whole number of at least 0")
	errFloat    = errors.New("not a number of at least 0")
	errDuration = errors.New("not a duration of at least 0, such as 5s")
	errBool     = errors.New("neither true nor false")
)

// Int defines an integer setting of at least 0.
func (s *Set) Int(p *int, name string, defaultValue int, usage string) {
	*p = defaultValue
	s.addValue(name, strconv.Itoa(defaultValue), usage, false, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return errInt
		}
		*p = n
		return nil
	})
}

// Float defines a floating-point setting of at least 0; NaN is rejected.
func (s *Set) Float(p *float64, name string, defaultValue float64, usage string) {
	*p = defaultValue
	s.addValue(name, strconv.FormatFloat(defaultValue, 'g', -1, 64), usage, false, func(text string) error {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !(f >= 0) {
			return errFloat
		}
		*p = f
		return nil
	})
}

// Duration defines a duration setting of at least 0.
func (s *Set) Duration(p *time.Duration, name string, defaultValue time.Duration, usage string) {
	*p = defaultValue
	s.addValue(name, defaultValue.String(), usage, false, func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return errDuration
		}
		*p = d
		return nil
	})
}

// Bool defines a boolean setting.
func (s *Set) Bool(p *bool, name string, usage string) {
	s.addValue(name, "false", usage, true, func(text string) error {
		b, err := strconv.ParseBool(text)
		if err != nil {
			return errBool
		}
		*p = b
		return nil
	})
}

// Require reports an error for each of the named settings that is empty.
func (s *Set) Require(names ...string) {
	for _, name := range names {
		s.Check(func() error {
			if s.values[name].text == "" {
				return fmt.Errorf("-%s or %s is required", name, Variable(name))
			}
			return nil
		})
	}
}

// Together reports an error if some, but not all, of the named settings are set.
func (s *Set) Together(names ...string) {
	s.Check(func() error {
		var set, unset []string
		for _, name := range names {
			if s.values[name].text == "" {
				unset = append(unset, "-"+name)
				continue
			}
			set = append(set, "-"+name)
		}
		if len(set) > 0 && len(unset) > 0 {
			return fmt.Errorf("%s needs %s", strings.Join(set, ", "), strings.Join(unset, ", "))
		}
		return nil
	})
}

// Check adds a validation that Parse runs after it has read all settings.
func (s *Set) Check(fn func() error) { s.checks = append(s.checks, fn) }

// Parse reads the settings from args and the environment and runs the checks. It
// returns all errors joined, or only flag.ErrHelp if help was requested.
func (s *Set) Parse(args []string) error {
	if err := s.flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return flag.ErrHelp
		}
		s.errs = append(s.errs, err)
	}
	if rest := s.flags.Args(); len(rest) > 0 {
		s.errs = append(s.errs, fmt.Errorf("unexpected argument %q", rest[0]))
	}
	s.flags.VisitAll(func(f *flag.Flag) {
		v := s.values[f.Name]
		if text, ok := s.lookup(Variable(f.Name)); ok && v.source == "" {
			v.assign(Variable(f.Name), text)
		}
	})
	for _, check := range s.checks {
		if err := check(); err != nil {
			s.errs = append(s.errs, err)
		}
	}
	return errors.Join(s.errs...)
}
