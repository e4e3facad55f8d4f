//! Tests of the choice of ports for stand-ins and daemons.

use std::net::TcpListener;

use jasmineusher_bench::bed::free_addr;

/// Guards against daemons that do not start as another process listens on their port.
#[test]
fn port_on_which_a_process_listens_is_passed_over() {
    let mut next = free_addr();
    next.set_port(next.port() + 1);
    let _listener = TcpListener::bind(next).expect("the port is free");
    assert_ne!(free_addr(), next);
}
