//! Asks again while earlier calls are still out, and takes the first answer.

use std::future::Future;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

/// Pause before a further call is made beside those that are out.
const NEXT_CALL: Duration = Duration::from_millis(400);
/// Calls that are out at once.
const MAX_CALLS: usize = 4;

/// Makes calls until one is answered, or the last one has failed. A call that meets a silent peer
/// costs a short pause in place of its whole time limit.
pub async fn first_answer<T, E, F>(mut call: impl FnMut() -> F) -> Result<T, E>
where
    F: Future<Output = Result<T, E>>,
{
    let mut calls = FuturesUnordered::new();
    calls.push(call());
    let mut made = 1;
    loop {
        let may_call = made < MAX_CALLS;
        tokio::select! {
            result = calls.next() => match result {
                Some(Ok(answer)) => return Ok(answer),
                Some(Err(e)) if calls.is_empty() => return Err(e),
                _ => {}
            },
            () = tokio::time::sleep(NEXT_CALL), if may_call => {
                made += 1;
                calls.push(call());
            }
        }
    }
}
