// Command foxtaildock is part of foxtaildock, a dispatcher for sub-second tasks.
package main

func main() {}
