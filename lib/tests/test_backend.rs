//! Classification of errors of calls to leafs.

use std::io;

use jasmineusher_lib::backend::BackendError;

fn connect_error(kind: io::ErrorKind) -> BackendError {
    BackendError::Connect { peer: "10.0.0.1:80".parse().unwrap(), source: kind.into() }
}

/// All hosts restart after a power failure, while the leafs still count the hosts' former
/// connections and reset new ones. A leaf at its connection limit must not be treated like one
/// whose process has ended.
#[test]
fn reset_of_a_new_connection_indicates_a_connection_limit_and_not_a_stopped_leaf() {
    let reset = connect_error(io::ErrorKind::ConnectionReset);
    assert!(reset.shows_connection_overflow() && reset.proves_not_sent() && !reset.is_refused());
    let refused = connect_error(io::ErrorKind::ConnectionRefused);
    assert!(
        refused.is_refused() && refused.proves_not_sent() && !refused.shows_connection_overflow()
    );
}
