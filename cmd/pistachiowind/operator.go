package main

import (
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/admin"
)

// operatorFlags are the flags of commands that call the admin API of routers.
type operatorFlags struct {
	urls []string
	key  string
}

func addOperatorFlags(cmd *kingpin.CmdClause) *operatorFlags {
	f := &operatorFlags{}
	cmd.Flag("admin", "Admin URL of a router, such as http://10.0.0.7:8082; repeat it or separate them by commas for several routers.").
		Envar("PISTACHIOWIND_ADMIN").Required().StringsVar(&f.urls)
	cmd.Flag("key", "The operator's key.").Envar("PISTACHIOWIND_OPERATOR_KEY").Required().StringVar(&f.key)
	return f
}

// client returns a client for the first router.
func (f *operatorFlags) client() (*admin.Client, error) {
	return admin.NewClient(f.clientOptions()[0])
}

// clientOptions returns the client options for every router.
func (f *operatorFlags) clientOptions() []admin.ClientOptions {
	list := make([]admin.ClientOptions, 0, len(f.urls))
	for _, urls := range f.urls {
		for url := range strings.SplitSeq(urls, ",") {
			list = append(list, admin.ClientOptions{URL: url, Key: f.key})
		}
	}
	return list
}
