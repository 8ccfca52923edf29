package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

const (
	defaultHistoryLimit = 20
	// propagationTimeout is how long a change may take to be in force in every process;
	// the command stops waiting after it.
	propagationTimeout      = 11 * time.Second
	propagationPollInterval = 250 * time.Millisecond
)

func addProfile(app *kingpin.Application, commands map[string]command) {
	parent := app.Command("profile", "List, read and change profiles.")
	addProfileList(parent, commands)
	addProfileGet(parent, commands)
	addProfilePut(parent, commands)
	addProfileHistory(parent, commands)
}

func addProfileList(parent *kingpin.CmdClause, commands map[string]command) {
	cmd := parent.Command("list", "List the profiles in force.")
	flags := addOperatorFlags(cmd)
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		list, err := client.Profiles(ctx)
		if err != nil {
			return err
		}
		return writeProfiles(s.out, list)
	}
}

func writeProfiles(w io.Writer, list admin.ProfilesResponse) error {
	fmt.Fprintf(w, "catalog version %d (from the %s)\n", list.Version, list.Source)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tCLASS\tTIER\tFIRST TOKEN\tINTER TOKEN\tWHOLE\tIDEMPOTENT")
	for _, p := range list.Profiles {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%t\n", p.Name, p.ClassName(), p.Tier,
			formatTarget(p.Target.FirstTokenMS), formatTarget(p.Target.InterTokenMS), formatTarget(p.Target.WholeMS), p.Idempotent)
	}
	return t.Flush()
}

func formatTarget(ms int) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", ms)
}

func addProfileGet(parent *kingpin.CmdClause, commands map[string]command) {
	cmd := parent.Command("get", "Print one profile as JSON.")
	name := cmd.Arg("name", "The profile's name.").Required().String()
	flags := addOperatorFlags(cmd)
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		p, err := client.Profile(ctx, *name)
		if err != nil {
			return err
		}
		return writeJSON(s.out, p.Profile)
	}
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func addProfilePut(parent *kingpin.CmdClause, commands map[string]command) {
	cmd := parent.Command("put", "Add or replace a profile. Of two operators at once one succeeds; the other gets a conflict.")
	file := cmd.Arg("file", "Profile as JSON.").Required().ExistingFile()
	base := cmd.Flag("base", "Catalog version that the change is based on; default is the version in force.").Uint64()
	wait := cmd.Flag("wait", "Wait until the change is in force in every process.").Bool()
	flags := addOperatorFlags(cmd)
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		accepted, err := putProfile(ctx, client, *file, *base)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.out, "accepted as catalog version %d\n", accepted.Version)
		if !*wait {
			return nil
		}
		return awaitPropagation(ctx, client, accepted.Version, s)
	}
}

func putProfile(ctx context.Context, client *admin.Client, file string, base uint64) (admin.AcceptedChange, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return admin.AcceptedChange{}, err
	}
	p, err := catalog.DecodeProfile(body)
	if err != nil {
		return admin.AcceptedChange{}, err
	}
	if base == 0 {
		list, err := client.Profiles(ctx)
		if err != nil {
			return admin.AcceptedChange{}, err
		}
		base = list.Version
	}
	put := &admin.PutProfileRequest{Profile: p, BaseVersion: base}
	return retryUnknownOutcome(func() (admin.AcceptedChange, error) { return client.PutProfile(ctx, put) })
}

// maxPutTries limits the tries of a change whose response was lost. All of them carry
// the same change ID, so that the change is applied once.
const maxPutTries = 5

// retryUnknownOutcome repeats a put while its outcome is unknown.
func retryUnknownOutcome(put func() (admin.AcceptedChange, error)) (admin.AcceptedChange, error) {
	for try := 1; ; try++ {
		accepted, err := put()
		if err == nil || try == maxPutTries || resultcode.As(err).Code != resultcode.WriteOutcomeUnknown {
			return accepted, err
		}
	}
}

// awaitPropagation polls the router until the version is in force in every process
// that the router knows, for at most propagationTimeout.
func awaitPropagation(ctx context.Context, client *admin.Client, version uint64, s streams) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for {
		state, err := client.Propagation(ctx, version)
		if err == nil && len(state.Lagging) == 0 {
			_, err = fmt.Fprintf(s.out, "in force in %d processes after %s\n", state.InForce, time.Since(start).Round(time.Millisecond))
			return err
		}
		select {
		case <-time.After(propagationPollInterval):
		case <-ctx.Done():
			return propagationError(state, version, err)
		}
	}
}

func propagationError(state admin.Propagation, version uint64, err error) error {
	if err != nil {
		return err
	}
	return fmt.Errorf("version %d is accepted but not in force after %s in: %v", version, propagationTimeout, state.Lagging)
}

func addProfileHistory(parent *kingpin.CmdClause, commands map[string]command) {
	cmd := parent.Command("history", "Print who changed what and when, newest first.")
	limit := cmd.Flag("limit", "Number of changes.").Default(fmt.Sprint(defaultHistoryLimit)).Int()
	flags := addOperatorFlags(cmd)
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		entries, err := client.History(ctx, *limit)
		if err != nil {
			return err
		}
		return writeHistory(s.out, entries)
	}
}
