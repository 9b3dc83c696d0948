package schema

import (
	"slices"
	"strings"
)

// wildcard matches any property name in a path pattern.
const wildcard = "*"

// nameFinder finds the paths of properties with invalid names. The schema library
// reuses the slice of the location that it stores in such an error, so the location
// becomes that of whichever property is validated later, in the random order of a
// map. The location in the schema remains correct, and the path is found by
// searching the document for the property.
type nameFinder struct {
	document any
	returned map[string]int
}

func newNameFinder(document any) *nameFinder {
	return &nameFinder{document: document, returned: make(map[string]int)}
}

// find returns the path of a property called name in an object described by the
// subschema at schemaURL. If several objects have one, each call returns the path of
// the next.
func (f *nameFinder) find(schemaURL, name string) string {
	pattern := pathPattern(schemaURL)
	paths := matchingPaths(f.document, pattern, "", name)
	if len(paths) == 0 {
		return "/" + strings.Join(append(pattern, name), "/")
	}
	query := schemaURL + " " + name
	path := paths[f.returned[query]%len(paths)]
	f.returned[query]++
	return path
}

// pathPattern returns the property names on the path to the objects that a
// subschema describes.
func pathPattern(schemaURL string) []string {
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

// matchingPaths returns, in order, the paths of the property in all objects to which the
// pattern leads.
func matchingPaths(value any, pattern []string, prefix, name string) []string {
	object, ok := value.(map[string]any)
	if !ok {
		return nil
	}
	if len(pattern) == 0 {
		if _, has := object[name]; !has {
			return nil
		}
		return []string{prefix + "/" + name}
	}
	var found []string
	for key, member := range object {
		if pattern[0] == wildcard || pattern[0] == key {
			found = append(found, matchingPaths(member, pattern[1:], prefix+"/"+key, name)...)
		}
	}
	slices.Sort(found)
	return found
}
