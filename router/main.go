// Command router is a program of hickoryvane.
package main

func main() {}
