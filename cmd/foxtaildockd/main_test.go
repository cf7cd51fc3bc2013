package main

import (
	"syscall"
	"testing"
	"time"

	"foxtaildock.example/dock/platform"
	"foxtaildock.example/dock/telemetry"
)

// A process that got SIGHUP before its role had begun to handle it was ended by it. Here the
// role is never reached, since there is no settings file.
func TestAReloadDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	if code := runOnPlatform(t.Context(), telemetry.RoleAgent, nil); code != exitSettings {
		t.Fatalf("exit code %d without a settings file, want %d", code, exitSettings)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the signal would end the process meanwhile
}
