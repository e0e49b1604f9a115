//! Parsing of table lines, and readings of this machine's table.

use std::io::Write as _;
use std::net::{TcpListener, TcpStream};

use super::*;

#[test]
fn table_lines_give_both_addresses_and_unacknowledged_bytes() {
    let table = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid\n   \
                 0: 0100007F:1F90 0100007F:C350 04 000000FF:00000001 01:00000014 00000000     0\n   \
                 1: nonsense\n";
    let addresses =
        ("127.0.0.1:8080".parse().expect("an address"), "127.0.0.1:50000".parse().expect("an address"));
    // The IP addresses are in this machine's byte order.
    let is_big = cfg!(target_endian = "big");
    let table = if is_big { table.replace("0100007F", "7F000001") } else { table.to_owned() };
    assert_eq!(parse_table(table.as_bytes(), 8080).expect("a table"), HashMap::from([(addresses, 255)]));
    assert!(parse_table(table.as_bytes(), 8081).expect("a table").is_empty(), "another port");
}

/// Of 8 MiB that the peer does not read, some stay unacknowledged; a few unread bytes are
/// acknowledged.
#[test]
fn unread_bytes_past_the_peers_buffer_are_pending() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let delivery_of = |bytes: usize| {
        let address = listener.local_addr().expect("an address");
        let mut client = TcpStream::connect(address).expect("a listening socket");
        let (accepted, _) = listener.accept().expect("a client");
        client.set_nonblocking(true).expect("a socket");
        let _ = client.write(&vec![0; bytes]);
        std::thread::sleep(MIN_REUSE_TIME * 2);
        let local = client.local_addr().expect("an address");
        let remote = client.peer_addr().expect("an address");
        let delivery = SocketTable::default().delivery(local, remote);
        drop(accepted);
        delivery
    };
    assert_eq!([delivery_of(8), delivery_of(8 * 1024 * 1024)], [Delivery::Complete, Delivery::Pending]);
}
