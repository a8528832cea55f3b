// Command standin is a program of hickoryvane.
package main

func main() {}
