//! The fleet's budget for calls beyond the first, shared by hosts that do not ask each other.

use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::fleet_budget::ExtraUse;
use jasmineusher_lib::fleet_budget::FleetBudget;
use jasmineusher_lib::fleet_budget::FleetLimits;
use jasmineusher_lib::ids::GroupKey;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LIMITS: FleetLimits =
    FleetLimits { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) };
const GROUP: GroupKey = GroupKey(3);

#[derive(Clone, Copy, Debug)]
enum Step {
    Request,
    Hedge,
    Retry,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Request),
        3 => Just(Step::Hedge),
        3 => Just(Step::Retry),
        2 => (1_u64..800).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn any_window_of_all_hosts_stays_within_the_fleets_limits(
        steps in proptest::collection::vec(step(), 1..600),
    ) {
        const HOSTS: usize = 9;
        let start = Instant::now();
        let mut now = start;
        let mut hosts: Vec<_> = (0..HOSTS).map(|n| FleetBudget::new(LIMITS, HOSTS, n as f64 / HOSTS as f64, start)).collect();
        let (mut requests, mut extra) = (Vec::new(), Vec::new());
        for (n, step) in steps.into_iter().enumerate() {
            let host = &mut hosts[n % HOSTS];
            match step {
                Step::Request => { host.request(GROUP, now); requests.push(now); }
                Step::Hedge if host.take(GROUP, ExtraUse::Hedge, now) => extra.push(now),
                Step::Retry if host.take(GROUP, ExtraUse::Retry, now) => extra.push(now),
                Step::Wait(ms) => now += Duration::from_millis(ms),
                _ => {}
            }
        }
        for &from in &extra {
            let within = |at: &&Instant| **at >= from && **at < from + LIMITS.window;
            let extra = extra.iter().filter(within).count() as f64;
            // Requests of the window before count too, where they are more.
            let before = |at: &&Instant| **at + LIMITS.window >= from && **at < from + LIMITS.window;
            let requests = requests.iter().filter(before).count() as f64;
            prop_assert!(extra <= requests * LIMITS.ratio + LIMITS.slack, "{extra} for {requests}");
        }
    }
}

#[test]
fn hedges_leave_a_part_of_the_budget_for_retries() {
    let now = Instant::now();
    let mut budget = FleetBudget::new(FleetLimits { slack: 0.0, ..LIMITS }, 1, 0.0, now);
    (0..100).for_each(|_| budget.request(GROUP, now));
    while budget.take(GROUP, ExtraUse::OptionalHedge, now) {}
    assert!(budget.take(GROUP, ExtraUse::Hedge, now), "decisive hedges may use more");
    while budget.take(GROUP, ExtraUse::Hedge, now) {}
    assert!(budget.take(GROUP, ExtraUse::Retry, now));
}

#[test]
fn groups_have_budgets_of_their_own_and_old_requests_no_longer_count() {
    let now = Instant::now();
    let mut budget = FleetBudget::new(FleetLimits { slack: 0.0, ..LIMITS }, 1, 0.0, now);
    (0..100).for_each(|_| budget.request(GROUP, now));
    assert!(!budget.take(GroupKey(4), ExtraUse::Retry, now));
    assert!(!budget.take(GROUP, ExtraUse::Retry, now + Duration::from_secs(11)));
}

/// The grown sites right after a restart of all: each host's part of the slack is below one call.
#[test]
fn parts_below_one_call_add_up_over_the_fleet() {
    const HOSTS: usize = 84;
    let now = Instant::now();
    let limits = FleetLimits { slack: 84.0, ..LIMITS };
    let takes = (0..HOSTS).filter(|&n| {
        let mut host = FleetBudget::new(limits, HOSTS, n as f64 / HOSTS as f64, now);
        host.request(GROUP, now);
        host.take(GROUP, ExtraUse::Retry, now)
    });
    let count = takes.count();
    assert!((20..=84).contains(&count), "{count}");
}

/// The grown sites: every host spends all that it may, and all start anew after a loss of power.
#[test]
fn fleet_that_spends_all_and_starts_anew_stays_within_its_limits() {
    const HOSTS: usize = 84;
    const STEP: Duration = Duration::from_millis(20);
    let limits = FleetLimits { slack: 208.0, ..LIMITS };
    let start = Instant::now();
    for seed in 0..5 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = |now| -> Vec<_> {
            let draws = (0..HOSTS).map(|_| rng.random());
            draws.map(|draw| FleetBudget::new(limits, 96, draw, now)).collect()
        };
        let mut hosts = fleet(start);
        let (mut requests, mut extra) = (Vec::new(), Vec::new());
        let mut rng = StdRng::seed_from_u64(seed + 100);
        for step in 0..50 * 50_u32 {
            let now = start + STEP * step;
            if step == 25 * 50 {
                hosts = fleet(now);
            }
            for host in &mut hosts {
                if rng.random_bool(1.5 * STEP.as_secs_f64()) {
                    requests.push(step);
                    host.request(GROUP, now);
                }
                while host.take(GROUP, ExtraUse::Retry, now) {
                    extra.push(step);
                }
            }
        }
        let window = 10 * 50;
        let count = |steps: &[u32], from: i64| {
            let within = |&&at: &&u32| (from..from + window).contains(&i64::from(at));
            steps.iter().filter(within).count() as f64
        };
        for from in (0..40 * 50).step_by(5) {
            let spent = count(&extra, from);
            // Requests count in this window, the one before, or the one half a window before.
            let counts = [0, window / 2, window].map(|back| count(&requests, from - back));
            let allowed = counts.into_iter().fold(0.0, f64::max) * limits.ratio + limits.slack;
            assert!(spent <= allowed, "seed {seed} from step {from}: {spent} of {allowed}");
        }
    }
}
