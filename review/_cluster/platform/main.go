package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitSetup  = 2
)

// cases are the cases by name; each returns how often the rule was broken.
var cases = map[string]func(c *cluster, trouble bool) int{
	"stale-order": staleOrder,
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name: CASE BINARY RECORD.
func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cluster CASE BINARY RECORD")
		return exitSetup
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	}
	defer file.Close()
	record := &recorder{file: file, began: time.Now()}
	defer func() {
		switch failure := recover().(type) {
		case nil:
		case errSetup:
			record.printf("%s", failure.Error())
			fmt.Fprintln(os.Stderr, failure.Error())
			code = exitSetup
		default:
			panic(failure)
		}
	}()
	c := newCluster(os.Args[2], record)
	defer c.close()
	if broken := cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0"); broken > 0 {
		record.printf("the rule was broken %d times", broken)
		fmt.Println("broken")
		return exitBroken
	}
	record.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}
