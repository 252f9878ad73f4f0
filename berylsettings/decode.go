package berylsettings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylsize"
)

// document is a parsed file. Unlike encoding/json, the syntax tree contains the
// offset of each value, so errors can name the line.
type document struct {
	file string
	data []byte
	root hujson.Value
}

func parseDocument(file string, data []byte) (*document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, berylerror.Invalid.Errorf("%s: %s", file, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	return &document{file: file, data: data, root: root}, nil
}

// decode decodes the document into the struct that out points to.
func (d *document) decode(out any) error {
	return d.decodeValue(&d.root, "", reflect.ValueOf(out).Elem())
}

func (d *document) errorAtOffset(offset int, key, text string) error {
	line := d.line(offset)
	if key == "" {
		return berylerror.Invalid.Errorf("%s:%d: %s", d.file, line, text)
	}
	return berylerror.Invalid.Errorf("%s:%d: %s: %s", d.file, line, key, text)
}

// line returns the line of an offset, from one.
func (d *document) line(offset int) int {
	return bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n")) + 1
}

// errorAtKey returns an error with the line of a key such as "agent.entries[1]".
// If the key is missing, the line is that of the innermost enclosing value.
func (d *document) errorAtKey(key, text string) error {
	v := &d.root
	for _, part := range splitKey(key) {
		next := child(v, part)
		if next == nil {
			break
		}
		v = next
	}
	return d.errorAtOffset(v.StartOffset, key, text)
}

func splitKey(key string) []string {
	return strings.FieldsFunc(key, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}

func child(v *hujson.Value, part string) *hujson.Value {
	switch c := v.Value.(type) {
	case *hujson.Object:
		for i := range c.Members {
			if memberName(&c.Members[i]) == part {
				return &c.Members[i].Value
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(part)
		if err == nil && i >= 0 && i < len(c.Elements) {
			return &c.Elements[i]
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	lit, _ := m.Name.Value.(hujson.Literal)
	return lit.String()
}

func joinKey(key, part string) string {
	if key == "" {
		return part
	}
	return key + "." + part
}

func (d *document) decodeValue(v *hujson.Value, key string, out reflect.Value) error {
	if _, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return d.decodeText(v, key, out)
	}
	switch out.Kind() {
	case reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		return d.decodeValue(v, key, out.Elem())
	case reflect.Struct:
		return d.decodeObject(v, key, out)
	case reflect.Map:
		return d.decodeMap(v, key, out)
	case reflect.Slice:
		return d.decodeList(v, key, out)
	default:
		return d.decodeLiteral(v, key, out)
	}
}

// members returns the members of an object. It returns an error if a key occurs
// twice.
func (d *document) members(v *hujson.Value, key string) ([]hujson.ObjectMember, error) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil, d.errorAtOffset(v.StartOffset, key, "needs an object, not "+describe(v))
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		if seen[memberName(m)] {
			return nil, d.errorAtOffset(m.Name.StartOffset, joinKey(key, memberName(m)), "occurs twice")
		}
		seen[memberName(m)] = true
	}
	return obj.Members, nil
}

func (d *document) decodeObject(v *hujson.Value, key string, out reflect.Value) error {
	members, err := d.members(v, key)
	if err != nil {
		return err
	}
	fields := fieldsOf(out.Type())
	for i := range members {
		m := &members[i]
		index := slices.IndexFunc(fields, func(f field) bool { return f.name == memberName(m) })
		if index < 0 {
			return d.errorAtOffset(m.Name.StartOffset, joinKey(key, memberName(m)), "unknown key; known are "+listNames(fields))
		}
		if err := d.decodeValue(&m.Value, joinKey(key, memberName(m)), out.Field(fields[index].index)); err != nil {
			return err
		}
	}
	return nil
}

type field struct {
	name  string
	index int
}

func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag != "" && tag != "-" {
			fields = append(fields, field{name: tag, index: i})
		}
	}
	return fields
}

func listNames(fields []field) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}

