// Command burdocksaddle serves rarely used language models.
package main

func main() {}
