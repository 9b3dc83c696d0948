// Package schema holds the published JSON Schemas of everything operators
// write, and checks a document against one of them.
package schema

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed *.schema.json
var files embed.FS

// Kind names one of the published schemas.
type Kind string

// The kinds of document that operators write.
const (
	Inventory     Kind = "inventory"
	Rules         Kind = "rules"
	EntrySettings Kind = "entry-settings"
	AgentSettings Kind = "agent-settings"
)

// Finding is one fault of a document.
type Finding struct {
	path   string
	rule   string
	remedy string
}

// NewFinding returns a finding at a JSON path.
func NewFinding(path, rule, remedy string) Finding {
	return Finding{path: path, rule: rule, remedy: remedy}
}

// Path returns where in the document the fault is, as a JSON pointer.
func (f Finding) Path() string { return f.path }

// Rule returns the rule that is broken.
func (f Finding) Rule() string { return f.rule }

// Remedy returns what to do about it.
func (f Finding) Remedy() string { return f.remedy }

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; %s", f.path, f.rule, f.remedy)
}

var (
	compileMu sync.Mutex
	compiled  = make(map[Kind]*jsonschema.Schema)
)

// Check returns every structural fault of document, in order of path.
func Check(of Kind, document []byte) []Finding {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return []Finding{NewFinding("/", "not JSON: "+err.Error(), "correct the syntax at the offset named")}
	}
	checker, err := compile(of)
	if err != nil {
		return []Finding{NewFinding("/", "schema "+string(of)+" does not compile: "+err.Error(), "report this as a fault of persimmonridge")}
	}
	err = checker.Validate(value)
	if err == nil {
		return nil
	}
	var failure *jsonschema.ValidationError
	if !errors.As(err, &failure) {
		return []Finding{NewFinding("/", err.Error(), "see schema/"+string(of)+".schema.json")}
	}
	return flatten(of, value, failure)
}

func compile(of Kind) (*jsonschema.Schema, error) {
	compileMu.Lock()
	defer compileMu.Unlock()
	if found, ok := compiled[of]; ok {
		return found, nil
	}
	name := string(of) + ".schema.json"
	raw, err := files.ReadFile(name)
	if err != nil {
		return nil, err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	if err := compiler.AddResource(name, value); err != nil {
		return nil, err
	}
	checker, err := compiler.Compile(name)
	if err != nil {
		return nil, err
	}
	compiled[of] = checker
	return checker, nil
}

// flatten turns the tree of a validation error into its leaves.
func flatten(of Kind, document any, failure *jsonschema.ValidationError) []Finding {
	printer := message.NewPrinter(language.English)
	remedy := "see schema/" + string(of) + ".schema.json"
	names := newNameFinder(document)
	var findings []Finding
	var walk func(node *jsonschema.ValidationError, at string)
	walk = func(node *jsonschema.ValidationError, at string) {
		path := "/" + strings.Join(node.InstanceLocation, "/")
		if at != "" {
			path = at
		}
		// What is wrong with a name is told without a place of its own.
		if name, ok := node.ErrorKind.(*kind.PropertyNames); ok {
			at = names.find(node.SchemaURL, name.Property)
		}
		for _, cause := range node.Causes {
			walk(cause, at)
		}
		if len(node.Causes) > 0 {
			return
		}
		findings = append(findings, NewFinding(path, node.ErrorKind.LocalizedString(printer), remedy))
	}
	walk(failure, "")
	sort.SliceStable(findings, func(i, j int) bool { return findings[i].path < findings[j].path })
	return findings
}
