//! Hosts and clients are replaced thousands of times: the data of those that are gone has to be
//! freed, so that memory stops growing. This covers the tables by host, by connection, by id and by
//! key.

#[path = "../../tests/common/mod.rs"]
mod common;

use common::*;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
/// The number of hosts in each list; the next list replaces all of them.
const HOSTS: usize = 24;
/// The number of lists after the first one.
const LISTS: usize = 160;
/// The number of lists after which memory has reached what the present hosts, clients and keys
/// need.
const SETTLED: usize = 40;

#[test]
fn memory_does_not_grow_with_replaced_hosts_and_clients() {
    let host = Peer::host(|_| hit("v"));
    let discovery = Discovery::start();
    let hosts = |round: usize| -> Vec<String> {
        (0..HOSTS).map(|nth| entry(&format!("h{round}-{nth}"), host.address, "active")).collect()
    };
    let program = Program::start(BINARY, discovery.peer.address, &hosts(0), 256);
    let mut settled = (0, 0);

    for round in 1..=LISTS {
        let mut clients: Vec<Client> = (0..12).map(|_| program.client()).collect();
        for (nth, client) in clients.iter_mut().enumerate() {
            let (key, id) = (format!("k{round}-{nth}"), format!("id{round}-{nth}"));
            assert_eq!(client.command(&["CACHE.GET", &key, &id, "c=read,d=2000"]), "v");
        }
        drop(clients);
        discovery.publish(&hosts(round));
        // The balancer's next call shows that it has read this list.
        while !discovery.peer.next().contains(&format!("from={}&", round + 1)) {}
        if round == SETTLED {
            settled = (program.memory_kb(), program.descriptors());
        }
    }

    let released = ((LISTS - 1) * HOSTS) as u64;
    program.wait_for_counter("hosts_released", released);
    let (memory, descriptors) = (program.memory_kb(), program.descriptors());
    assert!(memory <= settled.0 + 1_024, "{} kB after {SETTLED} lists, {memory} kB at the end", settled.0);
    assert!(descriptors <= settled.1 + HOSTS, "{} descriptors, then {descriptors}", settled.1);
}
