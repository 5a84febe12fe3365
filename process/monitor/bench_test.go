package monitor_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/monitor"
)

const benchTargets = 90

// update returns the load update of a host that has requests at every target.
func update(host int, sequence uint64) mulberrybeam.LoadUpdate {
	update := mulberrybeam.LoadUpdate{From: mulberrybeam.ProcessID(fmt.Sprint("h", host)), Sequence: sequence}
	for i := range benchTargets {
		update.Targets = append(update.Targets, mulberrybeam.SharedLoad{
			Target: targetID(i), Load: mulberrybeam.TargetLoad{Requests: 1, PrefillTokens: 100, HeldTokens: 1000},
		})
	}
	return update
}

func targetID(at int) mulberrybeam.InstanceID { return mulberrybeam.InstanceID(fmt.Sprint("t", at)) }

// BenchmarkReadAllTargets measures what one choice reads: the statistics of 90
// targets. The cost must not grow with the number of hosts, and reads of other
// requests and the datagrams of peers must not wait for each other.
func BenchmarkReadAllTargets(b *testing.B) {
	for _, hosts := range []int{30, 110, 380} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			start := time.Now()
			m := monitor.New(func() time.Duration { return time.Since(start) })
			updates := make([]mulberrybeam.LoadUpdate, hosts)
			for host := range hosts {
				updates[host] = update(host, 1)
				m.ReceiveUpdate(updates[host])
			}
			ids := make([]mulberrybeam.InstanceID, benchTargets)
			for i := range ids {
				ids[i] = targetID(i)
				m.Reserve(ids[i], mulberrybeam.TargetLoad{Requests: 1}, 0)
			}
			stopped := make(chan struct{})
			var sender sync.WaitGroup
			sender.Go(func() { sendDatagrams(m, updates, stopped) })
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					for _, id := range ids {
						m.TargetStats(id)
					}
				}
			})
			b.StopTimer()
			close(stopped)
			sender.Wait()
		})
	}
}

// sendDatagrams delivers datagrams at the rate at which a host receives them in a
// large fleet, 250 a second, until stopped is closed.
func sendDatagrams(m *monitor.Monitor, updates []mulberrybeam.LoadUpdate, stopped <-chan struct{}) {
	ticker := time.NewTicker(4 * time.Millisecond)
	defer ticker.Stop()
	for sent := 1; ; sent++ {
		select {
		case <-stopped:
			return
		case <-ticker.C:
		}
		next := updates[sent%len(updates)]
		next.Sequence += uint64(sent)
		m.ReceiveUpdate(next)
	}
}

// BenchmarkReceiveUpdate measures the cost of a datagram that changes the load of 90
// targets.
func BenchmarkReceiveUpdate(b *testing.B) {
	for _, hosts := range []int{30, 110, 380} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			m := monitor.New(func() time.Duration { return time.Second })
			updates := make([]mulberrybeam.LoadUpdate, 2*hosts)
			for i := range updates {
				updates[i] = update(i%hosts, 1)
				for at := range updates[i].Targets {
					updates[i].Targets[at].Load.Requests += i / hosts
				}
				m.ReceiveUpdate(updates[i])
			}
			b.ResetTimer()
			for i := range b.N {
				next := updates[i%len(updates)]
				next.Sequence = uint64(i + 2)
				m.ReceiveUpdate(next)
			}
		})
	}
}
