package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// sendRequest sends a request with headers given as name and value pairs, and
// returns the status and body. An error means that the connection broke.
func sendRequest(c *http.Client, method, path, body string, headers ...string) (int, string, error) {
	r, err := http.NewRequest(method, "http://standin"+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	// Without GetBody the transport cannot send the request again by itself.
	r.GetBody = nil
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// readStream returns the concatenated text of a server-sent event stream, and
// whether it ended with [DONE].
func readStream(body io.Reader) (text string, done bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk chatChunk
		if json.Unmarshal([]byte(data), &chunk) != nil {
			return text, false
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	return text, done
}

func chatBody(t *testing.T, question string, extra string) string {
	content, err := json.Marshal(question)
	if err != nil {
		t.Fatal(err)
	}
	return `{"model":"chat","messages":[{"role":"user","content":` + string(content) + `}]` + extra + `}`
}

func expectedAnswer(t *testing.T, body string) string {
	text, err := ExpectedAnswer([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against an answer that differs from ExpectedAnswer or from the published
// protocol: streamed, not streamed, or continued from a partial answer.
func TestEngineAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineOptions{})
		defer e.Close()
		c := serveInMemory(t, e)
		body := chatBody(t, "whole", `,"max_tokens":40,"stream":true,"stream_options":{"include_usage":true}`)
		want := expectedAnswer(t, body)
		_, stream, err := sendRequest(c, "POST", "/v1/chat/completions", body)
		if err != nil {
			t.Fatal(err)
		}
		text, done := readStream(strings.NewReader(stream))
		if text != want || !done {
			t.Errorf("streamed %q, done %v; want %q", text, done, want)
		}
		if !strings.Contains(stream, `"finish_reason":"length"`) && !strings.Contains(stream, `"finish_reason":"stop"`) {
			t.Error("no finish reason")
		}
		if !strings.Contains(stream, `"choices":[],"usage":{"prompt_tokens":`) {
			t.Error("no usage chunk")
		}
		_, unstreamed, err := sendRequest(c, "POST", "/v1/chat/completions", chatBody(t, "whole", `,"max_tokens":40`))
		var completion chatCompletion
		if err != nil || json.Unmarshal([]byte(unstreamed), &completion) != nil {
			t.Fatalf("not streamed: %v %s", err, unstreamed)
		}
		if completion.Choices[0].Message.Content != want {
			t.Errorf("not streamed: %q; want %q", completion.Choices[0].Message.Content, want)
		}
		messages := `[{"role":"user","content":"whole"},{"role":"assistant","content":"` + text[:3] + `"}]`
		_, stream, err = sendRequest(c, "POST", "/v1/chat/completions",
			`{"model":"chat","messages":`+messages+`,"max_tokens":40,"stream":true,"continue_final_message":true}`)
		if rest, done := readStream(strings.NewReader(stream)); err != nil || !done || text[:3]+rest != want {
			t.Errorf("continued: %q, done %v, %v; want %q", text[:3]+rest, done, err, want)
		}
		if stats := e.Stats(); stats.Started != 3 || stats.Completed != 3 {
			t.Errorf("stats %+v", stats)
		}
	})
}

// Guards against slots that stay occupied after their clients disconnect, until the
// engine can serve no request.
func TestEngineDisconnectFreesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineOptions{Model: EngineModelOptions{Slots: 1}})
		defer e.Close()
		c := serveInMemory(t, e)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		long := chatBody(t, "long", `,"ignore_eos":true,"stream":true`)
		r, err := http.NewRequestWithContext(ctx, "POST", "http://standin/v1/chat/completions", strings.NewReader(long))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := c.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("long stream ended with %v", err)
		}
		synctest.Wait()
		if load := e.reportedLoad(time.Now()); load.Running != 0 || e.Stats().Cancelled != 1 {
			t.Errorf("load %+v, stats %+v", load, e.Stats())
		}
	})
}

// Guards against a crash after which a stream ends as if complete or the engine
// keeps its state, and against a crash marker that takes effect only once.
func TestEngineCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineOptions{})
		defer e.Close()
		c := serveInMemory(t, e)
		faults := `{"crash_marker":"poison","restart_after_ms":500}`
		if status, body, err := sendRequest(c, "POST", "/faults", faults); status != 200 || err != nil {
			t.Fatal(status, body, err)
		}
		long := chatBody(t, "long", `,"max_tokens":1000,"ignore_eos":true,"stream":true`)
		resp, err := c.Post("http://standin/v1/chat/completions", "application/json", strings.NewReader(long))
		if err != nil {
			t.Fatal(err)
		}
		poison := chatBody(t, "a poison request", "")
		for range 2 {
			if _, _, err := sendRequest(c, "POST", "/v1/chat/completions", poison); err == nil {
				t.Error("the marked request was answered")
			}
			if _, _, err := sendRequest(c, "GET", "/health", ""); err == nil {
				t.Error("the engine is up after the crash")
			}
			time.Sleep(time.Second)
		}
		if text, done := readStream(resp.Body); done || !strings.HasPrefix(expectedAnswer(t, long), text) {
			t.Errorf("the other stream: done %v, text %q", done, text)
		}
		if status, _, err := sendRequest(c, "GET", "/health", ""); status != 200 || err != nil {
			t.Error("the engine is not up after the restart", status, err)
		}
		if stats := e.Stats(); stats.Crashes != 2 || stats.Cut != 3 {
			t.Errorf("stats %+v", stats)
		}
	})
}

