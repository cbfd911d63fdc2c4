package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// MaxIntentBytes bounds the size of the JSON form of an intent.
const MaxIntentBytes = 64 << 20

// maxNesting bounds the nesting depth of the JSON form.
const maxNesting = 32

// Decode reads the JSON form of an intent strictly. The error is of type Faults
// and lists all unknown and repeated fields and wrong types, or, if there are
// none, everything that Validate reports.
func Decode(raw []byte) (Intent, error) {
	var in Intent
	if len(raw) > MaxIntentBytes {
		return in, Faults{{Path: "$", Text: fmt.Sprintf("longer than %d bytes", MaxIntentBytes)}}
	}
	var faults Faults
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	tree, err := readValue(dec, "$", 0, &faults)
	if err == nil {
		_, err = dec.Token()
		if err == nil {
			err = errors.New("more than one value")
		}
	}
	if !errors.Is(err, io.EOF) || tree == nil {
		faults.add("$", "invalid JSON at byte %d: %v", dec.InputOffset(), err)
		return in, faults
	}
	checkType(tree, reflect.TypeFor[Intent](), "$", &faults)
	if len(faults) > 0 {
		return in, faults
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return in, Faults{{Path: "$", Text: err.Error()}}
	}
	if faults := Validate(&in); len(faults) > 0 {
		return in, faults
	}
	return in, nil
}

// object holds the members of a JSON object and their order in the document.
type object struct {
	keys   []string
	values map[string]any
}

// readValue reads one JSON value and records repeated fields as faults. It
// returns null as a json.RawMessage.
func readValue(dec *json.Decoder, path string, depth int, faults *Faults) (any, error) {
	tok, err := dec.Token()
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	delim, ok := tok.(json.Delim)
	if !ok {
		if tok == nil {
			return json.RawMessage("null"), nil
		}
		return tok, nil
	}
	if depth == maxNesting {
		return nil, errors.New("nested too deeply")
	}
	if delim == '{' {
		return readObject(dec, path, depth, faults)
	}
	list := []any{}
	for dec.More() {
		v, err := readValue(dec, path+"["+strconv.Itoa(len(list))+"]", depth+1, faults)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err = dec.Token()
	return list, unexpectedEnd(err)
}

func readObject(dec *json.Decoder, path string, depth int, faults *Faults) (any, error) {
	obj := object{values: map[string]any{}}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return nil, unexpectedEnd(err)
		}
		key, ok := tok.(string)
		if !ok {
			return nil, fmt.Errorf("member name expected, got %v", tok)
		}
		v, err := readValue(dec, joinPath(path, key), depth+1, faults)
		if err != nil {
			return nil, err
		}
		if _, duplicate := obj.values[key]; duplicate {
			faults.add(joinPath(path, key), "duplicate field")
			continue
		}
		obj.keys = append(obj.keys, key)
		obj.values[key] = v
	}
	_, err := dec.Token()
	return obj, unexpectedEnd(err)
}

// unexpectedEnd turns an io.EOF within a value into io.ErrUnexpectedEOF, so
// that io.EOF always means the end of the document.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func joinPath(path, key string) string {
	if path == "$" {
		return key
	}
	return path + "." + key
}

// checkType records a fault wherever a JSON value does not fit the Go type.
func checkType(v any, t reflect.Type, path string, faults *Faults) {
	switch t.Kind() {
	case reflect.Struct:
		checkStruct(v, t, path, faults)
	case reflect.Slice:
		list, ok := v.([]any)
		faults.check(ok || isNull(v), path, "a list is expected")
		for i, one := range list {
			checkType(one, t.Elem(), path+"["+strconv.Itoa(i)+"]", faults)
		}
	case reflect.Pointer:
		if !isNull(v) {
			checkType(v, t.Elem(), path, faults)
		}
	default:
		checkScalar(v, t, path, faults)
	}
}

func checkStruct(v any, t reflect.Type, path string, faults *Faults) {
	obj, ok := v.(object)
	if !ok {
		faults.add(path, "an object is expected")
		return
	}
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = t.Field(i).Type
	}
	for _, key := range obj.keys {
		ft, ok := fields[key]
		if !ok {
			faults.add(joinPath(path, key), "unknown field")
			continue
		}
		checkType(obj.values[key], ft, joinPath(path, key), faults)
	}
}

func checkScalar(v any, t reflect.Type, path string, faults *Faults) {
	switch t.Kind() {
	case reflect.String:
		_, ok := v.(string)
		faults.check(ok, path, "a string is expected")
	case reflect.Bool:
		_, ok := v.(bool)
		faults.check(ok, path, "true or false is expected")
	case reflect.Int, reflect.Int64:
		num, ok := v.(json.Number)
		_, err := num.Int64()
		faults.check(ok && err == nil, path, "a whole number is expected")
	case reflect.Float64:
		num, ok := v.(json.Number)
		_, err := num.Float64()
		faults.check(ok && err == nil, path, "a number is expected")
	default:
		faults.add(path, "unsupported type %s", t)
	}
}

func isNull(v any) bool {
	_, ok := v.(json.RawMessage)
	return ok
}
