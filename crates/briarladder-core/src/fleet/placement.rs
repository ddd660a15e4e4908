//! Chooses the backend server of a request.
//!
//! Servers in the zone of this daemon come first, then those in its region,
//! then the rest. Requests that share a prompt prefix go to the same server,
//! which has it in its prefix cache; all daemons choose the same one without
//! communication. Another server is chosen if that one holds clearly more of
//! this daemon's requests than the others, or if its responses start so late
//! that processing the prefix elsewhere is faster. A prefix that takes longer
//! to process than a round trip between regions has one server in the whole
//! fleet; a shorter one has one in each zone.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::fleet::{
//!     placement::{Placement, PlacementRequest},
//!     server::ListedServer,
//! };
//!
//! let near = ListedServer::new("near", "plans", "10.0.0.1:80".parse()?);
//! let placement = Placement::default();
//! let request =
//!     PlacementRequest { zone: "", affinity: None, tried: &[], random: 0 };
//! let now = Instant::now();
//! let chosen = placement.choose(now, &request, [&near], |_| 0);
//! assert_eq!(&*chosen.unwrap().name, "near");
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{rendezvous, sorted::SortedMap};

use super::{residency::AllowedRegions, server::ListedServer};

/// First time that a failed server is avoided; each further failure doubles
/// it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Longest time that a failed server is avoided, so that it is used again soon
/// after it recovers.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Number of servers in rendezvous order of a prefix that are considered. It
/// is small so that a prefix is cached on few servers.
const AFFINITY_CANDIDATES: usize = 3;

/// Weight of the newest response in the smoothed delay of a server.
const DELAY_SMOOTHING: f64 = 0.3;

/// Time constant of the exponential decay of a delay: it falls to about a
/// third in this time, so that a server that was slow is tried again.
const DELAY_DECAY: Duration = Duration::from_millis(1500);

/// Number of requests that a preferred server may hold above twice the mean of
/// its group, so that a few requests never move a prefix.
const AFFINITY_SLACK: usize = 3;

/// Prompt tokens that an engine processes per millisecond. The order of
/// magnitude is enough to tell long prefixes from short ones.
const PREFILL_TOKENS_PER_MS: u64 = 60;

/// Round trip between regions plus an allowance for its cost. Processing a
/// prefix takes longer than this from 2,400 tokens on.
const CROSS_REGION_ROUND_TRIP: Duration = Duration::from_millis(40);

/// A prompt prefix that requests share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Affinity<'a> {
    /// Identifies its content.
    pub prefix: &'a str,
    /// Its length in tokens.
    pub tokens: u64,
}

impl Affinity<'_> {
    /// Returns whether processing the prefix takes longer than a round trip to
    /// a server that has it cached.
    #[must_use]
    pub fn outweighs_distance(self) -> bool {
        prefill_time(self.tokens) > CROSS_REGION_ROUND_TRIP
    }
}

/// Estimates the order of magnitude of the time in which an engine processes
/// prompt tokens.
#[must_use]
pub fn prefill_time(tokens: u64) -> Duration {
    Duration::from_millis(tokens / PREFILL_TOKENS_PER_MS)
}

/// The inputs for choosing the server of a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The zone of this daemon.
    pub zone: &'a str,
    /// The shared prompt prefix, if there is one.
    pub affinity: Option<Affinity<'a>>,
    /// The servers that the request was sent to before.
    pub tried: &'a [Arc<str>],
    /// Random number that distributes requests among equal servers.
    pub random: u64,
}

/// Distance between two zones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// In the same zone.
    SameZone,
    /// In the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// The region of each zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Regions {
    of_zone: SortedMap<Arc<str>, Arc<str>>,
}

impl Regions {
    /// Creates the map from zones to regions.
    #[must_use]
    pub fn new(of_zone: SortedMap<Arc<str>, Arc<str>>) -> Regions {
        Regions { of_zone }
    }

    /// Returns whether a request may be served in a zone. The region of a
    /// zone that is not in the settings is unknown.
    #[must_use]
    pub fn allow(&self, allowed: &AllowedRegions, zone: &str) -> bool {
        allowed.allows(self.of_zone.get(zone).map(|region| &**region))
    }

