package golden

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"
	"time"
)

// Fill returns a value with every exported field set to a non-zero value of its own, recursively. Numbers and texts follow from
// the order of declaration and not from names; 8-bit numbers repeat after their range.
func Fill[T any]() *T {
	v := new(T)
	count := 0
	fill(reflect.ValueOf(v).Elem(), &count)
	return v
}

func fill(v reflect.Value, count *int) {
	*count++
	n := *count
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(n))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Int8:
		v.SetInt(int64(n%127 + 1))
	case reflect.Uint8:
		v.SetUint(uint64(n%255 + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), count)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), count)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), count)
		fill(v.Index(1), count)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, count)
		fill(value, count)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), count)
			}
		}
	default:
		panic(fmt.Sprintf("golden: no value for a field of type %v", v.Type()))
	}
}

// FillByKey returns a value with every exported field set. Numbers and texts follow from the path of JSON keys that leads to a field,
// not from Go names, so fields may be renamed and reordered in Go as long as the JSON keys stay. Lists and maps have two entries.
func FillByKey[T any]() *T {
	v := new(T)
	fillByKey(reflect.ValueOf(v).Elem(), "")
	return v
}

func fillByKey(v reflect.Value, path string) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(numberFor(path), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillByKey(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				fillByKey(v.Field(i), path+"."+jsonKey(field))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillEntries(v, path)
	case reflect.Array:
		fillEntries(v, path)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for _, name := range []string{"first", "second"} {
			entry := reflect.New(v.Type().Elem()).Elem()
			fillByKey(entry, path+"."+name)
			v.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), entry)
		}
	case reflect.String:
		v.SetString(strings.TrimPrefix(path, "."))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(numberFor(path)) / 8)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(numberFor(path))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(numberFor(path)))
	default:
		panic(fmt.Sprintf("golden: %s: no value for a %v", path, v.Type()))
	}
}

func fillEntries(v reflect.Value, path string) {
	for i := range v.Len() {
		fillByKey(v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// jsonKey returns the key of a field in JSON.
func jsonKey(field reflect.StructField) string {
	if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
		return name
	}
	return field.Name
}

// numbers is how many values numberFor has; all fit in an int16.
const numbers = 30000

// numberFor returns a number from 1 to numbers that depends on the path alone.
func numberFor(path string) int64 {
	hash := fnv.New32a()
	hash.Write([]byte(path))
	return int64(hash.Sum32()%numbers) + 1
}
