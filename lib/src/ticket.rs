//! Tickets: idempotency keys by which a request that is not idempotent runs at most once.
//!
//! A ticket names the incarnation of the process that issued it, and only that incarnation runs its
//! request. Invariants: a ticket's request runs at most once in the life of that incarnation;
//! unless it is proved not to have run, its outcome is returned to every resend until the record
//! expires; a ticket is never run after its expiry.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use thiserror::Error;
use tokio::sync::watch;

use crate::answer::OutcomeKind;
use crate::answer::QueryAnswer;
use crate::fingerprint::Fingerprint;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::signature::KeyRing;

/// Time after its issue for which a ticket may be redeemed.
pub const TICKET_LIFE: Duration = Duration::from_secs(60);
/// Time after a ticket's expiry for which its outcome is kept.
const OUTCOME_RETENTION: Duration = Duration::from_secs(60);
/// Largest number of tickets with a record at the same time.
pub const MAX_RECORDS: usize = 50_000;
/// Purpose that is signed with a ticket, so that no other signed message is accepted as one.
const SIGNATURE_PURPOSE: &str = "ticket";

/// Reason why a ticket is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TicketError {
    /// The text does not have the form of a ticket.
    #[error("Ticket does not parse")]
    Syntax,
    /// The signature matches none of the keys.
    #[error("Ticket is not signed by a known key")]
    Forged,
    /// The ticket was redeemed before, for a request with another fingerprint.
    #[error("Ticket was used for another request")]
    OtherRequest,
    /// The ticket expired before it was redeemed, so its request has not run.
    #[error("Ticket has expired unused")]
    ExpiredUnused,
    /// The ticket expired, and so did the record of whether its request ran.
    #[error("Ticket has expired, and with it the record of whether it ran")]
    RecordExpired,
    /// The host keeps [`MAX_RECORDS`] records of tickets, the largest number allowed.
    #[error("Host keeps {MAX_RECORDS} tickets already")]
    TooManyRecords,
}

/// Result of parsing, verifying or redeeming a ticket.
pub type Result<T> = std::result::Result<T, TicketError>;

/// A ticket: the incarnation of a host's process that issued it, a number and an expiry. Callers
/// receive it as signed text.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// The host that issued the ticket.
    pub host: HostName,
    /// The incarnation of that host's process that issued the ticket.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation, from 1.
    pub number: u64,
    /// Expiry, in milliseconds since the start of the process.
    pub expires_ms: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { host, incarnation, number, expires_ms } = self;
        write!(f, "{host}:{:x}:{number:x}:{expires_ms:x}", incarnation.0)
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self> {
        let parts: Vec<_> = text.split(':').collect();
        let [host, incarnation, number, expires_ms] = parts[..] else {
            return Err(TicketError::Syntax);
        };
        let hex = |text| u64::from_str_radix(text, 16).map_err(|_| TicketError::Syntax);
        Ok(Self {
            host: HostName::try_from(host).map_err(|_| TicketError::Syntax)?,
            incarnation: Incarnation(hex(incarnation)?),
            number: hex(number)?,
            expires_ms: hex(expires_ms)?,
        })
    }
}

impl Ticket {
    /// Returns the ticket as text, with its signature.
    pub fn signed(&self, keys: &KeyRing) -> String {
        let text = self.to_string();
        let signature = keys.sign(SIGNATURE_PURPOSE, text.as_bytes());
        format!("{text}:{signature}")
    }

    /// Parses a signed ticket and verifies its signature.
    pub fn verified(text: &str, keys: &KeyRing) -> Result<Self> {
        let (ticket, signature) = text.rsplit_once(':').ok_or(TicketError::Syntax)?;
        if !keys.verify(SIGNATURE_PURPOSE, ticket.as_bytes(), signature) {
            return Err(TicketError::Forged);
        }
        ticket.parse()
    }
}

/// Outcome of a ticket's request, shared by all callers that wait for it; `None` while it runs.
pub type Outcome = Option<Arc<QueryAnswer>>;

/// A redeemed ticket: the request that it was redeemed for, and the channel of its outcome.
#[derive(Debug)]
struct Record {
    fingerprint: Fingerprint,
    outcome: watch::Sender<Outcome>,
}

