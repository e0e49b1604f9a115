//! The table's lines, and the table of this machine.

use std::io::Write as _;
use std::net::{TcpListener, TcpStream};

use super::*;

#[test]
fn table_lines_give_both_ends_and_what_is_not_acknowledged() {
    let table = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid\n   \
                 0: 0100007F:1F90 0100007F:C350 04 000000FF:00000001 01:00000014 00000000     0\n   \
                 1: nonsense\n";
    let ends = ("127.0.0.1:8080".parse().expect("one"), "127.0.0.1:50000".parse().expect("one"));
    // Addresses stand in the order of this machine's bytes.
    let is_big = cfg!(target_endian = "big");
    let table = if is_big { table.replace("0100007F", "7F000001") } else { table.to_owned() };
    assert_eq!(parse_table(table.as_bytes(), 8080).expect("lines"), HashMap::from([(ends, 255)]));
    assert!(parse_table(table.as_bytes(), 8081).expect("lines").is_empty(), "another port");
}

/// A megabyte that nobody reads stays unacknowledged, and a few bytes do not.
#[test]
fn unread_bytes_past_the_peers_buffer_are_pending() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let delivery_of = |bytes: usize| {
        let mut client = TcpStream::connect(listener.local_addr().expect("one")).expect("it listens");
        let (held, _) = listener.accept().expect("a client");
        client.set_nonblocking(true).expect("a socket");
        let _ = client.write(&vec![0; bytes]);
        std::thread::sleep(MIN_TABLE_AGE * 2);
        let ends = (client.local_addr().expect("one"), client.peer_addr().expect("one"));
        let delivery = SocketTable::default().delivery(ends.0, ends.1);
        drop(held);
        delivery
    };
    assert_eq!([delivery_of(8), delivery_of(8 * 1024 * 1024)], [Delivery::Complete, Delivery::Pending]);
}
