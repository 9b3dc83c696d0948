package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/persimmonridge/persimmonridge/internal/observe/explain"
)

// explainCommand tells a request's story from logs.
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
	found, err := explain.Story(os.Stdout, c.ID, logs...)
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("no line of request %s in %d files; a request that went well may be left out in a burst", c.ID, len(c.Files))
	}
	return nil
}

func readLog(name string) (log *explain.Log, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return explain.Read(name, file)
}
