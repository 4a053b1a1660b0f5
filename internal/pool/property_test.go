package pool

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed gives the same result in every run; -rapid.seed explores others. Faults
// in the interleavings of owner, deputy and changes of epoch need more than the default
// 100 checks to show.
func init() {
	_ = flag.Set("rapid.seed", "20260102")
	_ = flag.Set("rapid.checks", "1500")
}

// Guards the cold limit and the uniqueness of permits under any interleaving of
// calls, lost holders, lost engines, late reports and changes of epoch.
func TestColdLimitUnderAnyInterleaving(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		anyAuthority := func() *State {
			states := []*State{w.owner, w.owner, w.deputy}
			for _, o := range w.formerStates {
				states = append(states, o.state)
			}
			return states[rapid.IntRange(0, len(states)-1).Draw(t, "authority")]
		}
		steps := map[string]func(){
			"acquire": func() { w.acquire(anyAuthority()) }, "decide": func() { w.decide(anyAuthority()) },
			"acquire-owner":  func() { w.acquire(w.owner); w.decide(w.owner) },
			"acquire-deputy": func() { w.acquire(w.deputy); w.decide(w.deputy) },
			"dispatch":       w.dispatch, "progress": w.progress, "finish": w.finish, "break": w.breakStream,
			"never-send": w.neverSend, "lose-holder": w.loseHolder, "report": w.takeReport,
			"deliver": w.deliverReport, "fresh-report": func() { w.takeReport(); w.deliverReport() },
			"crash": w.crash, "turn": w.toggleCold, "cancel": w.cancel, "epoch": w.changeEpoch, "register": w.register, "settle": w.finishReconciliation,
			"short": func() { w.advance(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond) },
			"long":  func() { w.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second) },
		}
		names := []string{
			"acquire", "acquire-owner", "acquire-owner", "acquire-deputy", "break", "cancel", "crash", "decide",
			"deliver", "dispatch", "dispatch", "epoch", "finish", "fresh-report", "fresh-report", "long",
			"lose-holder", "never-send", "progress", "progress", "register", "register", "report", "settle", "short", "short", "turn",
		}
		for range rapid.IntRange(100, 500).Draw(t, "steps") {
			steps[rapid.SampledFrom(names).Draw(t, "step")]()
		}
		total += w.grantCount
	})
	if total == 0 {
		t.Fatal("the interleavings granted nothing")
	}
	t.Log("grants checked:", total)
}
