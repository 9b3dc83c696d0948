package schema

import (
	"slices"
	"strings"
)

// wildcard stands for any property's name in a place.
const wildcard = "*"

// nameFinder finds the places of properties whose names are wrong. The schema
// library goes on using the location that it put into such an error, so that it
// names whichever property was checked later, in the random order of a map.
// The place in the schema stays right, and the document tells the rest.
type nameFinder struct {
	document any
	told     map[string]int
}

func newNameFinder(document any) *nameFinder {
	return &nameFinder{document: document, told: make(map[string]int)}
}

// find returns the place of a property with the name in an object that the
// part of the schema describes. If several objects have one, each call for
// them returns another.
func (f *nameFinder) find(schemaURL, name string) string {
	pattern := placePattern(schemaURL)
	places := matches(f.document, pattern, "", name)
	if len(places) == 0 {
		return "/" + strings.Join(append(pattern, name), "/")
	}
	asked := schemaURL + " " + name
	place := places[f.told[asked]%len(places)]
	f.told[asked]++
	return place
}

// placePattern returns the property names that lead to what a part of the
// schema describes.
func placePattern(schemaURL string) []string {
	_, fragment, _ := strings.Cut(schemaURL, "#")
	steps := strings.Split(strings.Trim(fragment, "/"), "/")
	var pattern []string
	for i := 0; i < len(steps); i++ {
		switch steps[i] {
		case "properties":
			i++
			if i < len(steps) {
				pattern = append(pattern, steps[i])
			}
		case "additionalProperties":
			pattern = append(pattern, wildcard)
		}
	}
	return pattern
}

// matches returns, in order, the places of the property in all objects that the
// pattern leads to.
func matches(value any, pattern []string, at, name string) []string {
	object, ok := value.(map[string]any)
	if !ok {
		return nil
	}
	if len(pattern) == 0 {
		if _, has := object[name]; !has {
			return nil
		}
		return []string{at + "/" + name}
	}
	var found []string
	for key, inner := range object {
		if pattern[0] == wildcard || pattern[0] == key {
			found = append(found, matches(inner, pattern[1:], at+"/"+key, name)...)
		}
	}
	slices.Sort(found)
	return found
}
