package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/schema"
)

var namespace = errorx.NewNamespace("operate")

// Errors of the operators' commands.
var (
	findingsFound    = namespace.NewType("findings")
	entryUnreachable = namespace.NewType("not-answered")
)

// commandTimeout limits the time that a command waits for the store or an entry.
const commandTimeout = 20 * time.Second

type checkCommand struct {
	Inventory string `arg:"" type:"existingfile" help:"Inventory file."`
	Rules     string `arg:"" optional:"" type:"existingfile" help:"Rules file."`
}

// Run implements kong's command.
func (c *checkCommand) Run() error {
	raw, err := os.ReadFile(c.Inventory)
	if err != nil {
		return err
	}
	inv, findings := inventory.Parse(raw)
	count := printFindings(c.Inventory, findings)
	if c.Rules != "" && len(findings) == 0 {
		rulesFile, err := os.ReadFile(c.Rules)
		if err != nil {
			return err
		}
		count += printFindings(c.Rules, checkRules(rulesFile, inv))
	}
	if c.Rules != "" && len(findings) > 0 {
		fmt.Println(c.Rules + ": not checked because the inventory has findings; correct the inventory first")
	}
	if count > 0 {
		return findingsFound.New("%d findings; nothing was changed", count)
	}
	fmt.Println("no findings")
	return nil
}

func checkRules(raw []byte, inv inventory.Inventory) []schema.Finding {
	_, findings := rules.Parse(raw, inv)
	return findings
}

func printFindings(file string, findings []schema.Finding) int {
	for _, f := range findings {
		fmt.Println(file + ": " + f.String())
	}
	return len(findings)
}

// storeFlags holds the flag that locates the platform's store.
type storeFlags struct {
	Store []string `default:"http://127.0.0.1:8500" help:"Addresses of the platform's key-value service."`
}

func (c storeFlags) newSubmitter() (*changelog.Submitter, *store.Client) {
	client := store.New(c.Store, time.Now, &net.Dialer{Timeout: time.Second}, store.ForOperator())
	return changelog.NewSubmitter(client), client
}

type applyCommand struct {
	storeFlags
	Inventory string `required:"" type:"existingfile" help:"Inventory file."`
	Rules     string `required:"" type:"existingfile" help:"Rules file."`
	Who       string `required:"" help:"Author of the change."`
	Why       string `required:"" help:"Reason for the change, in one sentence."`
	Revision  int64  `default:"-1" help:"Revision on which the files are based; the revision in force if not given."`
}

// Run implements kong's command.
func (c *applyCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	inventoryFile, err := os.ReadFile(c.Inventory)
	if err != nil {
		return err
	}
	rulesFile, err := os.ReadFile(c.Rules)
	if err != nil {
		return err
	}
	submitter, client := c.newSubmitter()
	defer func() { _ = client.Close() }()
	current, revision, err := submitter.Read(ctx)
	if err != nil {
		return err
	}
	patch, changed, err := document.Edit(current, inventoryFile, rulesFile)
	if err != nil {
		return err
	}
	if !changed {
		fmt.Printf("revision %d is in force with the same content; nothing to change\n", revision)
		return nil
	}
	basedOn := revision
	if c.Revision >= 0 {
		basedOn = uint64(c.Revision)
	}
	record, err := submitter.Submit(ctx, time.Now(), changelog.NewChange(basedOn, c.Who, c.Why, patch))
	if err != nil {
		return err
	}
	fmt.Printf("accepted as revision %d; in force everywhere within 8 s\n", record.Revision())
	return nil
}

type auditCommand struct {
	storeFlags
	Above uint64 `default:"0" help:"List only changes above this revision."`
	JSON  bool   `name:"json" help:"Print one JSON record per line."`
}

// Run implements kong's command.
func (c *auditCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	submitter, client := c.newSubmitter()
	defer func() { _ = client.Close() }()
	trail, err := submitter.Audit(ctx, c.Above)
	if err != nil {
		return err
	}
	for _, record := range trail {
		if err := printRecord(record, c.JSON); err != nil {
			return err
		}
	}
	return nil
}

func printRecord(record changelog.Record, asJSON bool) error {
	if asJSON {
		raw, err := json.Marshal(record)
		if err == nil {
			fmt.Println(string(raw))
		}
		return err
	}
	fmt.Printf("%d  %s  %s: %s\n    %s\n", record.Revision(), record.When().Format(time.RFC3339), record.Who(), record.Why(), record.Patch())
	return nil
}

type statusCommand struct {
	Entry string `default:"http://127.0.0.1:8080" help:"A running entry's caller address."`
}

// Run implements kong's command.
func (c *statusCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Entry+"/status", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return entryUnreachable.Wrap(err, "the entry at %s does not answer; name another with --entry", c.Entry)
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
