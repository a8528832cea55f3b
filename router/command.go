package main

import "hickoryvane.example/core/launch"

const help = "the process between callers and agents of hickoryvane"

// commands is the table of commands.
var commands = []launch.Command{serveCommand, launch.VersionCommand("router")}
