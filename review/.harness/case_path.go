package main

import "fmt"

func init() { cases["path"] = path }

// path sends requests whose paths hold the name of an object. With TROUBLE=0 the names
// need no escapes.
func path(d *deployment) (int, string) {
	front, _ := d.startSmall(2)
	servers := []*server{d.startServer("i-a1", "app"), d.startServer("i-a2", "app")}
	d.store.put("op/config", manifest(1, []tenant{{Name: "office", Keys: []string{"key-office-1"}, Rate: 171, Burst: 171}}))
	d.awaitReady(front)
	objects := []string{"7", "north-12", "a+b", "x:1"}
	if d.trouble {
		objects = []string{"north%2F12", "caf%c3%a9", "north//12", "a%7Eb"}
	}
	sent := map[string]string{}
	for i, prefix := range []string{"/once/", "/safe/"} {
		for j, object := range objects {
			id := fmt.Sprintf("path-%d-%d", i, j)
			sent[id] = prefix + object
			if a := d.send(front[j%len(front)], request{id: id, method: "POST", path: prefix + object, key: "key-office-1", body: "x"}); a.status == 0 {
				cannotRun("no answer")
			}
		}
	}
	changed, ran := 0, 0
	for _, r := range allRuns(servers...) {
		ran++
		if r.uri != sent[r.id] {
			changed++
			d.record("changed  %s: sent with path %s, ran with path %s", r.id, sent[r.id], r.uri)
		}
	}
	text := fmt.Sprintf("%d of %d requests ran with another path than the client sent", changed, ran)
	if changed > 0 {
		return broken, "UNASKED broken: " + text
	}
	return held, "UNASKED held: " + text
}
