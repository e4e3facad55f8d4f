//! What errors of calls to leafs show.

use std::io;

use jasmineusher_lib::backend::BackendError;

fn connect_error(kind: io::ErrorKind) -> BackendError {
    BackendError::Connect { peer: "10.0.0.1:80".parse().unwrap(), source: kind.into() }
}

/// All hosts come back after a loss of power, while the leafs still count their former connections.
#[test]
fn connection_that_is_reset_at_once_shows_a_leaf_with_too_many_and_not_a_dead_one() {
    let reset = connect_error(io::ErrorKind::ConnectionReset);
    assert!(reset.shows_overflow() && reset.proves_not_sent() && !reset.is_refused());
    let refused = connect_error(io::ErrorKind::ConnectionRefused);
    assert!(refused.is_refused() && refused.proves_not_sent() && !refused.shows_overflow());
}