    /// Returns whether any zone lies in an allowed region.
    #[must_use]
    pub fn have_allowed(&self, allowed: &AllowedRegions) -> bool {
        allowed.is_any()
            || self.of_zone.values().any(|name| allowed.allows(Some(name)))
    }

    /// Returns how far apart two zones are.
    #[must_use]
    pub fn distance(&self, a: &str, b: &str) -> Distance {
        if a == b {
            return Distance::SameZone;
        }
        match (self.of_zone.get(a), self.of_zone.get(b)) {
            (Some(a), Some(b)) if a == b => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}

/// The state of one server, from the requests that this daemon sent to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLoad {
    failures: u32,
    backoff_until: Option<Instant>,
    delay: Option<Delay>,
    /// Time to process the prompts that this daemon has sent and whose
    /// responses have not started.
    pending_prefill: Duration,
}

/// Smoothed delay of the responses of a server beyond the expected time.
#[derive(Clone, Copy, Debug)]
struct Delay {
    smoothed: Duration,
    observed_at: Instant,
}

impl Delay {
    fn at(self, now: Instant) -> Duration {
        let age = now.duration_since(self.observed_at).as_secs_f64();
        self.smoothed.mul_f64((-age / DELAY_DECAY.as_secs_f64()).exp())
    }
}

impl ServerLoad {
    /// Estimates how long a new request waits until the server processes its
    /// prompt.
    fn wait(&self, now: Instant) -> Duration {
        let delay = self.delay.map_or(Duration::ZERO, |delay| delay.at(now));
        delay.max(self.pending_prefill)
    }
}

/// Chooses servers from the observed failures, delays and load.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    regions: Regions,
    loads: SortedMap<Arc<str>, ServerLoad>,
}

impl Placement {
    /// Creates a placement without observations.
    #[must_use]
    pub fn new(regions: Regions) -> Placement {
        Placement { regions, loads: SortedMap::new() }
    }

    /// Returns how far apart two zones are.
    #[must_use]
    pub fn distance(&self, a: &str, b: &str) -> Distance {
        self.regions.distance(a, b)
    }

