package catalog

import (
	"slices"
	"testing"

	"github.com/pistachiowind/pistachiowind/oddvalue"
	"github.com/pistachiowind/pistachiowind/storage"
)

// Guards against an odd row of the catalog that ends a process, is adopted as another version
// than it names, or outlasts the sound row after it.
func TestOddRowsOfTheCatalogHarmNothing(t *testing.T) {
	table := newFakeTable()
	store := NewStore(table)
	for version, change := range []Change{{ID: "first", By: "op", Catalog: sampleCatalog()}, tierChange("x", 1, 1)} {
		if _, err := store.Put(ctx, start, change); err != nil {
			t.Fatal(version, err)
		}
	}
	for key, row := range table.rows {
		text, err := decompress(row.Value)
		if err != nil {
			t.Fatal(key, err)
		}
		for name, variant := range oddvalue.JSON(string(text)) {
			value := []byte(variant)
			if !slices.Equal(text, row.Value) {
				if value, err = compress(value); err != nil {
					t.Fatal(err)
				}
			}
			table.rows[key] = storage.Row{Key: key, Value: value, Revision: row.Revision}
			if version, c, err := store.Load(ctx, 0); err == nil && c != nil && (version != c.Version || Validate(c) != nil) {
				t.Errorf("%s: %s: version %d with a document of version %d, %v", key, name, version, c.Version, Validate(c))
			}
			_, _ = store.History(ctx, HistoryVersions)
			table.rows[key] = row
			if version, _, err := store.Load(ctx, 0); err != nil || version != 2 {
				t.Fatalf("%s: %s: version %d, %v after the row was sound again", key, name, version, err)
			}
		}
	}
}
