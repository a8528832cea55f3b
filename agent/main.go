// Command agent is a program of hickoryvane.
package main

func main() {}
