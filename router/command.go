package main

import "hickoryvane.example/core/launch"

const help = "the process between callers and agents of hickoryvane"

var commands = []launch.Command{serveCommand, launch.VersionCommand("router")}
