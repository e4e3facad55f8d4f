//! The waits of hosts that read the platform or follow others add up to the time within which a
//! change must be applied. Hosts, readers and messages are simulated.

use std::time::Duration;

use jasmineusher_lib::read_schedule::ANSWER_GRACE;
use jasmineusher_lib::read_schedule::READ_TIME;
use jasmineusher_lib::read_schedule::ReadSchedule;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MS: Duration = Duration::from_millis(1);
/// Shortest bound, those of the users' deployments, and that of the planned size.
const BOUNDS_MS: [u32; 6] = [1_500, 3_000, 4_000, 5_000, 6_000, 17_000];

fn schedule(bound_ms: u32) -> ReadSchedule {
    ReadSchedule::try_from(bound_ms * MS).expect("the bound is long enough")
}

#[test]
fn bound_that_leaves_no_time_for_a_watch_is_refused() {
    let error = ReadSchedule::try_from(1_499 * MS).expect_err("the bound is too short");
    insta::assert_snapshot!(error, @"1.499s is too short for changes to be read; allowed are times from 1.5s");
}

/// The worst order for a host that watches the platform: a change right after its confirmation, then
/// no answer to its watch.
#[test]
fn lost_watch_is_noticed_in_time_to_read_the_change() {
    for bound_ms in BOUNDS_MS {
        let schedule = schedule(bound_ms);
        for age_ms in 0..=bound_ms {
            let age = age_ms * MS;
            let wait = schedule.watch_wait(Some(age));
            let noticed_after = (age + wait).max(schedule.watch_time()) + ANSWER_GRACE;
            if age <= schedule.watch_time() {
                assert!(noticed_after + READ_TIME <= schedule.bound(), "{bound_ms} {age_ms}");
            } else {
                assert_eq!(wait, Duration::ZERO, "{bound_ms} {age_ms}: it is asked at once");
            }
        }
        assert_eq!(schedule.watch_wait(None), Duration::ZERO);
    }
}

/// How a reader of the simulation treats its followers from the time on at which the platform
/// answers it no more.
#[derive(Clone, Copy, Debug)]
enum Reader {
    /// It runs on and answers polls.
    Runs,
    /// It answers nothing.
    Hangs,
    /// It answers each poll only after this time.
    Lags(Duration),
}

/// Plays a host whose readers were last confirmed at 0, when the platform fell silent to them, and
/// that was confirmed by one of them. Returns when it asks the platform, and the number of polls.
fn play_follower(
    schedule: ReadSchedule,
    readers: &[Reader],
    rng: &mut StdRng,
) -> (Duration, usize) {
    let way = rng.random_range(1..20) * MS;
    let mut now = rng.random_range(0..=schedule.watch_time().as_millis() as u32) * MS;
    let mut avoided = vec![false; readers.len()];
    let mut polls = 0;
    loop {
        // All readers were confirmed at 0, so that no poll confirms the host anew.
        let Some(times) = schedule.poll_times(Some(now)) else { return (now, polls) };
        let usable: Vec<_> = (0..readers.len()).filter(|&reader| !avoided[reader]).collect();
        if usable.is_empty() {
            return (now, polls);
        }
        let reader = usable[rng.random_range(0..usable.len())];
        polls += 1;
        let arrived_at = now + way;
        let held = times.wait.min(schedule.fresh_for(Some(arrived_at)));
        let replied_at = arrived_at + held;
        let is_fresh = schedule.is_fresh(Some(replied_at));
        let received_at = match readers[reader] {
            Reader::Runs => Some(replied_at + way),
            Reader::Hangs => None,
            Reader::Lags(lag) => Some(replied_at + lag + way),
        };
        match received_at.filter(|at| *at <= now + times.limit) {
            Some(at) => {
                now = at;
                avoided[reader] = !is_fresh;
            }
            None => {
                now += times.limit;
                avoided[reader] = true;
            }
        }
    }
}

/// Guards against hosts that stay on an old configuration for as long as readers, which the platform
/// does not answer, tell them that there is none.
#[test]
fn host_asks_the_platform_in_time_whatever_its_readers_do() {
    let mut rng = StdRng::seed_from_u64(40);
    for bound_ms in BOUNDS_MS {
        let schedule = schedule(bound_ms);
        for run in 0..2_000 {
            let readers: Vec<_> = (0..rng.random_range(1..=3))
                .map(|_| match rng.random_range(0..3) {
                    0 => Reader::Runs,
                    1 => Reader::Hangs,
                    _ => Reader::Lags(rng.random_range(0..2_000) * MS),
                })
                .collect();
            let (asked_at, polls) = play_follower(schedule, &readers, &mut rng);
            let sum = asked_at + READ_TIME;
            assert!(sum <= schedule.bound(), "bound {bound_ms}, run {run}: {sum:?}, {readers:?}");
            assert!(polls <= 40, "bound {bound_ms}, run {run}: {polls} polls, {readers:?}");
        }
    }
}

/// While the readers are answered, the platform is asked by nobody else, also if it is slow.
#[test]
fn host_with_readers_in_touch_asks_the_platform_nothing() {
    let mut rng = StdRng::seed_from_u64(41);
    for bound_ms in BOUNDS_MS {
        let schedule = schedule(bound_ms);
        let delay = rng.random_range(5..200) * MS;
        let period = schedule.watch_time() + delay;
        // Time of the last confirmation of the reader before `at`, which begins at 0.
        let confirmed =
            |at: Duration| at - Duration::from_nanos((at.as_nanos() % period.as_nanos()) as u64);
        let (mut now, mut own, mut polls) = (Duration::ZERO, Duration::ZERO, 0);
        while now < Duration::from_secs(60) {
            let times = schedule.poll_times(Some(now - own));
            let times = times.unwrap_or_else(|| panic!("bound {bound_ms}: it asks at {now:?}"));
            let way = rng.random_range(1..20) * MS;
            let arrived_at = now + way;
            let mut replied_at = arrived_at;
            let ends =
                |at: Duration| schedule.ends_poll(Some(at - confirmed(at)), Some(at - own.min(at)));
            while replied_at < arrived_at + times.wait && !ends(replied_at) {
                replied_at += MS;
            }
            now = replied_at + way;
            own = own.max(confirmed(replied_at).saturating_sub(way));
            polls += 1;
        }
        assert!(polls <= 180, "bound {bound_ms}: {polls} polls in a minute");
    }
}
