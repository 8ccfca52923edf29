package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// sendTransaction sends a transaction on rows of the table "t" and returns its answer.
func sendTransaction(c *http.Client, tx transaction) (int, rowsResponse, error) {
	for _, rows := range [][]rowBody{tx.Expected, tx.Write, tx.Remove} {
		for i := range rows {
			rows[i].Table = "t"
		}
	}
	body, err := json.Marshal(tx)
	if err != nil {
		return 0, rowsResponse{}, err
	}
	status, text, err := sendRequest(c, "POST", "/-/rows-tx", string(body))
	if err != nil {
		return 0, rowsResponse{}, err
	}
	var answer rowsResponse
	err = json.Unmarshal([]byte(text), &answer)
	return status, answer, err
}

func rowAtVersion(key string, version uint64) rowBody {
	return rowBody{rowID: rowID{Key: key}, Version: version}
}

// putRow writes a row on condition that its version is the given one; 0 means that
// it must not exist.
func putRow(c *http.Client, key, value string, version uint64) (int, error) {
	written := rowBody{rowID: rowID{Key: key}, Data: []byte(value)}
	status, _, err := sendTransaction(c, transaction{Expected: []rowBody{rowAtVersion(key, version)}, Write: []rowBody{written}})
	return status, err
}

func getRow(t *testing.T, c *http.Client, key string) (string, bool) {
	status, body, err := sendRequest(c, "GET", "/-/rows-get?tableName=t&part=&maxItems=1&from="+url.QueryEscape(key), "")
	if err != nil || status != 200 {
		t.Fatal(status, err)
	}
	var page rowsResponse
	if err := json.Unmarshal([]byte(body), &page); err != nil {
		t.Fatal(err)
	}
	if len(page.Rows) == 0 || page.Rows[0].Key != key {
		return "", false
	}
	return string(page.Rows[0].Data), true
}

// Guards against lost updates: a write whose version condition does not hold must be
// refused. Every claim, lease and catalog change relies on this.
func TestTableConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(TableOptions{})
		defer table.Close()
		c := serveInMemory(t, table)
		steps := []struct {
			value   string
			version uint64
			status  int
		}{
			{"a", 1, 412}, {"a", 0, 200}, {"b", 0, 412}, {"b", 1, 200}, {"c", 1, 412}, {"c", 2, 200},
		}
		for _, step := range steps {
			if status, err := putRow(c, "claim/x%2Fy", step.value, step.version); status != step.status || err != nil {
				t.Errorf("put %+v: %d %v", step, status, err)
			}
		}
		if value, found := getRow(t, c, "claim/x%2Fy"); !found || value != "c" {
			t.Errorf("get: %v %q", found, value)
		}
		if status, _, err := sendRequest(c, "POST", "/-/rows-tx", `{"write":[{"tableName":"","key":"claim/z"}]}`); status != 400 || err != nil {
			t.Errorf("write without a table: %d %v", status, err)
		}
		if n := table.Counts()["claim"]; n.Reads != 1 || n.Writes != 6 {
			t.Errorf("counts %+v", n)
		}
	})
}

// Guards against pages that skip or repeat rows, and against a transaction with
// deletes that is applied in part.
func TestTableListAndDelete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(TableOptions{})
		defer table.Close()
		c := serveInMemory(t, table)
		for _, key := range []string{"b/3", "a/1", "b/1", "b/2", "c/1", "b/4"} {
			if status, err := putRow(c, key, "v", 0); status != 200 || err != nil {
				t.Fatal(status, err)
			}
		}
		keys, from := "", "b/"
		for range 3 {
			_, body, err := sendRequest(c, "GET", "/-/rows-get?tableName=t&part=&to=b0&maxItems=2&from="+url.QueryEscape(from), "")
			var page rowsResponse
			if err != nil || json.Unmarshal([]byte(body), &page) != nil {
				t.Fatal(err, body)
			}
			for _, row := range page.Rows {
				keys += fmt.Sprintf("%s@%d ", row.Key, row.Version)
				from = row.Key + "\x00"
			}
			if !page.More {
				break
			}
		}
		if keys != "b/1@3 b/2@4 b/3@1 b/4@6 " {
			t.Errorf("listed %s", keys)
		}
		status, answer, err := sendTransaction(c, transaction{
			Expected: []rowBody{rowAtVersion("b/1", 3), rowAtVersion("b/2", 9)}, Remove: []rowBody{rowAtVersion("b/1", 0), rowAtVersion("b/2", 0)},
		})
		if _, found := getRow(t, c, "b/1"); status != 412 || err != nil || len(answer.Rows) != 2 || !found {
			t.Errorf("delete with a conflict: %d %+v %v, row %v", status, answer, err, found)
		}
		status, _, err = sendTransaction(c, transaction{Expected: []rowBody{rowAtVersion("b/1", 3)}, Remove: []rowBody{rowAtVersion("b/1", 0), rowAtVersion("b/2", 0)}})
		if _, found := getRow(t, c, "b/1"); status != 200 || err != nil || found {
			t.Errorf("delete: %d %v, row %v", status, err, found)
		}
	})
}

