//! Shares of limits and loans of shares: single cases, and random sequences with lost and late
//! replies, restarts and pauses of hosts.

use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::catalogue::Limits;
use jasmineusher_lib::ids::EntryName;
use jasmineusher_lib::ids::HostName;
use jasmineusher_lib::ids::Incarnation;
use jasmineusher_lib::ids::Revision;
use jasmineusher_lib::limits::EntryLimits;
use jasmineusher_lib::peer_protocol::Loan;
use jasmineusher_lib::shares::FENCE_TIMEOUT;
use jasmineusher_lib::shares::HostPosition;
use jasmineusher_lib::shares::LEASE;
use jasmineusher_lib::shares::LEASE_MARGIN;
use jasmineusher_lib::shares::LoanRequest;
use jasmineusher_lib::shares::ShareTable;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOSTS: usize = 4;

fn limits() -> Limits {
    Limits {
        queries_per_second: 100.0,
        concurrent: 50,
        effort_ms_per_second: 1_000.0,
        extra_load: 0.0,
    }
}

fn entry() -> EntryName {
    EntryName::try_from("lookup").expect("a constant name is valid")
}

fn host(number: usize) -> HostName {
    HostName::try_from(format!("host-{number}").as_str()).expect("a constant name is valid")
}

fn position(rank: usize) -> HostPosition {
    HostPosition { zone_rank: 0, zones: 1, host_rank: rank as u32, hosts: HOSTS as u32 }
}

fn share_table(rank: usize, now: Instant) -> ShareTable {
    let mut share_table = ShareTable::new(now);
    share_table.set_position(Some(position(rank)), now);
    share_table
}

#[test]
fn whole_parts_of_all_positions_sum_to_the_total() {
    for total in 0..100 {
        let part = |zone_rank, host_rank| {
            HostPosition { zone_rank, zones: 3, host_rank, hosts: 4 }.whole_part(total)
        };
        let sum: u32 = (0..3).flat_map(|zone| (0..4).map(move |host| part(zone, host))).sum();
        assert_eq!(sum, total);
    }
}

/// A restarted host has lost its record of loans. A peer may still use a part of its share until
/// the lease ends.
#[test]
fn own_share_applies_only_after_leases_of_an_earlier_incarnation_have_ended() {
    let now = Instant::now();
    let share_table = share_table(0, now);
    let share = |at| share_table.share(&entry(), &limits(), false, at).queries_per_second;
    assert_eq!(share(now), 0.0);
    assert_eq!(share(now + LEASE + LEASE_MARGIN), 25.0);
}

/// If a larger share applied at once, it could overlap with the shares of hosts that have not
/// received the new host list yet, and together they would exceed the limit.
#[test]
fn smaller_share_applies_at_once_and_a_larger_one_after_the_growth_delay() {
    let now = Instant::now();
    let mut share_table = share_table(0, now);
    share_table.end_startup_hold(now);
    let fewer = HostPosition { hosts: 2, ..position(0) };
    share_table.set_position(Some(fewer), now);
    let share = |share_table: &ShareTable, at| {
        share_table.share(&entry(), &limits(), false, at).queries_per_second
    };
    share_table.tick(true, Revision(1), now + FENCE_TIMEOUT);
    assert_eq!(share(&share_table, now + FENCE_TIMEOUT), 25.0);
    let later = now + FENCE_TIMEOUT + LEASE_MARGIN;
    share_table.tick(false, Revision(1), later);
    assert_eq!(share(&share_table, later), 25.0, "without contact no share grows");
    share_table.tick(true, Revision(1), later);
    assert_eq!(share(&share_table, later), 50.0);
    share_table.set_position(Some(position(0)), later);
    assert_eq!(share(&share_table, later), 25.0);
}

