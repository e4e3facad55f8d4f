//! Shares of limits and their loans: by hand, and under loss, late answers, crashes and pauses.

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

fn seat(rank: usize) -> HostPosition {
    HostPosition { zone_rank: 0, zones: 1, host_rank: rank as u32, hosts: HOSTS as u32 }
}

fn book(rank: usize, now: Instant) -> ShareTable {
    let mut book = ShareTable::new(now);
    book.set_position(Some(seat(rank)), now);
    book
}

#[test]
fn whole_parts_of_all_seats_sum_to_the_number() {
    for total in 0..100 {
        let part = |zone_rank, host_rank| {
            HostPosition { zone_rank, zones: 3, host_rank, hosts: 4 }.whole_part(total)
        };
        let sum: u32 = (0..3).flat_map(|zone| (0..4).map(move |host| part(zone, host))).sum();
        assert_eq!(sum, total);
    }
}

#[test]
fn own_share_counts_only_after_an_earlier_runs_leases_have_ended() {
    let now = Instant::now();
    let book = book(0, now);
    let share = |at| book.share(&entry(), &limits(), false, at).queries_per_second;
    assert_eq!(share(now), 0.0);
    assert_eq!(share(now + LEASE + LEASE_MARGIN), 25.0);
}

#[test]
fn smaller_seat_counts_at_once_and_a_larger_one_after_the_fence() {
    let now = Instant::now();
    let mut book = book(0, now);
    book.end_startup_hold(now);
    let fewer = HostPosition { hosts: 2, ..seat(0) };
    book.set_position(Some(fewer), now);
    let share =
        |book: &ShareTable, at| book.share(&entry(), &limits(), false, at).queries_per_second;
    book.tick(true, Revision(1), now + FENCE_TIMEOUT);
    assert_eq!(share(&book, now + FENCE_TIMEOUT), 25.0);
    let later = now + FENCE_TIMEOUT + LEASE_MARGIN;
    book.tick(false, Revision(1), later);
    assert_eq!(share(&book, later), 25.0, "without contact nothing grows");
    book.tick(true, Revision(1), later);
    assert_eq!(share(&book, later), 50.0);
    book.set_position(Some(seat(0)), later);
    assert_eq!(share(&book, later), 25.0);
}

#[test]
fn loan_moves_share_and_ends_at_the_borrower_first() {
    let now = Instant::now();
    let (mut giver, mut borrower) = (book(0, now), book(1, now));
    giver.end_startup_hold(now);
    borrower.end_startup_hold(now);
    let (entry, name) = (entry(), host(1));
    let asked =
        LoanRequest { entry: &entry, borrower: &name, wanted: 0.2, used: 0.0, fenced: false };
    let loan = giver.lend(&asked, now).expect("the giver is idle");
    borrower.borrow(loan, &host(0), Incarnation(1), now);
    let rate = |book: &ShareTable, at| book.share(&entry, &limits(), false, at).queries_per_second;
    assert!((rate(&giver, now) - 5.0).abs() < 1e-9);
    assert!((rate(&borrower, now) - 45.0).abs() < 1e-9);
    assert!((rate(&borrower, now + LEASE) - 25.0).abs() < 1e-9);
    assert!((rate(&giver, now + LEASE) - 5.0).abs() < 1e-9, "the giver counts longer");
    assert!((rate(&giver, now + LEASE + LEASE_MARGIN) - 25.0).abs() < 1e-9);
}

#[test]
fn busy_or_fenced_host_lends_nothing() {
    let now = Instant::now();
    let mut giver = book(0, now);
    giver.end_startup_hold(now);
    let (entry, name) = (entry(), host(1));
    let busy =
        LoanRequest { entry: &entry, borrower: &name, wanted: 0.2, used: 0.25, fenced: false };
    assert!(giver.lend(&busy, now).is_none());
    assert!(giver.lend(&LoanRequest { used: 0.0, fenced: true, ..busy }, now).is_none());
}

