//! Random histories of a store, read page by page, watched, restored from
//! copies, and handed on between daemons that restart.
//!
//! After each step, each copy must hold what the store held at the version
//! that the copy claims to know, or something newer, and no configuration goes
//! back. Once all lost writes were made again and read, what each daemon
//! believes must be the content of the store.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::fleet::{
    reconciliation::{DEPARTURE_TIME, Reconciliation, ServerChange},
    server::{ServerState, Servers},
};

use super::{
    Applied, ConfigStamp, Listing, Mirror, PublishedConfig, ServerEntry,
    StoreVersion,
    tests::{FIRST_ERA, present},
};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const PAGE_ITEMS: usize = 2;
const DAEMONS: usize = 3;
const STEPS_PER_HISTORY: usize = 400;
const HISTORIES: u64 = 300;
const STEP_TIME: Duration = Duration::from_millis(50);

/// The most changes that a restore loses.
const MAX_LOST: usize = 8;

/// One write, to the entry of a server or to the configuration.
#[derive(Clone)]
enum Change {
    Server(ServerEntry),
    Config(ConfigStamp),
}

/// All changes of one era, including those of the copy that it began with.
#[derive(Clone, Default)]
struct Era {
    changes: Vec<Change>,
    compacted_revision: u64,
}

impl Era {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Returns the last change of a server up to a revision.
    fn last_change(&self, name: &str, revision: u64) -> Option<&ServerEntry> {
        self.server_changes().rfind(|entry| {
            *entry.name == *name && entry.version.revision <= revision
        })
    }

    fn server_changes(&self) -> impl DoubleEndedIterator<Item = &ServerEntry> {
        self.changes.iter().filter_map(|change| match change {
            Change::Server(entry) => Some(entry),
            Change::Config(_) => None,
        })
    }

    fn config(&self) -> Option<ConfigStamp> {
        self.changes.iter().rev().find_map(|change| match change {
            Change::Config(stamp) => Some(*stamp),
            Change::Server(_) => None,
        })
    }

    /// Returns the present entries of some servers.
    fn read(&self, names: &[&str]) -> Vec<ServerEntry> {
        names
            .iter()
            .filter_map(|name| self.last_change(name, u64::MAX))
            .filter(|entry| entry.server.is_some())
            .cloned()
            .collect()
    }
}

/// A store with all its eras, the last of which is in force.
struct Store {
    eras: Vec<Era>,
    /// The newest configuration that the operator has written.
    config_version: u64,
    /// Start time of the next process of a server.
    next_born_ms: u64,
    /// What servers wrote last, of those whose write was lost.
    lost: Vec<ServerEntry>,
    lost_config: bool,
}

impl Store {
    fn new() -> Store {
        Store {
            eras: vec![Era::default()],
            config_version: 0,
            next_born_ms: 1,
            lost: Vec::new(),
            lost_config: false,
        }
    }

    fn current(&self) -> &Era {
        self.eras.last().unwrap()
    }

    fn version(&self) -> StoreVersion {
        let revision = self.current().revision();
        StoreVersion { era: self.era_number(), revision }
    }

    fn era_number(&self) -> u64 {
        FIRST_ERA + self.eras.len() as u64 - 1
    }

    fn era(&self, number: u64) -> Option<&Era> {
        let at = number.checked_sub(FIRST_ERA)?;
        self.eras.get(usize::try_from(at).unwrap())
    }

    fn next_version(&self) -> StoreVersion {
        let version = self.version();
        version.at(version.revision + 1)
    }

    fn write(&mut self, change: Change) {
        self.eras.last_mut().unwrap().changes.push(change);
    }

    /// Writes the entry of a server: a new process, its end, or that it
    /// leaves.
    fn change_server(&mut self, rng: &mut StdRng) {
        let name = NAMES.choose(rng).unwrap();
        let version = self.next_version();
        let known = self.current().last_change(name, u64::MAX).cloned();
        let mut entry = ServerEntry { version, ..present(name, 0) };
        let server = entry.server.as_mut().unwrap();
        match known.and_then(|known| known.server) {
            Some(running) if rng.random_bool(0.6) => {
                server.born_ms = running.born_ms;
                server.state = ServerState::Draining;
                if rng.random_bool(0.5) {
                    entry.server = None;
                }
            }
            _ => {
                server.born_ms = self.next_born_ms;
                self.next_born_ms += 1;
            }
        }
        self.lost.retain(|lost| lost.name != entry.name);
        self.write(Change::Server(entry));
    }

    fn change_config(&mut self, rng: &mut StdRng) {
        self.config_version += rng.random_range(1..4);
        self.write_config();
    }

    fn write_config(&mut self) {
        let config_version = self.config_version;
        let written_at = self.next_version();
        self.write(Change::Config(ConfigStamp { config_version, written_at }));
        self.lost_config = false;
    }