/// If the lender used the lent part again before the borrower stops using it, both together would
/// exceed the limit.
#[test]
fn loan_moves_share_and_ends_first_at_the_borrower() {
    let now = Instant::now();
    let (mut lender, mut borrower) = (share_table(0, now), share_table(1, now));
    lender.end_startup_hold(now);
    borrower.end_startup_hold(now);
    let (entry, name) = (entry(), host(1));
    let request =
        LoanRequest { entry: &entry, borrower: &name, wanted: 0.2, used: 0.0, fenced: false };
    let loan = lender.lend(&request, now).expect("the lender is idle");
    borrower.borrow(loan, &host(0), Incarnation(1), now);
    let rate = |share_table: &ShareTable, at| {
        share_table.share(&entry, &limits(), false, at).queries_per_second
    };
    assert!((rate(&lender, now) - 5.0).abs() < 1e-9);
    assert!((rate(&borrower, now) - 45.0).abs() < 1e-9);
    assert!((rate(&borrower, now + LEASE) - 25.0).abs() < 1e-9);
    assert!((rate(&lender, now + LEASE) - 5.0).abs() < 1e-9, "the lender counts the lease longer");
    assert!((rate(&lender, now + LEASE + LEASE_MARGIN) - 25.0).abs() < 1e-9);
}

#[test]
fn busy_or_fenced_host_lends_nothing() {
    let now = Instant::now();
    let mut lender = share_table(0, now);
    lender.end_startup_hold(now);
    let (entry, name) = (entry(), host(1));
    let busy =
        LoanRequest { entry: &entry, borrower: &name, wanted: 0.2, used: 0.25, fenced: false };
    assert!(lender.lend(&busy, now).is_none());
    assert!(lender.lend(&LoanRequest { used: 0.0, fenced: true, ..busy }, now).is_none());
}

