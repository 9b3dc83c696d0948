// Package inventory parses the operators' description of a site: its failure
// domains, its services with their versions and actions, and its workspaces.
package inventory

import (
	"encoding/json"
	"sort"

	"github.com/persimmonridge/persimmonridge/schema"
)

// Kind is the protocol by which a service's upstreams are called.
type Kind string

// Kinds of services.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Size classifies a workspace by its part of the site's traffic.
type Size string

// Sizes of workspaces.
const (
	Small Size = "small"
	Large Size = "large"
)

type document struct {
	Site           string                        `json:"site"`
	FailureDomains map[string]domainDocument     `json:"failure-domains"`
	Services       map[string]serviceDocument    `json:"services"`
	Workspaces     map[string]*workspaceDocument `json:"workspaces"`
}

type domainDocument struct {
	Region string `json:"region"`
}

type serviceDocument struct {
	Kind     Kind                       `json:"kind"`
	Versions map[string]json.RawMessage `json:"versions"`
	Actions  map[string]actionDocument  `json:"actions"`
}

type actionDocument struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

type workspaceDocument struct {
	Size Size `json:"size"`
}

// Inventory is one valid inventory. It is immutable.
type Inventory struct {
	doc      document
	services map[string]Service
}

// Service is one service of the inventory.
type Service struct {
	name    string
	doc     serviceDocument
	actions []Action
}

// Action is one action of a service.
type Action struct {
	service string
	name    string
	doc     actionDocument
}

// Parse validates raw and returns the inventory, or all findings.
func Parse(raw []byte) (Inventory, []schema.Finding) {
	if findings := schema.Check(schema.Inventory, raw); len(findings) > 0 {
		return Inventory{}, findings
	}
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Inventory{}, []schema.Finding{schema.NewFinding("/", err.Error(), "correct the value named")}
	}
	inv := Inventory{doc: doc, services: make(map[string]Service, len(doc.Services))}
	var findings []schema.Finding
	for name, service := range doc.Services {
		built := newService(name, service)
		inv.services[name] = built
		findings = append(findings, checkPaths(built)...)
	}
	return inv, findings
}

func newService(name string, doc serviceDocument) Service {
	s := Service{name: name, doc: doc}
	for action, actionDoc := range doc.Actions {
		s.actions = append(s.actions, Action{service: name, name: action, doc: actionDoc})
	}
	sort.Slice(s.actions, func(i, j int) bool { return s.actions[i].name < s.actions[j].name })
	return s
}

// checkPaths finds actions of a plain service without a method or path, and
// actions that have the same method and path.
func checkPaths(s Service) []schema.Finding {
	if s.doc.Kind != Plain {
		return nil
	}
	var findings []schema.Finding
	seen := make(map[string]string)
	for _, a := range s.actions {
		path := "/services/" + s.name + "/actions/" + a.name
		if a.doc.Path == "" || a.doc.Method == "" {
			findings = append(findings, schema.NewFinding(path, "an action of a plain service needs method and path", "add both"))
			continue
		}
		route := a.doc.Method + " " + a.doc.Path
		if other, ok := seen[route]; ok {
			findings = append(findings, schema.NewFinding(path, "same method and path as action "+other, "give one of them another path"))
		}
		seen[route] = a.name
	}
	return findings
}

// Site returns the site's name.
func (i Inventory) Site() string { return i.doc.Site }

// Service returns a service by name.
func (i Inventory) Service(name string) (Service, bool) {
	s, ok := i.services[name]
	return s, ok
}

// ServiceNames returns all services in order of name.
func (i Inventory) ServiceNames() []string { return sortedKeys(i.services) }

// FailureDomains returns all failure domains in order of name.
func (i Inventory) FailureDomains() []string { return sortedKeys(i.doc.FailureDomains) }

// Workspaces returns all workspaces in order of name.
func (i Inventory) Workspaces() []string { return sortedKeys(i.doc.Workspaces) }

// WorkspaceSize returns the size of a workspace, and whether it exists.
func (i Inventory) WorkspaceSize(name string) (Size, bool) {
	w, ok := i.doc.Workspaces[name]
	if !ok {
		return "", false
	}
	if w == nil || w.Size == "" {
		return Small, true
	}
	return w.Size, true
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Kind returns the protocol by which its upstreams are called.
func (s Service) Kind() Kind { return s.doc.Kind }

// HasVersion reports whether the version is declared.
func (s Service) HasVersion(version string) bool {
	_, ok := s.doc.Versions[version]
	return ok
}

// Versions returns the declared versions in order of name.
func (s Service) Versions() []string { return sortedKeys(s.doc.Versions) }

// Actions returns the actions in order of name.
func (s Service) Actions() []Action { return s.actions }

// Action returns an action by name.
func (s Service) Action(name string) (Action, bool) {
	for _, a := range s.actions {
		if a.name == name {
			return a, true
		}
	}
	return Action{}, false
}

// Name returns the action's name.
func (a Action) Name() string { return a.name }

// Route returns "service/action", as the rules name the action.
func (a Action) Route() string { return a.service + "/" + a.name }

// Method returns the HTTP method of a plain service's action.
func (a Action) Method() string { return a.doc.Method }

// Path returns the path of a plain service's action.
func (a Action) Path() string { return a.doc.Path }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