    /// Goes back to a copy without the newest changes.
    fn restore(&mut self, rng: &mut StdRng) {
        let mut copy = self.current().clone();
        let lost = rng.random_range(0..=MAX_LOST).min(copy.changes.len());
        let kept = copy.changes.len() - lost;
        for change in copy.changes.split_off(kept) {
            match change {
                Change::Server(entry) => {
                    self.lost.retain(|known| known.name != entry.name);
                    self.lost.push(entry);
                }
                Change::Config(_) => self.lost_config = true,
            }
        }
        copy.compacted_revision = copy.compacted_revision.min(copy.revision());
        self.eras.push(copy);
        let era = self.era_number();
        for change in &mut self.eras.last_mut().unwrap().changes {
            match change {
                Change::Server(entry) => entry.version.era = era,
                Change::Config(stamp) => stamp.written_at.era = era,
            }
        }
    }

    /// Writes something again that was lost.
    fn write_again(&mut self, rng: &mut StdRng) {
        if self.lost_config && rng.random() {
            self.write_config();
        } else if !self.lost.is_empty() {
            let at = rng.random_range(0..self.lost.len());
            let mut entry = self.lost.swap_remove(at);
            entry.version = self.next_version();
            self.write(Change::Server(entry));
        }
    }
}

/// A listing that is read page by page.
struct PagedListing {
    version: StoreVersion,
    pages_read: usize,
    entries: Vec<ServerEntry>,
}

/// A peer's response that has not arrived yet.
struct Response {
    complete: bool,
    version: StoreVersion,
    after: StoreVersion,
    entries: Vec<ServerEntry>,
    config: Option<PublishedConfig>,
}

#[derive(Default)]
struct Daemon {
    mirror: Mirror,
    reconciliation: Reconciliation,
    servers: Servers,
    listing: Option<PagedListing>,
    response: Option<Response>,
    /// The greatest version of the configuration that it had.
    config_version: u64,
}

impl Daemon {
    fn read_page(&mut self, now: Instant, store: &Store) {
        let version = store.version();
        let listing = self.listing.get_or_insert_with(|| PagedListing {
            version,
            pages_read: 0,
            entries: Vec::new(),
        });
        if listing.version.era != version.era {
            self.listing = None;
            return;
        }
        let start = listing.pages_read * PAGE_ITEMS;
        let page = store.current().read(&NAMES[start..start + PAGE_ITEMS]);
        listing.entries.extend(page);
        listing.pages_read += 1;
        if listing.pages_read * PAGE_ITEMS == NAMES.len() {
            let listing = self.listing.take().unwrap();
            self.apply_config(store.current().config());
            self.apply_listing(now, &listing.entries, listing.version);
        }
    }

    fn apply_config(&mut self, stamp: Option<ConfigStamp>) {
        let Some(stamp) = stamp else { return };
        let bytes = stamp.config_version.to_string().into_bytes().into();
        self.mirror.apply_config(PublishedConfig { stamp, bytes });
    }

    fn apply_listing(
        &mut self,
        now: Instant,
        entries: &[ServerEntry],
        version: StoreVersion,
    ) {
        match self.mirror.apply_listing(entries, version) {
            Listing::Outdated => {}
            Listing::Changes(changes) => {
                for entry in changes {
                    self.apply_written(now, entry);
                }
            }
            Listing::NewEra => {
                let changes =
                    self.reconciliation.begin(now, &self.servers, entries);
                self.update_servers(now, changes);
            }
        }
    }

    fn apply_changes(
        &mut self,
        now: Instant,
        entries: Vec<ServerEntry>,
        version: StoreVersion,
    ) {
        for entry in entries {
            if self.mirror.apply(entry.clone()) != Applied::Outdated {
                self.apply_written(now, entry);
            }
        }
        self.mirror.advance(version);
    }

    fn apply_written(&mut self, now: Instant, entry: ServerEntry) {
        self.reconciliation.release(&entry.name);
        let ServerEntry { name, server, .. } = entry;
        self.update_servers(now, vec![ServerChange { name, server }]);
    }

    fn update_servers(&mut self, now: Instant, changes: Vec<ServerChange>) {
        for ServerChange { name, server } in changes {
            match (server, self.servers.get(&name)) {
                (Some(server), _) => self.servers.insert(server),
                (None, Some(known)) => {
                    self.reconciliation.record_departure(now, known);
                    self.servers.remove(&name);
                }
                (None, None) => {}
            }
        }
    }

    fn watch(&mut self, now: Instant, store: &Store) {
        let after = self.mirror.version();
        let era = store.current();
        if after.era != store.era_number()
            || after.revision < era.compacted_revision
        {
            return;
        }
        let entries =
            era.server_changes().filter(|entry| entry.version > after);
        let entries = entries.cloned().collect();
        self.apply_config(era.config());
        self.apply_changes(now, entries, store.version());
    }

