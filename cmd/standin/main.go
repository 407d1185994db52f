// Command standin runs one stand-in of the platform or of an endpoint.
package main

func main() {
}
