//! Runs ticketed requests at their issuer, here or through a forward.

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
use crate::ids::EntryName;
use crate::lifecycle::Phase;
use crate::peer_protocol::FORWARD_PATH;
use crate::peer_protocol::ForwardReply;
use crate::peer_protocol::ForwardRequest;
use crate::peer_protocol::PROTOCOL_VERSION;
use crate::peer_protocol::ProtocolError;
use crate::peer_protocol::decode;
use crate::peer_protocol::encode;
use crate::quarantine::Fingerprint;
use crate::ticket::Redemption;
use crate::ticket::Ticket;
use crate::ticket::TicketError;

/// Time beyond a query's deadline in which its issuer still answers a forward.
const FORWARD_GRACE: Duration = Duration::from_millis(500);
/// Wait named to a caller whose ticket's issuer cannot be heard.
const ISSUER_RETRY: Duration = Duration::from_secs(1);

impl Daemon {
    /// Issues a ticket.
    pub fn issue_ticket(&self, now: Instant) -> String {
        self.tier.counters.tickets_issued.increment();
        let ticket = self.tickets.lock().unwrap().issue(now);
        ticket.signed(&self.peers.keys)
    }

    /// Answers a request that has a ticket.
    pub async fn answer_ticketed(
        self: &Arc<Self>,
        req: &QueryRequest,
        text: &str,
        arrived: Instant,
    ) -> QueryAnswer {
        let ticket = match Ticket::verified(text, &self.peers.keys) {
            Ok(ticket) => ticket,
            Err(e) => return refused(&e),
        };
        let is_own = self.tickets.lock().unwrap().is_own(&ticket);
        if is_own {
            self.run_own(req, ticket, arrived).await
        } else {
            self.forward(req, &ticket, arrived).await
        }
    }

    async fn run_own(
        self: &Arc<Self>,
        req: &QueryRequest,
        ticket: Ticket,
        arrived: Instant,
    ) -> QueryAnswer {
        let entry = EntryName::try_from(req.entry.as_str());
        let Ok(entry) = entry else { return refused(&TicketError::Syntax) };
        let fingerprint = Fingerprint::of(&entry, req.params.get());
        let used = self.tickets.lock().unwrap().redeem(&ticket, fingerprint, Instant::now());
        match used {
            Ok(Redemption::Run) => self.run_once(req, ticket, arrived).await,
            Ok(Redemption::Wait(mut outcome)) => {
                self.tier.counters.tickets_repeated.increment();
                let limit = self.query_limit(req) + FORWARD_GRACE;
                let known = tokio::time::timeout(limit, outcome.wait_for(Option::is_some)).await;
                let known = known.ok().and_then(|result| result.ok()).and_then(|o| o.clone());
                match known {
                    Some(answer) => (*answer).clone(),
                    None => {
                        unknown(Reason::DeadlineExceeded, "Run of the ticket has no outcome yet")
                    }
                }
            }
            Err(e) => refused(&e),
        }
    }

    /// Runs the request apart from the caller's connection, so that a caller who goes away neither
    /// cancels the run nor loses its record.
    async fn run_once(
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
            Err(_) => unknown(Reason::DeadlineExceeded, "Run of the ticket broke off"),
        }
    }

    fn query_limit(&self, req: &QueryRequest) -> Duration {
        let view = self.tier.view();
        let entry = view.catalogue.entry(&req.entry);
        entry.map_or(Duration::ZERO, |entry| entry.deadline)
    }

    async fn forward(&self, req: &QueryRequest, ticket: &Ticket, arrived: Instant) -> QueryAnswer {
        let issuer = &ticket.host;
        let Some(addr) = self.peers.membership.lock().unwrap().addr(issuer) else {
            let message = format!("Issuer \"{issuer}\" of the ticket is not in the host list");
            return unknown(Reason::IssuerGone, message);
        };
        let limit = self.query_limit(req);
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
                unknown(Reason::IssuerGone, format!("Issuer \"{issuer}\" of the ticket: {text}"))
            }
        }
    }

    /// Answers a forwarded request as its issuer.
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
                self.run_own(req, ticket, Instant::now()).await
            }
            Ok(_) => unknown(Reason::IssuerGone, "Issuer of the ticket has restarted since"),
            Err(e) => refused(&e),
        }
    }

    /// Makes the refusal of a process that takes no queries.
    pub fn not_ready(&self, phase: Phase) -> Refusal {
        let message =
            format!("Host \"{}\" is {} and takes no queries", self.settings.host, phase.name());
        Refusal::new(Reason::NotReady, message, Some(ISSUER_RETRY))
    }
}

fn read_forward_reply(
    body: &[u8],
    message: &ForwardRequest,
    peer: std::net::SocketAddr,
) -> Result<QueryAnswer, ExchangeError> {
    let protocol = |source| ExchangeError::Protocol { peer, source };
    let reply: ForwardReply = decode(body).map_err(protocol)?;
    let crossed = ExchangeError::Crossed { peer };
    if reply.nonce != message.nonce {
        return Err(crossed);
    }
    serde_json::from_str(&reply.answer).map_err(|_| crossed)
}

fn refused(error: &TicketError) -> QueryAnswer {
    if *error == TicketError::RecordExpired {
        return unknown(Reason::BadTicket, error.to_string());
    }
    Refusal::new(Reason::BadTicket, error.to_string(), None).into()
}

fn unknown(reason: Reason, message: impl Into<String>) -> QueryAnswer {
    let refusal = Refusal::new(reason, message, Some(ISSUER_RETRY));
    QueryAnswer::without_hits(OutcomeKind::Unknown, refusal)
}
