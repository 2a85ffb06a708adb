package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["budget"] = budget }

const (
	programs      = 45
	programBudget = 300
	turnTokens    = eventsPerTurn * tokensPerEvent
)

func budget(d *deployment) (int, string) {
	front, keepers := d.startSmall(2)
	for i := range 3 {
		d.startServer(fmt.Sprint("i-p", i), "pool")
	}
	d.store.put("op/config", manifest(1, []tenant{{Name: "office", Keys: []string{"key-office-1"}, Rate: 171, Burst: 171}}))
	d.awaitReady(front)
	var mu sync.Mutex
	handed := map[string]int{} // tokens that clients got
	n := 0
	turn := func(program string) int {
		mu.Lock()
		n++
		id, m := fmt.Sprintf("%s-t%d", program, n), front[n%len(front)]
		mu.Unlock()
		a := d.send(m, request{id: id, method: "POST", path: "/stream/turn", key: "key-office-1", body: "x", deadline: 3 * time.Second, headers: [][2]string{
			{"Model", "m"}, {"Token-Usage", fmt.Sprintf("100,%d", turnTokens)}, {"Token-Budget", fmt.Sprint(programBudget)}, {"Program-Id", program}, {"Session-Id", program}, {"Finish-Ms", "60000"},
		}})
		if a.status == 200 {
			mu.Lock()
			handed[program] += strings.Count(a.body, "id: ") * tokensPerEvent
			mu.Unlock()
		}
		return a.status
	}
	all := func(f func(program string)) {
		var wg sync.WaitGroup
		for i := range programs {
			wg.Go(func() { f(fmt.Sprint("program-", i)) })
			time.Sleep(12 * time.Millisecond)
		}
		wg.Wait()
	}
	// Other programs come all the while.
	go func() {
		for i := 0; ; i++ {
			go turn(fmt.Sprint("other-", i))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(14 * time.Second)
	for range 2 {
		done := make(chan struct{})
		go func() { all(func(p string) { turn(p) }); close(done) }()
		time.Sleep(programs*12*time.Millisecond + 30*time.Millisecond)
		if d.trouble {
			for _, k := range keepers {
				_ = k.command.Process.Kill()
			}
			for _, k := range keepers {
				k.kill()
			}
			time.Sleep(500 * time.Millisecond)
			for _, k := range keepers {
				k.start()
			}
		}
		<-done
		time.Sleep(16 * time.Second) // the programs pause
	}
	all(func(p string) {
		for range 60 {
			switch turn(p) {
			case 402:
				return
			case 200:
			default:
				time.Sleep(200 * time.Millisecond)
			}
		}
	})
	most, over := 0, 0
	for _, t := range handed {
		most = max(most, t)
		if t > programBudget+turnTokens {
			over++
		}
	}
	text := fmt.Sprintf("%d of %d programs got more than the %d tokens of their budget and one turn; the most is %d", over, programs, programBudget+turnTokens, most)
	if over > 0 {
		return broken, "BUDGET broken: " + text
	}
	return held, "BUDGET held: " + text
}
