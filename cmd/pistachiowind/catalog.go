package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/storage"
)

func addCatalog(app *kingpin.Application, commands map[string]command) {
	parent := app.Command("catalog", "Read and replace the whole catalog: profiles, client accounts and services.")
	addCatalogGet(parent, commands)
	addCatalogPut(parent, commands)
	addCatalogInit(parent, commands)
	addHashKey(parent, commands)
}

func addCatalogGet(parent *kingpin.CmdClause, commands map[string]command) {
	cmd := parent.Command("get", "Print the catalog in force as JSON.")
	flags := addOperatorFlags(cmd)
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		resp, err := client.Catalog(ctx)
		if err != nil {
			return err
		}
		return writeJSON(s.out, resp.Catalog)
	}
}

func addCatalogPut(parent *kingpin.CmdClause, commands map[string]command) {
	cmd := parent.Command("put", "Replace the catalog. The file's version is the one that the change is based on.")
	file := cmd.Arg("file", "Catalog as JSON, as printed by catalog get.").Required().ExistingFile()
	flags := addOperatorFlags(cmd)
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		c, err := readCatalog(*file)
		if err != nil {
			return err
		}
		put := &admin.PutCatalogRequest{Catalog: *c, BaseVersion: c.Version}
		accepted, err := retryUnknownOutcome(func() (admin.AcceptedChange, error) { return client.PutCatalog(ctx, put) })
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.out, "accepted as catalog version %d\n", accepted.Version)
		return err
	}
}

func readCatalog(file string) (*catalog.Catalog, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return catalog.Decode(body)
}

// addCatalogInit adds the command catalog init. It writes directly to the table
// service, because no router is ready before a first catalog exists.
func addCatalogInit(parent *kingpin.CmdClause, commands map[string]command) {
	cmd := parent.Command("init", "Write the first catalog of a site to the table service.")
	file := cmd.Arg("file", "Catalog as JSON.").Required().ExistingFile()
	table := cmd.Flag("table", "URL of the table service.").Required().String()
	by := cmd.Flag("by", "Name of the operator, for the history.").Required().String()
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		c, err := readCatalog(*file)
		if err != nil {
			return err
		}
		store := catalog.NewStore(platform.NewTable(storage.Options{URL: *table}))
		accepted, err := store.Put(ctx, time.Now(), catalog.Change{ID: uuid.NewString(), By: *by, Catalog: c})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.out, "accepted as catalog version %d\n", accepted.Version)
		return err
	}
}

func addHashKey(parent *kingpin.CmdClause, commands map[string]command) {
	cmd := parent.Command("hash-key", "Print the hash of an API key or an operator's key, for the catalog or the settings.")
	key := cmd.Arg("key", "The key.").Required().String()
	commands[cmd.FullCommand()] = func(_ context.Context, s streams) error {
		_, err := fmt.Fprintln(s.out, catalog.HashKey(*key))
		return err
	}
}

func writeHistory(w io.Writer, entries []catalog.HistoryEntry) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VERSION\tWHEN\tWHO\tWHAT")
	for _, e := range entries {
		first := fmt.Sprintf("%d\t%s\t%s", e.Version, e.At.Format(time.RFC3339), e.By)
		for _, d := range e.Differences {
			fmt.Fprintf(t, "%s\t%s: %s -> %s\n", first, d.Field, d.From, d.To)
			first = "\t\t"
		}
	}
	return t.Flush()
}
