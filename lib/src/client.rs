//! Client of the query tier: finds a daemon that answers, and resends requests safely.
//!
//! The client obtains a ticket for a request that needs one. After a lost answer or an unknown
//! outcome, the request is resent to the next host under the same ticket, so that it runs at most
//! once. A request for which the tier requires no ticket is idempotent. It is resent only if its
//! answer was lost, or if it was not run for a reason that may be temporary or concern one daemon
//! only.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use thiserror::Error;

use crate::answer::OutcomeKind;
use crate::answer::QueryAnswer;
use crate::answer::QueryRequest;
use crate::answer::Reason;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientError;
use crate::server::QUERY_PATH;
use crate::server::TICKET_PATH;
use crate::server::TicketAnswer;

/// Shortest pause before a resend; longer if the answer has a longer retry-after time. There is no
/// pause before a resend that follows a request for a ticket.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Number of sends that fit into the time limit of a query if each answer is lost.
const SENDS_PER_QUERY: u32 = 3;
/// Timeout of the request to one daemon for a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_secs(1);

/// Reasons for which a query has no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The client was created without daemons.
    #[error("No daemon address was given")]
    NoHosts,
    /// No daemon answered within the time limit.
    #[error("No daemon answered within {limit:?}")]
    NoAnswer {
        /// Time that was allowed.
        limit: Duration,
        /// Cause of the last failed send.
        #[source]
        last: Option<Box<HttpClientError>>,
    },
    /// A daemon's answer is not JSON of the expected form.
    #[error("Answer of daemon {peer} is not JSON of the expected form")]
    Answer {
        /// Address of the daemon.
        peer: SocketAddr,
        /// Cause of the failure.
        #[source]
        source: serde_json::Error,
    },
}

/// Result of a query.
pub type Result<T> = std::result::Result<T, ClientError>;

/// Sends queries to any of several daemons.
#[derive(Clone, Debug)]
pub struct TierClient {
    hosts: Vec<SocketAddr>,
    http: HttpClient,
}

/// Result of one send.
enum SendResult {
    Answered(QueryAnswer),
    /// The daemon could not be reached, so it has not run the request.
    NotSent(HttpClientError),
    /// The answer was lost; the request may have run.
    Lost(HttpClientError),
}

impl TierClient {
    /// Creates a client of these daemons, which are tried in this order.
    pub fn new(hosts: Vec<SocketAddr>) -> Self {
        Self { hosts, http: HttpClient::default() }
    }

    /// Sends a query, repeatedly if needed, until it has a final answer or `limit` has passed.
    ///
    /// After a lost answer or an unknown outcome, the outcome is never reported as not run,
    /// whatever a later daemon answers. If no answer is final, returns the last one. Returns an
    /// error if there is no daemon, none answered, or an answer is not JSON of the expected form.
    pub async fn query(&self, mut req: QueryRequest, limit: Duration) -> Result<QueryAnswer> {
        if self.hosts.is_empty() {
            return Err(ClientError::NoHosts);
        }
        let started_at = Instant::now();
        let mut may_have_run = false;
        let mut last_answer: Option<QueryAnswer> = None;
        let mut last_error = None;
        for n in 0.. {
            let remaining = limit.saturating_sub(started_at.elapsed());
            if remaining.is_zero() {
                break;
            }
            let host = self.hosts[n % self.hosts.len()];
            let mut pause = RESEND_PAUSE;
            match self.send(host, &req, remaining.min(limit / SENDS_PER_QUERY)).await? {
                SendResult::Answered(answer) => {
                    if needs_ticket(&answer) && req.ticket.is_none() {
                        req.ticket = self.request_ticket(host).await;
                        continue;
                    }
                    pause = resend_pause(&answer).max(RESEND_PAUSE);
                    may_have_run |= answer.outcome == OutcomeKind::Unknown;
                    if is_final(&answer, req.ticket.is_some()) {
                        return Ok(with_corrected_outcome(answer, may_have_run));
                    }
                    last_answer = Some(answer);
                }
                SendResult::NotSent(e) => last_error = Some(e),
                SendResult::Lost(e) => {
                    may_have_run = true;
                    last_error = Some(e);
                }
            }
            tokio::time::sleep(pause.min(limit.saturating_sub(started_at.elapsed()))).await;
        }
        let no_answer = ClientError::NoAnswer { limit, last: last_error.map(Box::new) };
        last_answer.map(|answer| with_corrected_outcome(answer, may_have_run)).ok_or(no_answer)
    }

    async fn send(
        &self,
        host: SocketAddr,
        req: &QueryRequest,
        limit: Duration,
    ) -> Result<SendResult> {
        let body = serde_json::to_vec(req).expect("message types serialise");
        let call = HttpCall::post(host, QUERY_PATH, body.into(), limit);
        match self.http.call(call).await {
            Ok(reply) => {
                let answer = serde_json::from_slice(&reply.body);
                let answer = answer.map_err(|source| ClientError::Answer { peer: host, source });
                answer.map(SendResult::Answered)
            }
            Err(e @ HttpClientError::Connect { .. }) => Ok(SendResult::NotSent(e)),
            Err(e) => Ok(SendResult::Lost(e)),
        }
    }

    async fn request_ticket(&self, host: SocketAddr) -> Option<String> {
        let call = HttpCall::post(host, TICKET_PATH, Bytes::new(), TICKET_TIMEOUT);
        let reply = self.http.call(call).await.ok().filter(|reply| reply.status == 200)?;
        serde_json::from_slice::<TicketAnswer>(&reply.body).ok().map(|answer| answer.ticket)
    }
}

fn needs_ticket(answer: &QueryAnswer) -> bool {
    answer.refusal.as_ref().is_some_and(|refusal| refusal.reason == Reason::TicketRequired)
}

fn resend_pause(answer: &QueryAnswer) -> Duration {
    answer.refusal.as_ref().and_then(|refusal| refusal.retry_after).unwrap_or_default()
}

/// Returns whether a resend cannot give a better answer. Without a ticket an unknown outcome is
/// final: the tier has already used up the query's deadline.
fn is_final(answer: &QueryAnswer, has_ticket: bool) -> bool {
    let reason = answer.refusal.as_ref().map(|refusal| refusal.reason);
    match answer.outcome {
        OutcomeKind::Complete | OutcomeKind::Partial => true,
        OutcomeKind::Unknown => !has_ticket,
        OutcomeKind::NotRun => !matches!(
            reason,
            Some(Reason::NotReady | Reason::Overloaded | Reason::NoIndex | Reason::TicketRequired)
        ),
    }
}

/// Reports a query that may have run as unknown rather than not run.
fn with_corrected_outcome(answer: QueryAnswer, may_have_run: bool) -> QueryAnswer {
    if may_have_run && answer.outcome == OutcomeKind::NotRun {
        return QueryAnswer { outcome: OutcomeKind::Unknown, ..answer };
    }
    answer
}
