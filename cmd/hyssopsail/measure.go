package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hyssopsail/hyssopsail/internal/load"
	"github.com/hyssopsail/hyssopsail/internal/report"
)

func addLoad(a *app, parser *kingpin.Application) { load.Register(parser, a.out) }

func addReport(a *app, parser *kingpin.Application) { report.Register(parser, a.out) }
