package cluster_test

import (
	"path/filepath"
	"testing"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/dock/settings"
)

func TestSettingsPassTheDaemonsCheck(t *testing.T) {
	dir := t.TempDir()
	c, err := cluster.New(cluster.Spec{Dir: dir, Entries: 2, Agents: 3})
	if err != nil {
		t.Fatal(err)
	}
	entry, err := settings.LoadEntry(filepath.Join(dir, "entry-2.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if got := entry.Listen.Callers.String(); got != c.Entries[1].Callers {
		t.Errorf("callers = %s, want %s", got, c.Entries[1].Callers)
	}
	agent, err := settings.LoadAgent(filepath.Join(dir, "agent-3.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if agent.Process.FailureDomain != "sundsvall" {
		t.Errorf("failure domain = %s, want sundsvall", agent.Process.FailureDomain)
	}
}