func (d *document) decodeMap(v *hujson.Value, key string, out reflect.Value) error {
	members, err := d.members(v, key)
	if err != nil {
		return err
	}
	out.Set(reflect.MakeMapWithSize(out.Type(), len(members)))
	for i := range members {
		elem := reflect.New(out.Type().Elem()).Elem()
		if err := d.decodeValue(&members[i].Value, joinKey(key, memberName(&members[i])), elem); err != nil {
			return err
		}
		out.SetMapIndex(reflect.ValueOf(memberName(&members[i])), elem)
	}
	return nil
}

func (d *document) decodeList(v *hujson.Value, key string, out reflect.Value) error {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.errorAtOffset(v.StartOffset, key, "needs a list, not "+describe(v))
	}
	out.Set(reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		if err := d.decodeValue(&arr.Elements[i], key+"["+strconv.Itoa(i)+"]", out.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

// decodeText decodes a value whose type implements encoding.TextUnmarshaler.
func (d *document) decodeText(v *hujson.Value, key string, out reflect.Value) error {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return d.errorAtOffset(v.StartOffset, key, "needs "+expectedText(out)+", not "+describe(v))
	}
	if addr, ok := out.Addr().Interface().(*netip.AddrPort); ok {
		parsed, err := parseAddr(lit.String())
		if err != nil {
			return d.errorAtOffset(v.StartOffset, key, err.Error())
		}
		*addr = parsed
		return nil
	}
	u, _ := out.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(lit.String())); err != nil {
		return d.errorAtOffset(v.StartOffset, key, err.Error())
	}
	return nil
}

// expectedText describes the text that a type accepts, for error messages.
func expectedText(out reflect.Value) string {
	switch out.Interface().(type) {
	case netip.AddrPort:
		return `an address such as "10.0.0.1:7100"`
	case berylduration.Duration:
		return `a duration with a unit such as "1.6s"`
	case berylsize.Size:
		return `a size with a unit such as "128GB"`
	default:
		return "a string"
	}
}

func (d *document) decodeLiteral(v *hujson.Value, key string, out reflect.Value) error {
	want, kinds := "a string", `"`
	switch out.Kind() {
	case reflect.Int:
		want, kinds = "a whole number", "0"
	case reflect.Float64:
		want, kinds = "a number", "0"
	case reflect.Bool:
		want, kinds = "true or false", "tf"
	default:
	}
	lit, ok := v.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kinds, rune(lit.Kind())) {
		return d.errorAtOffset(v.StartOffset, key, "needs "+want+", not "+describe(v))
	}
	if err := json.Unmarshal(lit, out.Addr().Interface()); err != nil {
		return d.errorAtOffset(v.StartOffset, key, "needs "+want+", not "+describe(v))
	}
	return nil
}

// describe describes a value for an error message.
func describe(v *hujson.Value) string {
	switch c := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return string(c)
	default:
		return "nothing"
	}
}

// parseAddr parses a numeric IP address with a port between 1 and 65535.
func parseAddr(text string) (netip.AddrPort, error) {
	at := strings.LastIndexByte(text, ':')
	if at < 0 {
		return netip.AddrPort{}, errors.Errorf("address %q has no port; use IP:port", text)
	}
	host := strings.TrimSuffix(strings.TrimPrefix(text[:at], "["), "]")
	if _, err := netip.ParseAddr(host); err != nil {
		return netip.AddrPort{}, errors.Errorf("address %q is not a numeric IP address with a port", text)
	}
	port, err := strconv.Atoi(text[at+1:])
	if err != nil || port < 1 || port > 65535 {
		return netip.AddrPort{}, errors.Errorf("port %q of address %q is not between 1 and 65535", text[at+1:], text)
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errors.Errorf("address %q is not a numeric IP address with a port", text)
	}
	return parsed, nil
}