    /// Records that a server failed to respond.
    pub fn record_failure(&mut self, now: Instant, server: &Arc<str>) {
        let load = self
            .loads
            .get_or_insert_with(Arc::clone(server), ServerLoad::default);
        let backoff = INITIAL_BACKOFF * (1 << load.failures.min(4));
        load.failures += 1;
        load.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Records that a server responded.
    pub fn record_success(&mut self, server: &str) {
        if let Some(load) = self.loads.get_mut(server) {
            load.failures = 0;
            load.backoff_until = None;
        }
    }

    /// Records that a prompt was sent that takes this time to process.
    pub fn record_prefill_start(
        &mut self,
        server: &Arc<str>,
        prefill: Duration,
    ) {
        let load = self
            .loads
            .get_or_insert_with(Arc::clone(server), ServerLoad::default);
        load.pending_prefill += prefill;
    }

    /// Records that the response to a prompt has started, or that there will
    /// be none.
    pub fn record_prefill_end(&mut self, server: &str, prefill: Duration) {
        if let Some(load) = self.loads.get_mut(server) {
            load.pending_prefill =
                load.pending_prefill.saturating_sub(prefill);
        }
    }

    /// Records how much later than expected a response started.
    pub fn record_delay(
        &mut self,
        now: Instant,
        server: &Arc<str>,
        delay: Duration,
    ) {
        let load = self
            .loads
            .get_or_insert_with(Arc::clone(server), ServerLoad::default);
        let previous =
            load.delay.map_or(Duration::ZERO, |previous| previous.at(now));
        let smoothed = previous.mul_f64(1.0 - DELAY_SMOOTHING)
            + delay.mul_f64(DELAY_SMOOTHING);
        load.delay = Some(Delay { smoothed, observed_at: now });
    }

    /// Forgets a server that is no longer listed.
    pub fn remove_server(&mut self, server: &str) {
        self.loads.remove(server);
    }

    /// Chooses a server, or returns `None` if all were tried. `in_flight`
    /// returns the number of requests of this daemon that a server holds.
    pub fn choose<'a>(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        servers: impl IntoIterator<Item = &'a ListedServer>,
        in_flight: impl Fn(&str) -> usize,
    ) -> Option<&'a ListedServer> {
        let untried: Vec<&ListedServer> = servers
            .into_iter()
            .filter(|server| !request.tried.contains(&server.name))
            .collect();
        let any_zone =
            request.affinity.is_some_and(Affinity::outweighs_distance);
        let preference = |server: &&ListedServer| {
            let distance = if any_zone {
                Distance::SameZone
            } else {
                self.regions.distance(request.zone, &server.zone)
            };
            (self.is_backed_off(now, &server.name), distance)
        };
        let best = untried.iter().map(preference).min()?;
        let group: Vec<&ListedServer> = untried
            .into_iter()
            .filter(|server| preference(server) == best)
            .collect();
        match request.affinity {
            Some(affinity) => {
                self.choose_by_affinity(now, affinity, &group, &in_flight)
            }
            None => choose_by_load(request.random, &group, &in_flight),
        }
    }

    /// Returns the server that is expected to start soonest among the first in
    /// rendezvous order of the prefix, leaving out those that are clearly
    /// busier than the group. All but the first must process the prefix.
    fn choose_by_affinity<'a>(
        &self,
        now: Instant,
        affinity: Affinity<'_>,
        group: &[&'a ListedServer],
        in_flight: &impl Fn(&str) -> usize,
    ) -> Option<&'a ListedServer> {
        let total: usize =
            group.iter().map(|server| in_flight(&server.name)).sum();
        let max_in_flight = 2 * total / group.len().max(1) + AFFINITY_SLACK;
        let names = group.iter().map(|server| ByName(server));
        let order = rendezvous::order(affinity.prefix, names);
        let first = order.first().map(|server| server.0);
        order
            .into_iter()
            .enumerate()
            .filter(|(_, server)| in_flight(&server.0.name) < max_in_flight)
            .take(AFFINITY_CANDIDATES)
            .min_by_key(|(at, server)| {
                let prefill = match at {
                    0 => Duration::ZERO,
                    _ => prefill_time(affinity.tokens),
                };
                let load = self.loads.get(&*server.0.name);
                let wait = load.map_or(Duration::ZERO, |load| load.wait(now));
                (prefill + wait, *at)
            })
            .map(|(_, server)| server.0)
            .or(first)
    }

    fn is_backed_off(&self, now: Instant, server: &str) -> bool {
        self.loads
            .get(server)
            .and_then(|load| load.backoff_until)
            .is_some_and(|until| now < until)
    }
}

/// Returns the less loaded of two random servers.
fn choose_by_load<'a>(
    random: u64,
    group: &[&'a ListedServer],
    in_flight: &impl Fn(&str) -> usize,
) -> Option<&'a ListedServer> {
    let len = u64::try_from(group.len()).ok().filter(|&len| len > 0)?;
    let at = |random: u64| {
        // OK because the remainder is less than a length.
        group[usize::try_from(random % len).unwrap()]
    };
    let (a, b) = (at(random), at(random / len));
    Some(if in_flight(&b.name) < in_flight(&a.name) { b } else { a })
}

struct ByName<'a>(&'a ListedServer);