/// How the issuer handles a request with a valid ticket.
#[derive(Debug)]
pub enum Redemption {
    /// Run the request, then call [`TicketTable::record_outcome`] with its answer.
    Run,
    /// The request is running or has run: wait for its outcome. The channel closes without an
    /// outcome only if the record expires first.
    Wait(watch::Receiver<Outcome>),
}

/// Tickets that one incarnation of a process has issued. Only redeemed tickets have a record.
#[derive(Debug)]
pub struct TicketTable {
    host: HostName,
    incarnation: Incarnation,
    started_at: Instant,
    next_number: u64,
    records: HashMap<u64, Record>,
    /// Expiry in milliseconds and number of each redeemed ticket, in the order of redemption.
    redemptions: VecDeque<(u64, u64)>,
}

impl TicketTable {
    /// Creates a table for a process that starts at `now` and has issued no tickets.
    pub fn new(host: HostName, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            host,
            incarnation,
            started_at: now,
            next_number: 1,
            records: HashMap::new(),
            redemptions: VecDeque::new(),
        }
    }

    fn uptime_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_millis() as u64
    }

    /// Issues a ticket. It uses no memory until it is redeemed.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        let number = self.next_number;
        self.next_number += 1;
        Ticket {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number,
            expires_ms: self.uptime_ms(now) + TICKET_LIFE.as_millis() as u64,
        }
    }

    /// Returns whether this incarnation of this host issued the ticket.
    pub fn is_own(&self, ticket: &Ticket) -> bool {
        ticket.host == self.host && ticket.incarnation == self.incarnation
    }

    /// Redeems a ticket, which this incarnation must have issued, for a request. Returns whether to
    /// run the request or to wait for the outcome of its run, or why the ticket is refused.
    pub fn redeem(
        &mut self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Result<Redemption> {
        debug_assert!(self.is_own(ticket));
        let uptime_ms = self.uptime_ms(now);
        self.drop_expired(uptime_ms);
        if let Some(record) = self.records.get(&ticket.number) {
            if record.fingerprint != fingerprint {
                return Err(TicketError::OtherRequest);
            }
            return Ok(Redemption::Wait(record.outcome.subscribe()));
        }
        if ticket.expires_ms + OUTCOME_RETENTION.as_millis() as u64 <= uptime_ms {
            return Err(TicketError::RecordExpired);
        }
        if ticket.expires_ms <= uptime_ms {
            return Err(TicketError::ExpiredUnused);
        }
        if self.records.len() >= MAX_RECORDS {
            return Err(TicketError::TooManyRecords);
        }
        let record = Record { fingerprint, outcome: watch::channel(None).0 };
        self.records.insert(ticket.number, record);
        self.redemptions.push_back((ticket.expires_ms, ticket.number));
        Ok(Redemption::Run)
    }

    /// Records the outcome of a request that was run under a ticket, and sends it to the callers
    /// that wait for it. A ticket whose request was proved not to have run may be redeemed again.
    pub fn record_outcome(&mut self, ticket: &Ticket, answer: &QueryAnswer) {
        let outcome = Some(Arc::new(answer.clone()));
        if answer.outcome == OutcomeKind::NotRun {
            if let Some(record) = self.records.remove(&ticket.number) {
                record.outcome.send_replace(outcome);
            }
        } else if let Some(record) = self.records.get(&ticket.number) {
            record.outcome.send_replace(outcome);
        }
    }

    fn drop_expired(&mut self, uptime_ms: u64) {
        let retention_ms = OUTCOME_RETENTION.as_millis() as u64;
        while let Some(&(expires_ms, number)) = self.redemptions.front() {
            if expires_ms + retention_ms > uptime_ms {
                break;
            }
            self.redemptions.pop_front();
            self.records.remove(&number);
        }
    }

    /// Returns the number of tickets issued so far.
    pub fn issued(&self) -> u64 {
        self.next_number - 1
    }

    /// Returns the number of redeemed tickets whose record is kept.
    pub fn records(&self) -> usize {
        self.records.len()
    }
}
