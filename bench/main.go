// Command bench is a program of hickoryvane.
package main

func main() {}
