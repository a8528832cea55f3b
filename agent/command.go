package main

import "hickoryvane.example/core/launch"

const help = "the process beside one target of hickoryvane"

// commands is the table of commands.
var commands = []launch.Command{serveCommand, launch.VersionCommand("agent")}
