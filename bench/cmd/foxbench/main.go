// Command foxbench drives foxtaildock on stand-ins: demo, proofs, measurements.
package main

func main() {}
