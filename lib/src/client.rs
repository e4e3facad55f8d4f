//! A caller's side: finds a daemon that answers, and resends safely.
//!
//! A request that needs a ticket gets one by itself. After a lost or unknown answer it is sent again
//! through the next host under the same ticket, so that it runs at most once. A request without a
//! ticket is idempotent, and is sent again only if its answer was lost or it was not run.

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

/// Shortest pause before a request is sent again, where the answer names none.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Sends that fit into the time of a query when each answer is lost.
const SENDS_PER_LIMIT: u32 = 3;
/// Time allowed to get a ticket from one host.
const TICKET_LIMIT: Duration = Duration::from_secs(1);

/// Why a query has no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No host is known.
    #[error("No daemon is named")]
    NoHosts,
    /// No host answered in time.
    #[error("No daemon answered within {limit:?}")]
    NoAnswer {
        /// The time allowed.
        limit: Duration,
        /// What went wrong last.
        #[source]
        last: Option<Box<HttpClientError>>,
    },
    /// A host answered something that does not parse.
    #[error("Answer of daemon {peer} does not parse")]
    Answer {
        /// The host.
        peer: SocketAddr,
        /// The cause.
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

/// What one send taught.
enum SendEnd {
    Answered(QueryAnswer),
    /// The host could not be reached, so that it has not run the request.
    Unreached(HttpClientError),
    /// The answer was lost; the request may have run.
    Lost(HttpClientError),
}

impl TierClient {
    /// Makes a client of these daemons; the first is asked first.
    pub fn new(hosts: Vec<SocketAddr>) -> Self {
        Self { hosts, http: HttpClient::default() }
    }

    /// Sends a query until it has a final answer or `limit` has passed.
    ///
    /// After a lost answer the outcome is never told as not run, whatever a later host says.
    pub async fn query(&self, mut req: QueryRequest, limit: Duration) -> Result<QueryAnswer> {
        if self.hosts.is_empty() {
            return Err(ClientError::NoHosts);
        }
        let began = Instant::now();
        let mut may_have_run = false;
        let mut best: Option<QueryAnswer> = None;
        let mut last_error = None;
        for n in 0.. {
            let remaining = limit.saturating_sub(began.elapsed());
            if remaining.is_zero() {
                break;
            }
            let host = self.hosts[n % self.hosts.len()];
            let mut pause = RESEND_PAUSE;
            match self.send(host, &req, remaining.min(limit / SENDS_PER_LIMIT)).await? {
                SendEnd::Answered(answer) => {
                    if needs_ticket(&answer) && req.ticket.is_none() {
                        req.ticket = self.ticket(host).await;
                        continue;
                    }
                    pause = resend_pause(&answer).max(RESEND_PAUSE);
                    may_have_run |= answer.outcome == OutcomeKind::Unknown;
                    if is_final(&answer, req.ticket.is_some()) {
                        return Ok(truthful(answer, may_have_run));
                    }
                    best = Some(answer);
                }
                SendEnd::Unreached(e) => last_error = Some(e),
                SendEnd::Lost(e) => {
                    may_have_run = true;
                    last_error = Some(e);
                }
            }
            tokio::time::sleep(pause.min(limit.saturating_sub(began.elapsed()))).await;
        }
        let no_answer = ClientError::NoAnswer { limit, last: last_error.map(Box::new) };
        best.map(|answer| truthful(answer, may_have_run)).ok_or(no_answer)
    }

    async fn send(&self, host: SocketAddr, req: &QueryRequest, limit: Duration) -> Result<SendEnd> {
        let body = serde_json::to_vec(req).expect("message types serialise");
        let call = HttpCall::post(host, QUERY_PATH, body.into(), limit);
        match self.http.call(call).await {
            Ok(reply) => {
                let answer = serde_json::from_slice(&reply.body);
                let answer = answer.map_err(|source| ClientError::Answer { peer: host, source });
                answer.map(SendEnd::Answered)
            }
            Err(e @ HttpClientError::Connect { .. }) => Ok(SendEnd::Unreached(e)),
            Err(e) => Ok(SendEnd::Lost(e)),
        }
    }

    async fn ticket(&self, host: SocketAddr) -> Option<String> {
        let call = HttpCall::post(host, TICKET_PATH, Bytes::new(), TICKET_LIMIT);
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

/// Whether another send cannot give a better answer. Without a ticket an unknown outcome is final:
/// the tier has spent the query's deadline on it.
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

fn truthful(answer: QueryAnswer, may_have_run: bool) -> QueryAnswer {
    if may_have_run && answer.outcome == OutcomeKind::NotRun {
        return QueryAnswer { outcome: OutcomeKind::Unknown, ..answer };
    }
    answer
}
