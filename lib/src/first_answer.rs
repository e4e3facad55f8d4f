//! Repeats a call while earlier attempts are still in progress and returns the first success.

use std::future::Future;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

/// Pause between the last start or failure of a call and the start of a further one beside those in
/// progress.
const CALL_INTERVAL: Duration = Duration::from_millis(400);
/// Largest number of calls made for one answer.
const MAX_CALLS: usize = 4;

/// Starts `call` up to four times, at least 0.4 s apart, and returns the first success. Returns an
/// error when a call fails and no other is in progress. A peer that does not reply thus costs a
/// short delay instead of the whole timeout of one call.
pub async fn first_answer<T, E, F>(mut call: impl FnMut() -> F) -> Result<T, E>
where
    F: Future<Output = Result<T, E>>,
{
    let mut calls = FuturesUnordered::new();
    calls.push(call());
    let mut started = 1;
    loop {
        let may_call = started < MAX_CALLS;
        tokio::select! {
            result = calls.next() => match result {
                Some(Ok(answer)) => return Ok(answer),
                Some(Err(e)) if calls.is_empty() => return Err(e),
                _ => {}
            },
            () = tokio::time::sleep(CALL_INTERVAL), if may_call => {
                started += 1;
                calls.push(call());
            }
        }
    }
}
