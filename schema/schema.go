// Package schema contains the published JSON Schemas of the files that operators
// write, and validates documents against them.
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

// Kind identifies one of the published schemas.
type Kind string

// Kinds of documents that operators write.
const (
	Inventory     Kind = "inventory"
	Rules         Kind = "rules"
	EntrySettings Kind = "entry-settings"
	AgentSettings Kind = "agent-settings"
)

// Finding is one fault in a document.
type Finding struct {
	path   string
	rule   string
	remedy string
}

// NewFinding returns a finding at a JSON path.
func NewFinding(path, rule, remedy string) Finding {
	return Finding{path: path, rule: rule, remedy: remedy}
}

// Path returns the location of the fault in the document as a JSON pointer.
func (f Finding) Path() string { return f.path }

// Rule returns the description of the violated rule.
func (f Finding) Rule() string { return f.rule }

// Remedy returns how to correct the fault.
func (f Finding) Remedy() string { return f.remedy }

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; %s", f.path, f.rule, f.remedy)
}

var (
	compileMu sync.Mutex
	compiled  = make(map[Kind]*jsonschema.Schema)
)

// Check validates document against a schema and returns all findings, in order of
// path.
func Check(schemaKind Kind, document []byte) []Finding {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return []Finding{NewFinding("/", "not JSON: "+err.Error(), "correct the syntax at the offset named")}
	}
	validator, err := compile(schemaKind)
	if err != nil {
		return []Finding{NewFinding("/", "schema "+string(schemaKind)+" does not compile: "+err.Error(), "report this as a bug in persimmonridge")}
	}
	err = validator.Validate(value)
	if err == nil {
		return nil
	}
	var failure *jsonschema.ValidationError
	if !errors.As(err, &failure) {
		return []Finding{NewFinding("/", err.Error(), "see schema/"+string(schemaKind)+".schema.json")}
	}
	return leafFindings(schemaKind, value, failure)
}

func compile(schemaKind Kind) (*jsonschema.Schema, error) {
	compileMu.Lock()
	defer compileMu.Unlock()
	if cached, ok := compiled[schemaKind]; ok {
		return cached, nil
	}
	name := string(schemaKind) + ".schema.json"
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
	validator, err := compiler.Compile(name)
	if err != nil {
		return nil, err
	}
	compiled[schemaKind] = validator
	return validator, nil
}

// leafFindings returns a finding for each leaf of the tree of validation errors.
func leafFindings(schemaKind Kind, document any, failure *jsonschema.ValidationError) []Finding {
	printer := message.NewPrinter(language.English)
	remedy := "see schema/" + string(schemaKind) + ".schema.json"
	names := newNameFinder(document)
	var findings []Finding
	var walk func(node *jsonschema.ValidationError, namePath string)
	walk = func(node *jsonschema.ValidationError, namePath string) {
		path := "/" + strings.Join(node.InstanceLocation, "/")
		if namePath != "" {
			path = namePath
		}
		// The causes of a property name error have no location of their own.
		if name, ok := node.ErrorKind.(*kind.PropertyNames); ok {
			namePath = names.find(node.SchemaURL, name.Property)
		}
		for _, cause := range node.Causes {
			walk(cause, namePath)
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
