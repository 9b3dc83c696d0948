package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/persimmonridge/persimmonridge/internal/observe/explain"
)

// explainCommand prints what happened to a request according to the logs.
type explainCommand struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" type:"existingfile" help:"Log files, one for each process."`
}

// Run implements kong's command.
func (c *explainCommand) Run() error {
	var logs []*explain.Log
	for _, name := range c.Files {
		log, err := readLog(name)
		if err != nil {
			return err
		}
		logs = append(logs, log)
	}
	found, err := explain.WriteReport(os.Stdout, c.ID, logs...)
	if err != nil {
		return err
	}
	if found {
		return nil
	}
	for _, restart := range explain.Restarts(logs...) {
		if _, err := fmt.Println(restart); err != nil {
			return err
		}
	}
	return fmt.Errorf("no log line of request %s in %d files: the request never reached these processes, or the process that handled it was killed, "+
		"or it succeeded and its line was left out during a burst", c.ID, len(c.Files))
}

func readLog(name string) (log *explain.Log, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return explain.Read(name, file)
}
