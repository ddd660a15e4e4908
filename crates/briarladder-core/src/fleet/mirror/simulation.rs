//! Random histories of a store, read page by page, watched, and handed on
//! between daemons that restart.
//!
//! After each step, each copy must hold what the store held at the revision
//! that the copy claims to know, or something newer.

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::{Item, ItemKey, Mirror, tests::present};

const KEYS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const PAGE_ITEMS: usize = 2;
const DAEMONS: usize = 3;
const STEPS_PER_HISTORY: usize = 400;
const HISTORIES: u64 = 300;

/// All changes of a store, and from which revision a watch can start.
#[derive(Default)]
struct Store {
    changes: Vec<Item>,
    compacted_revision: u64,
}

impl Store {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn change(&mut self, rng: &mut StdRng) {
        let name = KEYS.choose(rng).unwrap();
        let mut item = present(name, self.revision() + 1);
        if rng.random_bool(0.4) {
            item.value = None;
        }
        self.changes.push(item);
    }

    /// Returns the last change of a key up to a revision.
    fn last_change(&self, key: &ItemKey, revision: u64) -> Option<&Item> {
        self.changes
            .iter()
            .rfind(|item| item.key == *key && item.revision <= revision)
    }

    /// Returns the present items of some keys.
    fn read(&self, names: &[&str]) -> Vec<Item> {
        names
            .iter()
            .filter_map(|name| {
                let key = present(name, 1).key;
                self.last_change(&key, self.revision())
            })
            .filter(|item| item.value.is_some())
            .cloned()
            .collect()
    }
}

/// A listing that is read page by page.
struct Listing {
    revision: u64,
    pages_read: usize,
    items: Vec<Item>,
}

/// A peer's response that has not arrived yet.
struct Response {
    complete: bool,
    revision: u64,
    items: Vec<Item>,
}

#[derive(Default)]
struct Daemon {
    mirror: Mirror,
    listing: Option<Listing>,
    response: Option<Response>,
}

impl Daemon {
    fn read_page(&mut self, store: &Store) {
        let listing = self.listing.get_or_insert_with(|| Listing {
            revision: store.revision(),
            pages_read: 0,
            items: Vec::new(),
        });
        let start = listing.pages_read * PAGE_ITEMS;
        listing.items.extend(store.read(&KEYS[start..start + PAGE_ITEMS]));
        listing.pages_read += 1;
        if listing.pages_read * PAGE_ITEMS == KEYS.len() {
            let listing = self.listing.take().unwrap();
            self.apply_all(&listing.items, listing.revision);
        }
    }

    fn apply_all(&mut self, items: &[Item], revision: u64) {
        for item in items {
            self.mirror.apply(item.clone());
        }
        self.mirror.apply_snapshot(items, revision);
    }

    fn watch(&mut self, store: &Store) {
        let after = self.mirror.revision();
        if after < store.compacted_revision {
            return;
        }
        for item in &store.changes {
            if item.revision > after {
                self.mirror.apply(item.clone());
            }
        }
        self.mirror.advance(store.revision());
    }

    fn request_from(&mut self, peer: &Mirror) {
        let since = peer.changes_since(self.mirror.revision());
        self.response = Some(Response {
            complete: since.is_none(),
            revision: peer.revision(),
            items: since.unwrap_or_else(|| peer.items().cloned().collect()),
        });
    }

    fn receive(&mut self) {
        let Some(response) = self.response.take() else { return };
        if response.complete {
            self.apply_all(&response.items, response.revision);
            return;
        }
        for item in response.items {
            self.mirror.apply(item);
        }
        self.mirror.advance(response.revision);
    }
}

/// Panics unless a copy holds what the store held at the copy's revision, or
/// something newer.
fn assert_known(store: &Store, mirror: &Mirror, case: &str) {
    let revision = mirror.revision();
    for name in KEYS {
        let key = present(name, 1).key;
        let held = mirror.items().find(|item| item.key == key);
        let Some(last) = store.last_change(&key, revision) else {
            assert!(held.is_none_or(|held| held.revision > revision));
            continue;
        };
        let has_newer = store.last_change(&key, u64::MAX) != Some(last);
        match held {
            Some(held) if held.revision == last.revision => {
                assert!(last.value.is_some(), "{case}: {name} was removed");
            }
            Some(held) => assert!(
                held.revision > revision,
                "{case}: {name} is of {} at {revision}",
                held.revision
            ),
            None => assert!(
                last.value.is_none() || has_newer,
                "{case}: {name} is missing at {revision}"
            ),
        }
    }
}

/// Guards against a copy that claims to know all changes up to a revision and
/// misses one, for the rest of the day.
#[test]
fn revision_proves_all_changes() {
    for seed in 0..HISTORIES {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        let mut daemons: Vec<Daemon> =
            (0..DAEMONS).map(|_| Daemon::default()).collect();
        for step in 0..STEPS_PER_HISTORY {
            let at = rng.random_range(0..DAEMONS);
            match rng.random_range(0..20) {
                0..6 => store.change(&mut rng),
                6..11 => daemons[at].read_page(&store),
                11..13 => daemons[at].watch(&store),
                13..16 => {
                    let peer = rng.random_range(0..DAEMONS);
                    let peer = daemons[peer].mirror.clone();
                    daemons[at].request_from(&peer);
                }
                16..18 => daemons[at].receive(),
                18 => store.compacted_revision = store.revision(),
                _ => daemons[at] = Daemon::default(),
            }
            let case = format!("seed {seed} step {step}");
            assert_known(&store, &daemons[at].mirror, &case);
        }
    }
}
