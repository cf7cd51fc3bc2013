package main

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"foxtaildock.example/dock/platform"
	"foxtaildock.example/dock/telemetry"
)

const settingsText = `nodeName = "agent-0"
ip = "127.0.0.1"
zone = "north"
portRange = [7720, 7735]
[listen]
control = "127.0.0.1:8166"
[bounds]
graceS = 6
configApplyMs = 2000
holdMaxMs = 1000
graceStopMs = 50
retryMs = 1300
[platform]
address = "127.0.0.1:8169"
`

// A process that got SIGHUP before its role had begun to handle it was ended by it.
func TestAReloadDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settingsText), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, path)
	starting := func(context.Context, *platform.Settings, string, *telemetry.Logger) error {
		err := syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond) // the signal would end the process meanwhile
		return err
	}
	if code := runOnPlatform(t.Context(), telemetry.RoleAgent, starting); code != exitOK {
		t.Errorf("exit code %d, want %d", code, exitOK)
	}
}
