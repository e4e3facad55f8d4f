//! Builds the answers to opaque requests from the outcomes of their queries.

use std::time::Duration;

use hyper::StatusCode;

use crate::answer::OutcomeKind;
use crate::answer::Reason;
use crate::catalogue::Class;
use crate::opaque::LeafResponse;
use crate::opaque::LocalAnswer;
use crate::opaque::MergedAnswer;
use crate::opaque::OpaqueAnswer;
use crate::opaque_catalogue::OpaqueEntry;
use crate::opaque_catalogue::Target;
use crate::query_outcome::Outcome;
use crate::records;
use crate::retry_after;
use crate::retry_after::LOST_LEAFS_RETRY;
use crate::retry_after::OTHER_HOST_RETRY;

/// Returns the refusal of a request for which no leaf can be reached.
pub(crate) fn unreachable_refusal() -> LocalAnswer {
    LocalAnswer::refused(with_jitter(LOST_LEAFS_RETRY), "No leaf can be reached")
}

/// Returns the refusal of a request that cannot end before the process does.
pub(crate) fn shutdown_refusal() -> LocalAnswer {
    LocalAnswer::refused(with_jitter(OTHER_HOST_RETRY), "The process is shutting down")
}

/// Returns the HTTP status of an answer.
pub(crate) fn answer_status(answer: &OpaqueAnswer) -> StatusCode {
    match answer {
        OpaqueAnswer::PassedThrough(response) => response.status,
        OpaqueAnswer::Merged(_) => StatusCode::OK,
        OpaqueAnswer::Local(local) => local.status,
    }
}

/// Builds the answer of a query that has ended.
pub(crate) fn build_answer(
    opaque_entry: &OpaqueEntry,
    outcome: Outcome<LeafResponse>,
) -> OpaqueAnswer {
    let is_merged = matches!(opaque_entry.target, Target::All(_));
    match outcome.kind {
        OutcomeKind::Complete | OutcomeKind::Partial if is_merged => {
            merged_answer(opaque_entry, outcome)
        }
        OutcomeKind::Complete | OutcomeKind::Partial => {
            let part = outcome.parts.into_iter().next();
            part.map_or_else(unanswered_response, |(_, response)| {
                OpaqueAnswer::PassedThrough(response)
            })
        }
        OutcomeKind::NotRun => OpaqueAnswer::Local(refusal_of(&outcome, opaque_entry.entry.class)),
        OutcomeKind::Unknown => match outcome.failure {
            Some(failure) if !is_merged => OpaqueAnswer::PassedThrough(failure),
            _ if outcome.reason == Reason::DeadlineExceeded => {
                let message = "No answer came in time";
                OpaqueAnswer::Local(LocalAnswer::new(StatusCode::GATEWAY_TIMEOUT, message))
            }
            _ => unanswered_response(),
        },
    }
}

/// Returns the answer of a request that may have run and was not answered.
pub(crate) fn unanswered_response() -> OpaqueAnswer {
    let message = "Too few leafs answered; the request may have run";
    OpaqueAnswer::Local(LocalAnswer::new(StatusCode::BAD_GATEWAY, message))
}

/// Merges the records of the parts.
fn merged_answer(opaque_entry: &OpaqueEntry, outcome: Outcome<LeafResponse>) -> OpaqueAnswer {
    let bodies = outcome.parts.iter().map(|(_, response)| &response.body);
    let records = records::merge_greatest(bodies, opaque_entry.top);
    let missing = outcome.shards - outcome.parts.len();
    let signatures = outcome.parts.into_iter().filter_map(|(_, r)| r.signature).collect();
    OpaqueAnswer::Merged(MergedAnswer { records, signatures, missing })
}

/// Returns the refusal of a request that has not run, with the time after which a resend may
/// succeed.
fn refusal_of(outcome: &Outcome<LeafResponse>, class: Class) -> LocalAnswer {
    match outcome.reason {
        Reason::Overloaded => {
            let wait = outcome.excess_wait.unwrap_or(LOST_LEAFS_RETRY);
            let wait = retry_after::retry_when_taken(wait, class, &mut rand::rng());
            LocalAnswer::refused(wait, "The leafs cannot take the request at present")
        }
        Reason::DeadlineExceeded => {
            LocalAnswer::refused(with_jitter(OTHER_HOST_RETRY), "No leaf could be reached in time")
        }
        Reason::NotReady => shutdown_refusal(),
        _ => LocalAnswer::refused(with_jitter(LOST_LEAFS_RETRY), "Too few leafs can be reached"),
    }
}

/// Returns a retry-after time with random jitter.
pub(crate) fn with_jitter(wait: Duration) -> Duration {
    retry_after::with_jitter(wait, &mut rand::rng())
}
