// Command geraniumline runs an entry and carries the operator's commands.
package main

func main() {
}