#[test]
fn refusal_names_the_exhausted_limit_and_a_sufficient_retry_delay() {
    let now = Instant::now();
    let share = jasmineusher_lib::limits::HostShare::of(&limits(), 0.02);
    let mut entry = EntryLimits::new(limits(), share, now);
    assert!(entry.admit(now).is_ok());
    let refusal =
        entry.admit(now).expect_err("a share for one concurrent query admits no second one");
    insta::assert_debug_snapshot!(refusal, @r"
    OverLimit {
        reason: ConcurrencyLimit,
        retry_after: 100ms,
    }
    ");
    entry.release();
    let refusal = entry.admit(now).expect_err("the rate of 2 a second is used up");
    insta::assert_debug_snapshot!(refusal, @r"
    OverLimit {
        reason: RateLimit,
        retry_after: 500ms,
    }
    ");
    assert!(
        entry.admit(now + refusal.retry_after).is_ok(),
        "a query is admitted after the retry delay"
    );
}

#[test]
fn retry_delay_of_a_refusal_is_never_zero() {
    let now = Instant::now();
    let share = jasmineusher_lib::limits::HostShare::of(&limits(), 100.0);
    let mut entry = EntryLimits::new(limits(), share, now);
    assert!(entry.admit(now).is_ok());
    let refusal = entry.admit(now).expect_err("a new share admits a single query");
    assert_eq!(refusal.retry_after, Duration::from_millis(1), "refusals carry whole milliseconds");
}

/// A reply with a loan that has not arrived yet.
#[derive(Clone, Debug)]
struct LoanReply {
    loan: Loan,
    lender: usize,
    lender_incarnation: u64,
    borrower: usize,
    borrower_incarnation: u64,
    requested_at: Instant,
}

#[derive(Clone, Debug)]
enum Step {
    /// A host requests a loan from another one; the reply is in flight from then on.
    RequestLoan { borrower: usize, lender: usize, wanted: f64, used: f64 },
    /// A reply in flight arrives.
    Deliver(usize),
    /// A reply in flight is lost.
    Lose(usize),
    /// A host is killed and starts again. Its peers, if it can reach them, report whether they hold
    /// loans of its earlier incarnations.
    Restart { host: usize, reaches_peers: bool },
    /// The given number of milliseconds passes.
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let hosts = (0..HOSTS, 0..HOSTS);
    let request_loan =
        (hosts, 0.0..1.0_f64, 0.0..0.3_f64).prop_map(|((borrower, lender), wanted, used)| {
            Step::RequestLoan { borrower, lender, wanted, used }
        });
    let step = prop_oneof![
        6 => request_loan,
        5 => (0..50_usize).prop_map(Step::Deliver),
        1 => (0..50_usize).prop_map(Step::Lose),
        1 => (0..HOSTS, any::<bool>())
            .prop_map(|(host, reaches_peers)| Step::Restart { host, reaches_peers }),
        4 => prop_oneof![Just(1_u64), Just(50), Just(400), Just(1_900), Just(3_000)]
            .prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 0..120)
}

struct Fleet {
    share_tables: Vec<ShareTable>,
    incarnations: Vec<u64>,
    in_flight: Vec<LoanReply>,
    now: Instant,
}

impl Fleet {
    fn new() -> Self {
        let now = Instant::now();
        let mut share_tables: Vec<_> = (0..HOSTS).map(|rank| share_table(rank, now)).collect();
        share_tables.iter_mut().for_each(|share_table| share_table.end_startup_hold(now));
        Self { share_tables, incarnations: vec![1; HOSTS], in_flight: Vec::new(), now }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::RequestLoan { borrower, lender, wanted, used } if borrower != lender => {
                let (entry, name) = (entry(), host(borrower));
                let request =
                    LoanRequest { entry: &entry, borrower: &name, wanted, used, fenced: false };
                let loan = self.share_tables[lender].lend(&request, self.now);
                self.in_flight.extend(loan.map(|loan| LoanReply {
                    loan,
                    lender,
                    lender_incarnation: self.incarnations[lender],
                    borrower,
                    borrower_incarnation: self.incarnations[borrower],
                    requested_at: self.now,
                }));
            }
            Step::RequestLoan { .. } => {}
            Step::Deliver(n) if !self.in_flight.is_empty() => {
                let reply = self.in_flight.remove(n % self.in_flight.len());
                // A reply reaches only the incarnation that sent the request.
                if self.incarnations[reply.borrower] == reply.borrower_incarnation {
                    self.share_tables[reply.borrower].borrow(
                        reply.loan,
                        &host(reply.lender),
                        Incarnation(reply.lender_incarnation),
                        reply.requested_at,
                    );
                }
            }
            Step::Lose(n) if !self.in_flight.is_empty() => {
                self.in_flight.remove(n % self.in_flight.len());
            }
            Step::Deliver(_) | Step::Lose(_) => {}
            Step::Restart { host, reaches_peers } => self.restart(host, reaches_peers),
            Step::Advance(ms) => self.now += Duration::from_millis(ms),
        }
        for share_table in &mut self.share_tables {
            share_table.tick(true, Revision(1), self.now);
        }
    }

    fn restart(&mut self, number: usize, reaches_peers: bool) {
        self.incarnations[number] += 1;
        self.share_tables[number] = share_table(number, self.now);
        let name = host(number);
        let current = Incarnation(self.incarnations[number]);
        // A peer that still waits for a reply of this host may hold a loan, and reports that.
        let awaited = self.in_flight.iter().any(|reply| reply.lender == number);
        let held = self
            .share_tables
            .iter()
            .any(|share_table| share_table.holds_loan_of(&name, current, self.now));
        if reaches_peers && !held && !awaited {
            self.share_tables[number].end_startup_hold(self.now);
        }
    }

    fn total(&self) -> f64 {
        let share = |share_table: &ShareTable| {
            share_table.share(&entry(), &limits(), false, self.now).queries_per_second
        };
        self.share_tables.iter().map(share).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn shares_never_sum_to_more_than_the_limit(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.apply(step);
            let total = fleet.total();
            prop_assert!(total <= 100.0 + 1e-6, "shares sum to {total} of 100 after {step:?}");
        }
    }
}
