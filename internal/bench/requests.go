package bench

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

// requestsFile returns the file that lists every attempt under one policy.
func requestsFile(dir, policy string) string {
	return filepath.Join(dir, "requests-"+policy+".csv")
}

// writeRequests writes one CSV line per attempt, for details that the results leave out.
func writeRequests(file string, attempts []Attempt) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("requests: %w", err)
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	w := csv.NewWriter(f)
	_ = w.Write([]string{"due_s", "workload", "caller", "vm", "latency_ms", "outcome", "reason", "covered", "result"})
	for i := range attempts {
		_ = w.Write(row(&attempts[i]))
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return fmt.Errorf("requests: %w", err)
	}
	return nil
}

func row(s *Attempt) []string {
	outcome, reason, covered, result := "no_reply", "", "", ""
	if s.Err != nil {
		reason = s.Err.Error()
	}
	if s.Reply != nil {
		outcome, reason, result = string(s.Reply.Outcome), s.Reply.Reason, s.Reply.Result
	}
	if s.Reply != nil && s.Reply.Coverage != nil {
		covered = strconv.Itoa(s.Reply.Coverage.ShardsCovered)
	}
	return []string{
		strconv.FormatFloat(s.Offset.Seconds(), 'f', 3, 64),
		s.Request.Workload, s.Request.Caller, s.VM,
		strconv.FormatFloat(s.End.Sub(s.Due).Seconds()*1000, 'f', 3, 64),
		outcome, reason, covered, result,
	}
}
