package fleetnode

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// receivedMessage is a decoded message with what it shows of its sender's build.
type receivedMessage struct {
	datagram
	format messageFormat
	news   newsLayout
	// unreadable names the parts that could not be decoded and were left out.
	unreadable []string
}

// errNoSender reports a message that does not name its sender.
var errNoSender = errors.New("the message names no sender")

// decodeMessage decodes a message of any build. Elements that this build does not know
// are ignored, those that the sender's build did not know are zero, and parts that cannot
// be decoded, or whose numbers are out of range, are left out.
func decodeMessage(raw []byte) (*receivedMessage, error) {
	m, err := decodeParts(raw)
	if err != nil {
		return nil, err
	}
	for _, list := range m.Gossip.DropOutOfRange() {
		if list == "Loads" {
			m.unreadable = append(m.unreadable, loadsPath)
		} else {
			m.unreadable = append(m.unreadable, newsPath+"."+list)
		}
	}
	if slices.Contains(m.unreadable, loadsPath) {
		m.Gossip.Full = false // what could not be read has not ended
	}
	return m, nil
}

// decodeParts decodes the parts of a message that can be decoded.
func decodeParts(raw []byte) (*receivedMessage, error) {
	m := &receivedMessage{}
	var content []byte
	m.format, content = splitFormat(raw)
	if m.decodeWhole(content) {
		return m, nil
	}
	if err := cbor.Wellformed(content); err != nil {
		return nil, fmt.Errorf("decode a message from a peer: %w", err)
	}
	var parts partDecoder
	m.datagram = datagram{}
	parts.decode(content, reflect.ValueOf(&m.datagram).Elem(), "")
	if m.From == "" {
		return nil, fmt.Errorf("decode a message from a peer: %w", errNoSender)
	}
	m.news, m.unreadable = parts.news, parts.unreadable
	return m, nil
}

// decodeWhole decodes a message of a known form, which is faster than part by part. It
// returns false for others.
func (m *receivedMessage) decodeWhole(content []byte) bool {
	if m.format > unnumberedFormat {
		err := cbor.Unmarshal(content, &m.datagram)
		return err == nil && m.From != ""
	}
	var u unnumberedDatagram
	if err := cbor.Unmarshal(content, &u); err != nil || u.From == "" {
		return false
	}
	m.datagram = u.datagram()
	var parts partDecoder
	if len(u.Gossip.News) > 0 {
		parts.decodeNews(u.Gossip.News, reflect.ValueOf(&m.Gossip.News).Elem(), newsPath)
	}
	m.news, m.unreadable = parts.news, parts.unreadable
	return true
}

// newsPath is the path of the news in a datagram.
const newsPath = ".Gossip.News"

// loadsPath is the path of the loads in a datagram.
const loadsPath = ".Gossip.Loads"

// partDecoder decodes the elements of an array each for itself.
type partDecoder struct {
	unreadable []string // paths of parts that were left out
	news       newsLayout
}

func (d *partDecoder) addUnreadable(path string) {
	if !slices.Contains(d.unreadable, path) {
		d.unreadable = append(d.unreadable, path)
	}
}

// decode decodes a part of a message into v. What differs from the types of this build is
// decoded element by element if it is an array for a struct, and item by item if it is a
// list of these; an item of which an element cannot be decoded is left out whole.
func (d *partDecoder) decode(raw cbor.RawMessage, v reflect.Value, path string) {
	t := v.Type()
	if t == reflect.TypeFor[*fleet.News]() {
		d.decodeNews(raw, v, path)
		return
	}
	if err := cbor.Unmarshal(raw, v.Addr().Interface()); err == nil {
		return
	}
	v.SetZero()
	switch {
	case travelsAsArray(t):
		d.decodeElements(raw, v, path)
	case t.Kind() == reflect.Slice && travelsAsArray(t.Elem()):
		d.decodeItems(raw, v, path)
	default:
		d.addUnreadable(path)
	}
}

// travelsAsArray reports whether a type is a struct that is encoded as an array.
func travelsAsArray(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t.NumField() > 0 && t.Field(0).Name == "_" && t.Field(0).Tag.Get("cbor") == ",toarray"
}

// decodeElements decodes an array into the fields of a struct.
func (d *partDecoder) decodeElements(raw cbor.RawMessage, v reflect.Value, path string) {
	var elements []cbor.RawMessage
	if err := cbor.Unmarshal(raw, &elements); err != nil {
		d.addUnreadable(path)
		return
	}
	for i, element := range elements[:min(len(elements), v.NumField()-1)] {
		field := v.Type().Field(i + 1)
		d.decode(element, v.Field(i+1), path+"."+field.Name)
	}
}

// decodeItems decodes a list of structs.
func (d *partDecoder) decodeItems(raw cbor.RawMessage, v reflect.Value, path string) {
	var items []cbor.RawMessage
	if err := cbor.Unmarshal(raw, &items); err != nil {
		d.addUnreadable(path)
		return
	}
	for _, item := range items {
		decoded := reflect.New(v.Type().Elem()).Elem()
		var parts partDecoder
		parts.decode(item, decoded, path)
		if len(parts.unreadable) > 0 {
			d.addUnreadable(path)
			continue
		}
		v.Set(reflect.Append(v, decoded))
	}
}

// decodeNews decodes the element for news, in which old builds have sent fingerprints of
// broken runs.
func (d *partDecoder) decodeNews(raw cbor.RawMessage, v reflect.Value, path string) {
	var elements []cbor.RawMessage
	if err := cbor.Unmarshal(raw, &elements); err != nil {
		d.addUnreadable(path)
		return
	}
	switch {
	case len(elements) == 0:
		return
	case isUnsigned(elements[0]):
		d.news = newsBrokenRuns
		return
	case len(elements) == reflect.TypeFor[crashNews]().NumField()-1:
		d.news = newsWithoutLimits
	default:
		d.news = newsWithLimits
	}
	v.Set(reflect.New(v.Type().Elem()))
	d.decodeElements(raw, v.Elem(), path)
}

// isUnsigned reports whether an encoded value is an unsigned integer, whose major type is
// zero.
func isUnsigned(raw cbor.RawMessage) bool { return len(raw) > 0 && raw[0]>>5 == 0 }
