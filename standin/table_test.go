package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func put(c *http.Client, key, value, condition string) (int, error) {
	headers := []string{"If-Match", `"` + condition + `"`}
	if condition == "" {
		headers = []string{"If-None-Match", "*"}
	}
	status, _, err := send(c, "PUT", "/rows/"+key, value, headers...)
	return status, err
}

func get(t *testing.T, c *http.Client, key string) (int, string) {
	status, body, err := send(c, "GET", "/rows/"+key, "")
	if err != nil {
		t.Fatal(err)
	}
	return status, body
}

// Guards against a table that loses an update or a create, on which every
// claim, lease and catalog change relies.
func TestTableConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(TableOptions{})
		defer table.Close()
		c := dial(t, table)
		steps := []struct {
			value, condition string
			status           int
		}{
			{"a", "1", 412}, {"a", "", 201}, {"b", "", 412}, {"b", "1", 200}, {"c", "1", 412}, {"c", "2", 200},
		}
		for _, step := range steps {
			if status, err := put(c, "claim/x%2Fy", step.value, step.condition); status != step.status || err != nil {
				t.Errorf("put %+v: %d %v", step, status, err)
			}
		}
		if status, value := get(t, c, "claim/x%2Fy"); status != 200 || value != "c" {
			t.Errorf("get: %d %q", status, value)
		}
		if status, _, err := send(c, "PUT", "/rows/claim/z", "v"); status != 428 || err != nil {
			t.Errorf("put without a condition: %d %v", status, err)
		}
		if n := table.Counts()["claim"]; n.Reads != 1 || n.Writes != 7 {
			t.Errorf("counts %+v", n)
		}
	})
}

// Guards against pages that skip or repeat rows, and against a delete
// transaction that takes effect in part.
func TestTableListAndDelete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(TableOptions{})
		defer table.Close()
		c := dial(t, table)
		for _, key := range []string{"b/3", "a/1", "b/1", "b/2", "c/1", "b/4"} {
			if status, err := put(c, key, "v", ""); status != 201 || err != nil {
				t.Fatal(status, err)
			}
		}
		keys, after := "", ""
		for range 3 {
			_, body, err := send(c, "GET", "/rows?prefix=b/&limit=2&after="+after, "")
			var page listPage
			if err != nil || json.Unmarshal([]byte(body), &page) != nil {
				t.Fatal(err, body)
			}
			for _, row := range page.Rows {
				keys += row.Key + "@" + row.Revision + " "
			}
			if after = page.Next; after == "" {
				break
			}
		}
		if keys != "b/1@3 b/2@4 b/3@1 b/4@6 " {
			t.Errorf("listed %s", keys)
		}
		partly := `{"rows":[{"key":"b/1","revision":"3"},{"key":"b/2","revision":"9"}]}`
		status, body, _ := send(c, "POST", "/rows:delete", partly)
		if found, _ := get(t, c, "b/1"); status != 412 || !strings.Contains(body, `["b/2"]`) || found != 200 {
			t.Errorf("delete with a conflict: %d %s, row %d", status, body, found)
		}
		status, _, _ = send(c, "POST", "/rows:delete", `{"rows":[{"key":"b/1","revision":"3"},{"key":"b/2"}]}`)
		if found, _ := get(t, c, "b/1"); status != 200 || found != 404 {
			t.Errorf("delete: %d, row %d", status, found)
		}
	})
}

// Guards against faults that don't do what tests of the callers rely on: which
// writes took effect, and when.
func TestTableFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(TableOptions{})
		defer table.Close()
		c := dial(t, table)
		set := func(f TableFaults) {
			if err := table.SetFaults(f); err != nil {
				t.Fatal(err)
			}
		}
		set(TableFaults{LoseWriteAnswers: 1})
		if _, err := put(c, "k/lost", "v", ""); err == nil {
			t.Error("the answer was not lost")
		}
		if status, _ := get(t, c, "k/lost"); status != 200 {
			t.Error("the write with a lost answer took no effect")
		}
		set(TableFaults{DelayWrites: 1, DelayWritesMS: 5000})
		if _, err := put(c, "k/late", "v", ""); err == nil {
			t.Error("the late write was answered")
		}
		if status, _ := get(t, c, "k/late"); status != 404 {
			t.Error("the late write took effect at once")
		}
		time.Sleep(6 * time.Second)
		set(TableFaults{ReadLagMS: 4000})
		if status, _ := get(t, c, "k/late"); status != 404 {
			t.Error("the lagging read sees the late write")
		}
		set(TableFaults{})
		if status, _ := get(t, c, "k/late"); status != 200 {
			t.Error("the late write took no effect")
		}
		set(TableFaults{Down: true})
		if status, err := put(c, "k/down", "v", ""); status != 503 || err != nil {
			t.Error("down:", status, err)
		}
		set(TableFaults{Hang: true})
		c.Timeout = time.Minute
		if _, _, err := send(c, "GET", "/rows/k/lost", ""); err == nil {
			t.Error("the call did not hang")
		}
	})
}

// Guards against outside bytes that stop a stand-in or change rows without a
// valid condition.
func FuzzTableRequests(f *testing.F) {
	f.Add("PUT", "/rows/a", "If-Match", `"1"`, []byte("v"))
	f.Add("POST", "/rows:delete", "X", "", []byte(`{"rows":[{"key":"a","revision":"2"}]}`))
	f.Add("GET", "/rows?prefix=a&after=b&limit=1", "X", "", []byte(nil))
	f.Add("POST", "/faults", "X", "", []byte(`{"lose_write_answers":1,"read_lag_ms":99}`))
	f.Fuzz(func(t *testing.T, method, path, name, value string, body []byte) {
		if !strings.HasPrefix(path, "/rows") && path != "/faults" || strings.Contains(string(body), "_ms") {
			return
		}
		r, err := http.NewRequest(method, "http://standin"+path, strings.NewReader(string(body)))
		if err != nil {
			return
		}
		r.Header.Set(name, value)
		table := NewTable(TableOptions{})
		defer table.Close()
		table.rows.write(time.Now(), "a", []byte("before"), false)
		func() {
			defer func() {
				if p := recover(); p != nil && p != http.ErrAbortHandler {
					panic(p)
				}
			}()
			table.ServeHTTP(httptest.NewRecorder(), r)
		}()
		row, ok := table.read("a")
		if ok && string(row.value) != "before" && r.Header.Get("If-Match") == "" {
			t.Errorf("%s %s changed a row without a condition", method, path)
		}
	})
}