impl AsRef<str> for ByName<'_> {
    fn as_ref(&self) -> &str {
        &self.0.name
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server(name: &str, zone: &str) -> ListedServer {
        let address = "127.0.0.1:1".parse().unwrap();
        let mut server = ListedServer::new(name, "s", address);
        server.zone = Arc::from(zone);
        server
    }

    fn request<'a>(
        prefix: Option<&'a str>,
        tried: &'a [Arc<str>],
    ) -> PlacementRequest<'a> {
        let affinity = prefix.map(|prefix| Affinity { prefix, tokens: 300 });
        PlacementRequest { zone: "z1", affinity, tried, random: 5 }
    }

    /// Guards against traffic between zones while a server of this zone is
    /// available.
    #[test]
    fn choose_own_zone_first() {
        let servers = [server("far", "z2"), server("near", "z1")];
        let mut placement = Placement::default();
        let now = Instant::now();
        let chosen =
            placement.choose(now, &request(None, &[]), &servers, |_| 9);
        assert_eq!(&*chosen.unwrap().name, "near");
        placement.record_failure(now, &Arc::from("near"));
        let chosen =
            placement.choose(now, &request(None, &[]), &servers, |_| 0);
        assert_eq!(&*chosen.unwrap().name, "far");
        let later = now + MAX_BACKOFF;
        let chosen =
            placement.choose(later, &request(None, &[]), &servers, |_| 0);
        assert_eq!(&*chosen.unwrap().name, "near");
    }

    /// Guards against a prefix that is processed on many servers, and against
    /// a popular prefix that overloads one.
    #[test]
    fn choose_affinity_bounded() {
        let servers: Vec<ListedServer> =
            (0..6).map(|at| server(&format!("s{at}"), "z1")).collect();
        let placement = Placement::default();
        let now = Instant::now();
        let choose = |busy: Option<&str>| {
            let in_flight = |name: &str| {
                if busy == Some(name) { 60 } else { 1 }
            };
            let request = request(Some("prefix"), &[]);
            placement.choose(now, &request, &servers, in_flight).unwrap()
        };
        let preferred = choose(None).name.clone();
        assert_eq!(choose(None).name, preferred);
        assert_ne!(choose(Some(&preferred)).name, preferred);
    }

    /// Guards against a long prefix that is processed in each zone, and
    /// against a short prefix that sends requests to another zone.
    #[test]
    fn choose_affinity_by_length() {
        let servers: Vec<ListedServer> = (0..9)
            .map(|at| server(&format!("s{at}"), &format!("z{}", at % 3)))
            .collect();
        let placement = Placement::default();
        let now = Instant::now();
        let choose = |zone: &str, tokens| {
            let affinity = Some(Affinity { prefix: "p", tokens });
            let request =
                PlacementRequest { zone, affinity, tried: &[], random: 0 };
            let chosen = placement.choose(now, &request, &servers, |_| 0);
            chosen.unwrap().clone()
        };
        assert_eq!(choose("z0", 13_300).name, choose("z1", 13_300).name);
        assert_eq!(&*choose("z0", 300).zone, "z0");
        assert_eq!(&*choose("z1", 300).zone, "z1");
    }

    /// Guards against requests with a short prefix that queue behind long
    /// prompts at their preferred server while others are idle, and against a
    /// long prefix that moves because of a short delay.
    #[test]
    fn choose_delayed_preferred() {
        let servers: Vec<ListedServer> =
            (0..6).map(|at| server(&format!("s{at}"), "z1")).collect();
        let now = Instant::now();
        let choose = |placement: &Placement, now, tokens| {
            let affinity = Some(Affinity { prefix: "p", tokens });
            let request = PlacementRequest {
                zone: "z1",
                affinity,
                tried: &[],
                random: 0,
            };
            let chosen = placement.choose(now, &request, &servers, |_| 0);
            chosen.unwrap().name.clone()
        };
        let mut placement = Placement::default();
        let preferred = choose(&placement, now, 350);
        placement.record_delay(now, &preferred, Duration::from_millis(400));
        assert_ne!(choose(&placement, now, 350), preferred);
        assert_eq!(choose(&placement, now, 13_300), preferred);
        let later = now + Duration::from_secs(30);
        assert_eq!(choose(&placement, later, 350), preferred);
        let prefill = Duration::from_millis(900);
        placement.record_prefill_start(&preferred, prefill);
        assert_ne!(choose(&placement, later, 13_300), preferred);
        placement.record_prefill_end(&preferred, prefill);
        assert_eq!(choose(&placement, later, 13_300), preferred);
    }

    /// Guards against a retry at a server that already failed the request.
    #[test]
    fn choose_skips_tried() {
        let servers = [server("a", "z1")];
        let tried = [Arc::from("a")];
        let now = Instant::now();
        let chosen = Placement::default().choose(
            now,
            &request(None, &tried),
            &servers,
            |_| 0,
        );
        assert!(chosen.is_none());
    }
}
