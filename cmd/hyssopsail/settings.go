package main

import "github.com/alecthomas/kingpin/v2"

func addSettings(a *app, parser *kingpin.Application) {
	group := parser.Command("settings", "Check, change and show the shared settings: the subtree \"fleet\" and one subtree \"teams/NAME\" for each team.")
	addSettingsCheck(a, group)
	addSettingsApply(a, group)
	addSettingsGet(a, group)
	addSettingsDiff(a, group)
	addSettingsHistory(a, group)
	addSettingsRollback(a, group)
	addSettingsRemove(a, group)
}
