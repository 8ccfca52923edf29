package telemetry

import "runtime/debug"

// version is set at link time with -X; if empty, the build information is used.
var version string

const shortRevisionLength = 12

// Version returns the build version: the one set at link time, the VCS revision,
// with "-modified" for a changed working copy, or the module version, in this order.
// Without any of them it returns "unknown".
func Version() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return versionFromBuildInfo(info)
}

func versionFromBuildInfo(info *debug.BuildInfo) string {
	revision, modified := "", ""
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
		if setting.Key == "vcs.modified" && setting.Value == "true" {
			modified = "-modified"
		}
	}
	if revision != "" {
		return revision[:min(len(revision), shortRevisionLength)] + modified
	}
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	return "unknown"
}
