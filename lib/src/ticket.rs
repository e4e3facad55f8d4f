//! Tickets: identities by which a request that is not idempotent runs at most once.
//!
//! A ticket names the process run that issued it, and only that run executes it. Invariants: a
//! ticket's request begins at most once in the life of the run; its outcome is repeated to every
//! resend until the record expires; a ticket is never run after its expiry.

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
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::quarantine::Fingerprint;
use crate::signature::KeyRing;

/// How long a ticket may be run after it was issued.
pub const TICKET_LIFE: Duration = Duration::from_secs(60);
/// How long an outcome is kept after the ticket's expiry.
const KEEP: Duration = Duration::from_secs(60);
/// The most tickets with a record at once.
pub const MAX_RECORDS: usize = 50_000;
/// Purpose of a ticket's signature.
const PURPOSE: &str = "ticket";

/// Why a ticket is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TicketError {
    /// The text is not a ticket.
    #[error("Ticket does not parse")]
    Syntax,
    /// The signature is wrong.
    #[error("Ticket is not signed by a known key")]
    Forged,
    /// The ticket was used for another request.
    #[error("Ticket was used for another request")]
    OtherRequest,
    /// The ticket's time was over before it was used.
    #[error("Ticket has expired unused")]
    ExpiredUnused,
    /// The ticket's time is over, and with it the record of whether it ran.
    #[error("Ticket has expired, and with it the record of whether it ran")]
    RecordExpired,
    /// Too many tickets are in use.
    #[error("Host keeps {MAX_RECORDS} tickets already")]
    Full,
}

/// Result of using a ticket.
pub type Result<T> = std::result::Result<T, TicketError>;

/// A ticket. Its text form is signed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// The host that issued it.
    pub host: HostName,
    /// The run of that host's process.
    pub incarnation: Incarnation,
    /// Number within the run.
    pub number: u64,
    /// End of its life, in milliseconds since the run began.
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
    /// Writes the ticket with its signature.
    pub fn signed(&self, keys: &KeyRing) -> String {
        let text = self.to_string();
        let signature = keys.sign(PURPOSE, text.as_bytes());
        format!("{text}:{signature}")
    }

    /// Reads a signed ticket.
    pub fn verified(text: &str, keys: &KeyRing) -> Result<Self> {
        let (ticket, signature) = text.rsplit_once(':').ok_or(TicketError::Syntax)?;
        if !keys.verify(PURPOSE, ticket.as_bytes(), signature) {
            return Err(TicketError::Forged);
        }
        ticket.parse()
    }
}

/// The outcome of a ticket, shared with everyone who waits for it.
pub type Outcome = Option<Arc<QueryAnswer>>;

#[derive(Debug)]
struct Record {
    fingerprint: Fingerprint,
    outcome: watch::Sender<Outcome>,
}

/// What a host does with a ticket that it issued.
#[derive(Debug)]
pub enum Redemption {
    /// Run the request, then call [`TicketTable::record_outcome`].
    Run,
    /// It runs or has run; wait for this outcome. The sender ends only if the run was dropped.
    Wait(watch::Receiver<Outcome>),
}

/// The tickets of one process run. Only used tickets have a record.
#[derive(Debug)]
pub struct TicketTable {
    host: HostName,
    incarnation: Incarnation,
    began: Instant,
    next_number: u64,
    records: HashMap<u64, Record>,
    by_expiry: VecDeque<(u64, u64)>,
}

impl TicketTable {
    /// Starts with no tickets.
    pub fn new(host: HostName, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            host,
            incarnation,
            began: now,
            next_number: 1,
            records: HashMap::new(),
            by_expiry: VecDeque::new(),
        }
    }

    fn run_time_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.began).as_millis() as u64
    }

    /// Issues a ticket. It costs no memory until it is used.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        let number = self.next_number;
        self.next_number += 1;
        Ticket {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number,
            expires_ms: self.run_time_ms(now) + TICKET_LIFE.as_millis() as u64,
        }
    }

    /// Whether this run of this host issued the ticket.
    pub fn is_own(&self, ticket: &Ticket) -> bool {
        ticket.host == self.host && ticket.incarnation == self.incarnation
    }

    /// Uses a ticket that this run issued.
    pub fn redeem(
        &mut self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Result<Redemption> {
        debug_assert!(self.is_own(ticket));
        let run_time_ms = self.run_time_ms(now);
        self.drop_expired(run_time_ms);
        if let Some(record) = self.records.get(&ticket.number) {
            if record.fingerprint != fingerprint {
                return Err(TicketError::OtherRequest);
            }
            return Ok(Redemption::Wait(record.outcome.subscribe()));
        }
        if ticket.expires_ms + KEEP.as_millis() as u64 <= run_time_ms {
            return Err(TicketError::RecordExpired);
        }
        if ticket.expires_ms <= run_time_ms {
            return Err(TicketError::ExpiredUnused);
        }
        if self.records.len() >= MAX_RECORDS {
            return Err(TicketError::Full);
        }
        let record = Record { fingerprint, outcome: watch::channel(None).0 };
        self.records.insert(ticket.number, record);
        self.by_expiry.push_back((ticket.expires_ms, ticket.number));
        Ok(Redemption::Run)
    }

    /// Records the outcome of a run. A ticket whose request was not run may be used again.
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

    fn drop_expired(&mut self, run_time_ms: u64) {
        let keep_ms = KEEP.as_millis() as u64;
        while let Some(&(expires_ms, number)) = self.by_expiry.front() {
            if expires_ms + keep_ms > run_time_ms {
                break;
            }
            self.by_expiry.pop_front();
            self.records.remove(&number);
        }
    }

    /// Returns the number of tickets issued so far.
    pub fn issued(&self) -> u64 {
        self.next_number - 1
    }

    /// Returns the number of records.
    pub fn records(&self) -> usize {
        self.records.len()
    }
}
