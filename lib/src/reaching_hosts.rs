//! Which other hosts reach the leafs, as they last said, and the choice of one of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;

/// Time for which a host's answer is used.
const ANSWER_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which a host that did not take a request is not used.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Number of hosts, chosen at random, of which the least loaded gets a request.
const CHOICES: usize = 3;
/// Cost of a request in progress at a host, compared with the round trip to it.
const REQUEST_COST: Duration = Duration::from_millis(3);

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    /// Round trip to the host.
    rtt: Duration,
    reaches_until: Option<Instant>,
    avoided_until: Option<Instant>,
    in_progress: u32,
}

impl Host {
    fn is_usable(&self, now: Instant) -> bool {
        self.reaches_until.is_some_and(|until| now < until) && !self.is_avoided(now)
    }

    fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    fn cost(&self) -> Duration {
        self.rtt + REQUEST_COST * self.in_progress
    }
}

/// Table of other hosts that may take requests.
#[derive(Debug, Default)]
pub struct ReachingHosts {
    hosts: HashMap<SocketAddr, Host>,
}

impl ReachingHosts {
    /// Records that a host says that it reaches the leafs, after a round trip of `rtt`, or that it
    /// does not.
    pub fn record_answer(&mut self, host: SocketAddr, reaches: bool, rtt: Duration, now: Instant) {
        if !reaches {
            return self.record_not_taken(host, now);
        }
        let entry = self.hosts.entry(host).or_default();
        entry.rtt = rtt;
        entry.reaches_until = Some(now + ANSWER_LIFETIME);
    }

    /// Records that a host did not take a request or did not answer.
    pub fn record_not_taken(&mut self, host: SocketAddr, now: Instant) {
        let entry = self.hosts.entry(host).or_default();
        entry.reaches_until = None;
        entry.avoided_until = Some(now + AVOID_TIME);
    }

    /// Returns whether no host is known to reach the leafs.
    pub fn is_empty(&self, now: Instant) -> bool {
        !self.knows_fitting(|_| true, now)
    }

    /// Returns whether a host that fits is known to reach the leafs.
    pub fn knows_fitting(&self, fits: impl Fn(SocketAddr) -> bool, now: Instant) -> bool {
        self.hosts.iter().any(|(&addr, host)| host.is_usable(now) && fits(addr))
    }

    /// Returns the round trip to a host; zero if it is not known.
    pub fn rtt(&self, host: SocketAddr) -> Duration {
        self.hosts.get(&host).map_or(Duration::ZERO, |entry| entry.rtt)
    }

    /// Returns whether a host should not be asked at present, as it was a moment ago.
    pub fn is_avoided(&self, host: SocketAddr, now: Instant) -> bool {
        self.hosts.get(&host).is_some_and(|entry| entry.is_avoided(now))
    }

    /// Chooses a host for a request that is not in `tried`, and counts the request as in progress
    /// there. Hosts that say that they reach the leafs are preferred by round trip and load.
    pub fn choose(
        &mut self,
        tried: &[SocketAddr],
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<SocketAddr> {
        self.choose_fitting(|host| !tried.contains(&host), rng, now)
    }

    /// Chooses a host that fits for a request, like [`Self::choose`].
    pub fn choose_fitting(
        &mut self,
        fits: impl Fn(SocketAddr) -> bool,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<SocketAddr> {
        let usable = |(addr, host): &(&SocketAddr, &mut Host)| host.is_usable(now) && fits(**addr);
        let choices = self.hosts.iter_mut().filter(usable).choose_multiple(rng, CHOICES);
        let (addr, host) = choices.into_iter().min_by_key(|(_, host)| host.cost())?;
        host.in_progress += 1;
        Some(*addr)
    }

    /// Records that a request at a host has ended, with any outcome.
    pub fn record_end(&mut self, host: SocketAddr) {
        if let Some(entry) = self.hosts.get_mut(&host) {
            entry.in_progress = entry.in_progress.saturating_sub(1);
        }
    }

    /// Drops hosts of which nothing is known any more.
    pub fn expire(&mut self, now: Instant) {
        self.hosts
            .retain(|_, host| host.in_progress > 0 || host.is_usable(now) || host.is_avoided(now));
    }
}
