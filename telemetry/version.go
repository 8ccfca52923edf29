package telemetry

import "runtime/debug"

// version is set at link time with -X; empty means the build information.
var version string

const shortRevision = 12

// Version returns the build version: the linked one, the module version, or
// the revision, with "-modified" for a changed working copy. Without any it is
// "unknown".
func Version() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return fromBuildInfo(info)
}

func fromBuildInfo(info *debug.BuildInfo) string {
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
		return revision[:min(len(revision), shortRevision)] + modified
	}
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	return "unknown"
}
