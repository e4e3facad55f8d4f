//! Runs requests with a ticket on the host that issued the ticket: this one, or another one to
//! which they are forwarded.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::answer::OutcomeKind;
use crate::answer::QueryAnswer;
use crate::answer::QueryRequest;
use crate::answer::Reason;
use crate::answer::Refusal;
use crate::daemon::Daemon;
use crate::error_text::with_sources;
use crate::exchange::ExchangeError;
use crate::exchange::check_addressee;
use crate::fingerprint::Fingerprint;
use crate::ids::EntryName;
use crate::lifecycle::Phase;
use crate::peer_protocol::FORWARD_PATH;
use crate::peer_protocol::ForwardReply;
use crate::peer_protocol::ForwardRequest;
use crate::peer_protocol::PROTOCOL_VERSION;
use crate::peer_protocol::ProtocolError;
use crate::peer_protocol::decode;
use crate::peer_protocol::encode;
use crate::ticket::Redemption;
use crate::ticket::Ticket;
use crate::ticket::TicketError;

/// Time beyond a query's deadline for which its outcome is awaited, here or from the issuer.
const FORWARD_GRACE: Duration = Duration::from_millis(500);
/// Retry-after time in the refusal of a process that takes no queries, and in the answer to a
/// request with a ticket whose outcome is unknown.
const ISSUER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Daemon {
    /// Issues a ticket and returns it as signed text.
    pub fn issue_ticket(&self, now: Instant) -> String {
        self.tier.counters.tickets_issued.increment();
        let ticket = self.tickets.lock().unwrap().issue(now);
        ticket.signed(&self.peers.keys)
    }

    /// Answers a request with the ticket `text`: runs it here if this incarnation issued the
    /// ticket, and forwards it to the issuer otherwise. `arrived` is when the request was received.
    pub async fn answer_ticketed(
        self: &Arc<Self>,
        req: &QueryRequest,
        text: &str,
        arrived: Instant,
    ) -> QueryAnswer {
        let ticket = match Ticket::verified(text, &self.peers.keys) {
            Ok(ticket) => ticket,
            Err(e) => return ticket_error_answer(&e),
        };
        let is_own = self.tickets.lock().unwrap().is_own(&ticket);
        if is_own {
            self.run_as_issuer(req, ticket, arrived).await
        } else {
            self.forward(req, &ticket, arrived).await
        }
    }

    async fn run_as_issuer(
        self: &Arc<Self>,
        req: &QueryRequest,
        ticket: Ticket,
        arrived: Instant,
    ) -> QueryAnswer {
        let entry = EntryName::try_from(req.entry.as_str());
        let Ok(entry) = entry else { return ticket_error_answer(&TicketError::Syntax) };
        let fingerprint = Fingerprint::of(&entry, req.params.get());
        let redeemed = self.tickets.lock().unwrap().redeem(&ticket, fingerprint, Instant::now());
        match redeemed {
            Ok(Redemption::Run) => self.run_detached(req, ticket, arrived).await,
            Ok(Redemption::Wait(mut outcome)) => {
                self.tier.counters.tickets_repeated.increment();
                let limit = self.entry_deadline(req) + FORWARD_GRACE;
                let finished = tokio::time::timeout(limit, outcome.wait_for(Option::is_some)).await;
                let finished = finished.ok().and_then(|result| result.ok()).and_then(|o| o.clone());
                match finished {
                    Some(answer) => (*answer).clone(),
                    None => unknown_outcome(
                        Reason::DeadlineExceeded,
                        "Run of the ticket has no outcome yet",
                    ),
                }
            }
            Err(e) => ticket_error_answer(&e),
        }
    }

    /// Runs the request in a task of its own, so that the run goes on and its outcome is recorded
    /// even if the caller closes its connection.
    async fn run_detached(
        self: &Arc<Self>,
        req: &QueryRequest,
        ticket: Ticket,
        arrived: Instant,
    ) -> QueryAnswer {
        let (daemon, req) = (self.clone(), req.clone());
        let run = tokio::spawn(async move {
            let answer = match daemon.lifecycle.begin_request(Instant::now()) {
                Ok(_in_progress) => {
                    daemon.tier.counters.tickets_run.increment();
                    daemon.coordinator().answer(&req, arrived, std::future::pending()).await
                }
                Err(phase) => daemon.not_ready(phase).into(),
            };
            daemon.tickets.lock().unwrap().record_outcome(&ticket, &answer);
            answer
        });
        match run.await {
            Ok(answer) => answer,
            Err(_) => unknown_outcome(Reason::DeadlineExceeded, "Run of the ticket broke off"),
        }
    }

    fn entry_deadline(&self, req: &QueryRequest) -> Duration {
        let view = self.tier.view();
        let entry = view.catalogue.entry(&req.entry);
        entry.map_or(Duration::ZERO, |entry| entry.deadline)
    }

    async fn forward(&self, req: &QueryRequest, ticket: &Ticket, arrived: Instant) -> QueryAnswer {
        let issuer = &ticket.host;
        let Some(addr) = self.peers.membership.lock().unwrap().addr(issuer) else {
            let message = format!("Issuer \"{issuer}\" of the ticket is not in the host list");
            return unknown_outcome(Reason::IssuerGone, message);
        };
        let limit = self.entry_deadline(req);
        let remaining = limit.saturating_sub(arrived.elapsed());
        let message = ForwardRequest {
            version: PROTOCOL_VERSION,
            to: issuer.clone(),
            nonce: rand::random(),
            query: serde_json::to_string(req).expect("message types serialise"),
            remaining_ms: remaining.as_millis() as u64,
        };
        let call = self.call_peer(addr, FORWARD_PATH, encode(&message), limit + FORWARD_GRACE);
        let answer = call.await.and_then(|body| read_forward_reply(&body, &message, addr));
        match answer {
            Ok(answer) => answer,
            Err(e) => {
                let text = with_sources(&e);
                unknown_outcome(
                    Reason::IssuerGone,
                    format!("Issuer \"{issuer}\" of the ticket: {text}"),
                )
            }
        }
    }

    /// Answers a request that another host forwarded to this one as the issuer of its ticket.
    /// Returns an error if the message is not signed by a peer, does not decode, has another
    /// protocol version or is addressed to another host.
    pub async fn answer_forward(
        self: &Arc<Self>,
        body: &[u8],
        signature: &str,
    ) -> std::result::Result<Vec<u8>, ProtocolError> {
        let message: ForwardRequest = self.verify_and_decode(body, signature)?;
        check_addressee(message.version, Some(&message.to), &self.settings.host)?;
        let answer = match serde_json::from_str::<QueryRequest>(&message.query) {
            Ok(req) => self.answer_forwarded(&req).await,
            Err(e) => {
                let text = format!("Forwarded query does not parse: {e}");
                Refusal::new(Reason::BadRequest, text, None).into()
            }
        };
        let reply = ForwardReply {
            version: PROTOCOL_VERSION,
            nonce: message.nonce,
            incarnation: self.tier.identity.incarnation,
            answer: serde_json::to_string(&answer).expect("message types serialise"),
        };
        Ok(encode(&reply))
    }

    async fn answer_forwarded(self: &Arc<Self>, req: &QueryRequest) -> QueryAnswer {
        let ticket = req.ticket.as_deref().unwrap_or_default();
        match Ticket::verified(ticket, &self.peers.keys) {
            Ok(ticket) if self.tickets.lock().unwrap().is_own(&ticket) => {
                self.run_as_issuer(req, ticket, Instant::now()).await
            }
            Ok(_) => {
                unknown_outcome(Reason::IssuerGone, "Issuer of the ticket has restarted since")
            }
            Err(e) => ticket_error_answer(&e),
        }
    }

    /// Returns the refusal of a process that takes no queries in lifecycle phase `phase`.
    pub fn not_ready(&self, phase: Phase) -> Refusal {
        let message =
            format!("Host \"{}\" is {} and takes no queries", self.settings.host, phase.name());
        Refusal::new(Reason::NotReady, message, Some(ISSUER_RETRY_AFTER))
    }
}

fn read_forward_reply(
    body: &[u8],
    message: &ForwardRequest,
    peer: std::net::SocketAddr,
) -> Result<QueryAnswer, ExchangeError> {
    let protocol = |source| ExchangeError::Protocol { peer, source };
    let reply: ForwardReply = decode(body).map_err(protocol)?;
    let wrong_reply = ExchangeError::WrongNonce { peer };
    if reply.nonce != message.nonce {
        return Err(wrong_reply);
    }
    serde_json::from_str(&reply.answer).map_err(|_| wrong_reply)
}

fn ticket_error_answer(error: &TicketError) -> QueryAnswer {
    if *error == TicketError::RecordExpired {
        return unknown_outcome(Reason::BadTicket, error.to_string());
    }
    Refusal::new(Reason::BadTicket, error.to_string(), None).into()
}

fn unknown_outcome(reason: Reason, message: impl Into<String>) -> QueryAnswer {
    let refusal = Refusal::new(reason, message, Some(ISSUER_RETRY_AFTER));
    QueryAnswer::without_hits(OutcomeKind::Unknown, refusal)
}