// Guards against faults that differ from what tests of the table's clients rely on:
// which writes take effect, and when.
func TestTableFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(TableOptions{})
		defer table.Close()
		c := serveInMemory(t, table)
		set := func(f TableFaults) {
			if err := table.SetFaults(f); err != nil {
				t.Fatal(err)
			}
		}
		set(TableFaults{LoseWriteAnswers: 1})
		if _, err := putRow(c, "k/lost", "v", 0); err == nil {
			t.Error("the answer was not lost")
		}
		if _, found := getRow(t, c, "k/lost"); !found {
			t.Error("the write with a lost answer took no effect")
		}
		set(TableFaults{DelayWrites: 1, DelayWritesMS: 5000})
		if _, err := putRow(c, "k/late", "v", 0); err == nil {
			t.Error("the late write was answered")
		}
		if _, found := getRow(t, c, "k/late"); found {
			t.Error("the late write took effect at once")
		}
		time.Sleep(6 * time.Second)
		set(TableFaults{ReadLagMS: 4000})
		if _, found := getRow(t, c, "k/late"); found {
			t.Error("the lagging read sees the late write")
		}
		set(TableFaults{})
		if _, found := getRow(t, c, "k/late"); !found {
			t.Error("the late write took no effect")
		}
		set(TableFaults{Down: true})
		if status, err := putRow(c, "k/down", "v", 0); status != 503 || err != nil {
			t.Error("down:", status, err)
		}
		set(TableFaults{Hang: true})
		c.Timeout = time.Minute
		if _, _, err := sendRequest(c, "GET", "/-/rows-get?tableName=t", ""); err == nil {
			t.Error("the call did not hang")
		}
	})
}

// Guards against requests that make the table panic or that change a row although
// their condition does not hold.
func FuzzTableRequests(f *testing.F) {
	f.Add("POST", "/-/rows-tx", []byte(`{"expected":[{"tableName":"t","key":"a","rowVersion":1}],"write":[{"tableName":"t","key":"a","data":"dg=="}]}`))
	f.Add("POST", "/-/rows-tx", []byte(`{"expected":[{"tableName":"t","key":"a","rowVersion":2}],"remove":[{"tableName":"t","key":"a"}]}`))
	f.Add("GET", "/-/rows-get?tableName=t&from=a&to=b&maxItems=1", []byte(nil))
	f.Add("GET", "/-/rows-feed?tableName=t&sinceRevision=0", []byte(nil))
	f.Add("POST", "/faults", []byte(`{"lose_write_answers":1,"read_lag_ms":99}`))
	f.Fuzz(func(t *testing.T, method, path string, body []byte) {
		if !strings.HasPrefix(path, "/-/rows") && path != "/faults" || strings.Contains(string(body)+path, "Ms") || strings.Contains(string(body), "_ms") {
			return
		}
		r, err := http.NewRequest(method, "http://standin"+path, strings.NewReader(string(body)))
		if err != nil {
			return
		}
		table := NewTable(TableOptions{})
		defer table.Close()
		before := transaction{Write: []rowBody{{rowID: rowID{Table: "t", Key: "a"}, Data: []byte("before")}}}
		table.write(func() writeResult { return table.commit(&before) })
		func() {
			defer func() {
				if p := recover(); p != nil && p != http.ErrAbortHandler {
					panic(p)
				}
			}()
			table.ServeHTTP(httptest.NewRecorder(), r)
		}()
		var sent transaction
		if json.Unmarshal(body, &sent) != nil {
			sent = transaction{}
		}
		page := table.listRows(rowID{Table: "t"}, "a", "", 1)
		changed := len(page.Rows) == 0 || string(page.Rows[0].Data) != "before"
		for _, e := range sent.Expected {
			if changed && e.Version != 1 {
				t.Errorf("%s %s changed a row against its condition", method, path)
			}
		}
	})
}