    fn request_from(&mut self, peer: &Mirror) {
        let after = self.mirror.version();
        let stamp = self.mirror.config().map(|config| config.stamp);
        let is_ahead = after.era > peer.version().era;
        let since = peer.changes_since(after);
        self.response = Some(Response {
            complete: since.is_none() && !is_ahead,
            version: peer.version(),
            after,
            config: peer.config_after(stamp).cloned(),
            entries: match since {
                Some(changes) => changes,
                None if is_ahead => Vec::new(),
                None => peer.servers().cloned().collect(),
            },
        });
    }

    fn receive(&mut self, now: Instant) {
        let Some(response) = self.response.take() else { return };
        let Response { complete, version, after, entries, config } = response;
        if let Some(config) = config {
            self.mirror.apply_config(config);
        }
        if complete {
            self.apply_listing(now, &entries, version);
        } else if version.era == after.era {
            self.apply_changes(now, entries, version);
        }
    }

    fn expire(&mut self, now: Instant) {
        let changes = self.reconciliation.expire(now);
        self.update_servers(now, changes);
    }

    /// Panics if the configuration is older than it was.
    fn assert_config(&mut self, case: &str) {
        let config = self.mirror.config();
        let version = config.map_or(0, |config| config.stamp.config_version);
        assert!(version >= self.config_version, "{case}: config {version}");
        self.config_version = version;
    }
}

/// Panics unless a copy holds what the store held at the copy's version, or
/// something newer.
fn assert_known(store: &Store, mirror: &Mirror, case: &str) {
    let version = mirror.version();
    let Some(era) = store.era(version.era) else {
        assert_eq!(mirror.servers().len(), 0, "{case}");
        return;
    };
    for name in NAMES {
        let held = mirror.servers().find(|entry| *entry.name == *name);
        let Some(last) = era.last_change(name, version.revision) else {
            assert!(held.is_none_or(|held| held.version > version));
            continue;
        };
        let has_newer = era.last_change(name, u64::MAX) != Some(last);
        match held {
            Some(held) if held.version == last.version => {
                assert!(last.server.is_some(), "{case}: {name} was removed");
            }
            Some(held) => assert!(
                held.version > version,
                "{case}: {name} is of {} at {version}",
                held.version
            ),
            None => assert!(
                last.server.is_none() || has_newer,
                "{case}: {name} is missing at {version}"
            ),
        }
    }
}

/// Makes all lost writes again, lets a daemon read the store, and panics
/// unless it then believes what the store holds.
fn assert_converges(
    store: &mut Store,
    daemon: &mut Daemon,
    now: Instant,
    rng: &mut StdRng,
    case: &str,
) {
    while store.lost_config || !store.lost.is_empty() {
        store.write_again(rng);
    }
    daemon.listing = None;
    for _ in 0..NAMES.len() / PAGE_ITEMS {
        daemon.read_page(now, store);
    }
    daemon.watch(now, store);
    daemon.assert_config(case);
    daemon.expire(now + DEPARTURE_TIME);
    assert_eq!(daemon.mirror.version(), store.version(), "{case}");
    let config = daemon.mirror.config().map(|config| config.stamp);
    let version = config.map_or(0, |stamp| stamp.config_version);
    assert_eq!(version, store.config_version, "{case}");
    for name in NAMES {
        let last = store.current().last_change(name, u64::MAX);
        let expected = last.and_then(|entry| entry.server.as_ref());
        let believed = daemon.servers.get(name).map(|server| &**server);
        assert_eq!(believed, expected, "{case}: {name}");
    }
}

/// Guards against a copy that claims to know all changes up to a version and
/// misses one, for the rest of the day, also if the store was restored, and
/// against a configuration that goes back.
#[test]
fn version_proves_all_changes() {
    for seed in 0..HISTORIES {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::new();
        let mut now = Instant::now();
        let mut daemons: Vec<Daemon> =
            (0..DAEMONS).map(|_| Daemon::default()).collect();
        for step in 0..STEPS_PER_HISTORY {
            now += STEP_TIME;
            let at = rng.random_range(0..DAEMONS);
            match rng.random_range(0..100) {
                0..22 => store.change_server(&mut rng),
                22..28 => store.change_config(&mut rng),
                28..36 => store.write_again(&mut rng),
                36..39 => store.restore(&mut rng),
                39..62 => daemons[at].read_page(now, &store),
                62..72 => daemons[at].watch(now, &store),
                72..85 => {
                    let peer = rng.random_range(0..DAEMONS);
                    let peer = daemons[peer].mirror.clone();
                    daemons[at].request_from(&peer);
                }
                85..93 => daemons[at].receive(now),
                93..96 => {
                    let era = store.eras.last_mut().unwrap();
                    era.compacted_revision = era.revision();
                }
                _ => daemons[at] = Daemon::default(),
            }
            daemons[at].expire(now);
            let case = format!("seed {seed} step {step}");
            assert_known(&store, &daemons[at].mirror, &case);
            daemons[at].assert_config(&case);
        }
        for (at, daemon) in daemons.iter_mut().enumerate() {
            let case = format!("seed {seed} end, daemon {at}");
            assert_converges(&mut store, daemon, now, &mut rng, &case);
        }
    }
}