// Guards against a load report that is newer than the lag allows, and against
// streams that continue after they were silenced.
func TestEngineReportLagAndSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineOptions{Faults: EngineFaults{ReportLagMS: 1000}})
		defer e.Close()
		c := serveInMemory(t, e)
		long := chatBody(t, "long", `,"max_tokens":1000,"ignore_eos":true,"stream":true`)
		resp, err := c.Post("http://standin/v1/chat/completions", "application/json", strings.NewReader(long))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		got := make(chan int, 1)
		go func() {
			var buffer bytes.Buffer
			_, _ = io.Copy(&buffer, resp.Body)
			got <- buffer.Len()
		}()
		time.Sleep(900 * time.Millisecond)
		if load := e.reportedLoad(time.Now()); load.Running != 0 {
			t.Errorf("report after 0.9 s with a lag of 1 s: %+v", load)
		}
		time.Sleep(200 * time.Millisecond)
		if load := e.reportedLoad(time.Now()); load.Running != 1 {
			t.Errorf("report after 1.1 s with a lag of 1 s: %+v", load)
		}
		if err := e.SetFaults(EngineFaults{SilenceStreams: true}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		select {
		case n := <-got:
			t.Errorf("the silenced stream ended after %d bytes", n)
		default:
		}
		short := chatBody(t, "short", `,"max_tokens":3`)
		if status, _, err := sendRequest(c, "POST", "/v1/chat/completions", short); status != 200 || err != nil {
			t.Errorf("new request beside silenced streams: %d %v", status, err)
		}
	})
}

// Guards against an engine that executes an order with an old fencing number, and
// against one that refuses it although RefuseOldFencing is off.
func TestEngineOrders(t *testing.T) {
	for _, refuse := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := NewEngine(EngineOptions{RefuseOldFencing: refuse})
			defer e.Close()
			c := serveInMemory(t, e)
			want := map[int]int{5: 200, 4: 200, 6: 200}
			if refuse {
				want[4] = 409
			}
			for _, number := range []int{5, 4, 6} {
				body := `{"model":"m","version":"` + strconv.Itoa(number) + `"}`
				began := time.Now()
				status, _, err := sendRequest(c, "POST", "/models/load", body, FencingHeader, strconv.Itoa(number))
				if err != nil || status != want[number] {
					t.Errorf("refuse %v: number %d: %d %v", refuse, number, status, err)
				}
				if status == 200 && time.Since(began) < DefaultOrderDuration {
					t.Error("the order took no time")
				}
			}
			served := strings.Join(e.Models(), " ")
			if strings.Contains(served, "m:4") == refuse || !strings.Contains(served, "m:6") {
				t.Errorf("refuse %v: models %s", refuse, served)
			}
			if n := len(e.Orders()); n != 3 {
				t.Errorf("%d orders in the log", n)
			}
		})
	}
}

// BenchmarkEngineStream measures the cost of the HTTP protocol per token with 64
// streams over loopback connections and steps far shorter than the defaults.
func BenchmarkEngineStream(b *testing.B) {
	e := NewEngine(EngineOptions{Model: EngineModelOptions{StepBase: time.Microsecond, StepPerSequence: 1}})
	server := httptest.NewServer(e)
	defer server.Close()
	defer e.Close()
	b.SetParallelism(64 / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			body := `{"model":"chat","messages":[{"role":"user"}],"max_tokens":1000,"ignore_eos":true,"stream":true}`
			resp, err := http.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(e.Stats().Tokens)/b.Elapsed().Seconds(), "tokens/s")
}

// Guards against a continued answer that differs from the uninterrupted one: after a
// cut at any character, the continuation must complete the same text.
func FuzzExpectedAnswer(f *testing.F) {
	f.Add([]byte(`{"messages":[{"role":"user","content":"hi"}],"max_tokens":9}`), 5)
	f.Add([]byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"ș"}]}],"ignore_eos":true}`), 70)
	f.Add([]byte(`{"messages":[{"role":"assistant","content":null}],"max_tokens":-1,"n":1}`), 0)
	f.Fuzz(func(t *testing.T, body []byte, cut int) {
		plan, err := newAnswerPlan(body)
		if err != nil || plan.request.ContinueFinalMessage || plan.request.IgnoreEOS || plan.finishReason != "stop" {
			return
		}
		want := expectedAnswer(t, string(body))
		cut = int(uint(cut) % uint(len(want)+1))
		request := plan.request
		text, err := json.Marshal(want[:cut])
		if err != nil || strings.ToValidUTF8(want[:cut], "") != want[:cut] {
			return
		}
		request.Messages = append(request.Messages, chatMessage{Role: "assistant", Content: text})
		request.ContinueFinalMessage = true
		continued, err := json.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		if rest := expectedAnswer(t, string(continued)); want[:cut]+rest != want {
			t.Errorf("cut at %d: %q + %q != %q", cut, want[:cut], rest, want)
		}
	})
}