#[test]
fn refusals_name_the_limit_that_is_used_up_and_an_honest_wait() {
    let now = Instant::now();
    let share = jasmineusher_lib::limits::HostShare::of(&limits(), 0.02);
    let mut entry = EntryLimits::new(limits(), share, now);
    assert!(entry.admit(now).is_ok());
    let refusal = entry.admit(now).expect_err("one a second has no second place");
    insta::assert_debug_snapshot!(refusal, @r"
    OverLimit {
        reason: ConcurrencyLimit,
        retry_after: 100ms,
    }
    ");
    entry.release();
    let refusal = entry.admit(now).expect_err("2 a second are used up");
    insta::assert_debug_snapshot!(refusal, @r"
    OverLimit {
        reason: RateLimit,
        retry_after: 500ms,
    }
    ");
    assert!(entry.admit(now + refusal.retry_after).is_ok(), "after the wait there is room");
}

#[test]
fn refusal_never_names_a_wait_of_no_time() {
    let now = Instant::now();
    let share = jasmineusher_lib::limits::HostShare::of(&limits(), 100.0);
    let mut entry = EntryLimits::new(limits(), share, now);
    assert!(entry.admit(now).is_ok());
    let refusal = entry.admit(now).expect_err("a share starts with room for one query");
    assert_eq!(refusal.retry_after, Duration::from_millis(1), "callers are told milliseconds");
}

/// A loan on its way.
#[derive(Clone, Debug)]
struct Message {
    loan: Loan,
    giver: usize,
    giver_incarnation: u64,
    borrower: usize,
    borrower_incarnation: u64,
    requested_at: Instant,
}

#[derive(Clone, Debug)]
enum Step {
    /// A host asks another one; the answer is under way from then on.
    Ask { borrower: usize, giver: usize, wanted: f64, used: f64 },
    /// An answer under way arrives.
    Arrive(usize),
    /// An answer under way is lost.
    Lose(usize),
    /// A host is killed and starts again; it asks its peers about old loans if they can be heard.
    Restart { host: usize, hears_peers: bool },
    /// Time passes.
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let hosts = (0..HOSTS, 0..HOSTS);
    let ask = (hosts, 0.0..1.0_f64, 0.0..0.3_f64)
        .prop_map(|((borrower, giver), wanted, used)| Step::Ask { borrower, giver, wanted, used });
    let one = prop_oneof![
        6 => ask,
        5 => (0..50_usize).prop_map(Step::Arrive),
        1 => (0..50_usize).prop_map(Step::Lose),
        1 => (0..HOSTS, any::<bool>())
            .prop_map(|(host, hears_peers)| Step::Restart { host, hears_peers }),
        4 => prop_oneof![Just(1_u64), Just(50), Just(400), Just(1_900), Just(3_000)]
            .prop_map(Step::Pass),
    ];
    prop::collection::vec(one, 0..120)
}

struct Fleet {
    books: Vec<ShareTable>,
    incarnations: Vec<u64>,
    under_way: Vec<Message>,
    now: Instant,
}

impl Fleet {
    fn new() -> Self {
        let now = Instant::now();
        let mut books: Vec<_> = (0..HOSTS).map(|rank| book(rank, now)).collect();
        books.iter_mut().for_each(|book| book.end_startup_hold(now));
        Self { books, incarnations: vec![1; HOSTS], under_way: Vec::new(), now }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Ask { borrower, giver, wanted, used } if borrower != giver => {
                let (entry, name) = (entry(), host(borrower));
                let asked =
                    LoanRequest { entry: &entry, borrower: &name, wanted, used, fenced: false };
                let loan = self.books[giver].lend(&asked, self.now);
                self.under_way.extend(loan.map(|loan| Message {
                    loan,
                    giver,
                    giver_incarnation: self.incarnations[giver],
                    borrower,
                    borrower_incarnation: self.incarnations[borrower],
                    requested_at: self.now,
                }));
            }
            Step::Ask { .. } => {}
            Step::Arrive(n) if !self.under_way.is_empty() => {
                let message = self.under_way.remove(n % self.under_way.len());
                // An answer reaches only the process run that asked for it.
                if self.incarnations[message.borrower] == message.borrower_incarnation {
                    self.books[message.borrower].borrow(
                        message.loan,
                        &host(message.giver),
                        Incarnation(message.giver_incarnation),
                        message.requested_at,
                    );
                }
            }
            Step::Lose(n) if !self.under_way.is_empty() => {
                self.under_way.remove(n % self.under_way.len());
            }
            Step::Arrive(_) | Step::Lose(_) => {}
            Step::Restart { host, hears_peers } => self.restart(host, hears_peers),
            Step::Pass(ms) => self.now += Duration::from_millis(ms),
        }
        for book in &mut self.books {
            book.tick(true, Revision(1), self.now);
        }
    }

    fn restart(&mut self, number: usize, hears_peers: bool) {
        self.incarnations[number] += 1;
        self.books[number] = book(number, self.now);
        let name = host(number);
        let present = Incarnation(self.incarnations[number]);
        // A peer that still waits for an answer says that it may hold a loan.
        let awaited = self.under_way.iter().any(|message| message.giver == number);
        let held = self.books.iter().any(|book| book.holds_loan_of(&name, present, self.now));
        if hears_peers && !held && !awaited {
            self.books[number].end_startup_hold(self.now);
        }
    }

    fn total(&self) -> f64 {
        let share =
            |book: &ShareTable| book.share(&entry(), &limits(), false, self.now).queries_per_second;
        self.books.iter().map(share).sum()
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
            prop_assert!(total <= 100.0 + 1e-6, "{total} of 100 after {step:?}");
        }
    }
}
