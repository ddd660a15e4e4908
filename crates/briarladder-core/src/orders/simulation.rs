//! Simulates random interleavings of two senders, four engines, crashes and
//! changes of the epoch.
//!
//! Engines of pool a check fencing tokens; their orders may be delayed,
//! repeated, lost or reordered. Engines of pool b ignore tokens; their orders
//! arrive at once. A sender reads the state of the engine to which it sends;
//! its reports of all other engines may be old.

use std::sync::Arc;

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use super::{
    tests::{LONG, fleet, report, server},
    *,
};
use crate::{load::LoadReport, names::VmName, sorted::SortedMap};

/// Whether simulated senders obey the rules under test.
#[derive(Clone, Copy, PartialEq)]
enum Rules {
    /// Send the orders of `OrderContext::decide`.
    Obeyed,
    /// Order the desired state even if a version is protected.
    Ignored,
}

struct Engine {
    name: ServerName,
    loaded: SortedSet<ModelVersionName>,
    target: SortedSet<ModelVersionName>,
    epoch_seen: u64,
}

struct Sender {
    name: VmName,
    epoch: usize,
    reports: SortedMap<ServerName, LoadReport>,
}

struct Sent {
    engine: usize,
    order: PlannedOrder,
    /// Whether an engine has crashed since the decision. It may have been the
    /// witness, which no sender can foresee.
    excused: bool,
    /// The versions that had a ready server at the decision. The sender can't
    /// know of later ones, which are in no report.
    ready_versions: SortedSet<ModelVersionName>,
}

struct World {
    rng: SmallRng,
    rules: Rules,
    epochs: Vec<Arc<Snapshot>>,
    /// The index of the oldest epoch with pinned requests or daemons.
    oldest_pinned: usize,
    engines: Vec<Engine>,
    senders: Vec<Sender>,
    in_flight: Vec<Sent>,
    violations: u32,
}

const STATES: [(&[&str], &[&str]); 6] = [
    (&["v1"], &["v2"]),
    (&["v2"], &["v1"]),
    (&["v1", "v3"], &["v2"]),
    (&["v9"], &["v3"]),
    (&["v2"], &["v2"]),
    (&["v3"], &["v1", "v2"]),
];

impl World {
    fn new(seed: u64, rules: Rules) -> World {
        let first = fleet(1, STATES[0].0, STATES[0].1);
        let engines = ["a-1", "a-2", "b-1", "b-2"].map(|name| {
            let name = server(name);
            let loaded = desired_state(&first, &name).unwrap().model_versions;
            Engine { name, target: loaded.clone(), loaded, epoch_seen: 1 }
        });
        let senders = ["vm-1", "vm-2"].map(|name| Sender {
            name: VmName::new(name).unwrap(),
            epoch: 0,
            reports: SortedMap::new(),
        });
        World {
            rng: SmallRng::seed_from_u64(seed),
            rules,
            epochs: vec![first],
            oldest_pinned: 0,
            engines: engines.into(),
            senders: senders.into(),
            in_flight: Vec::new(),
            violations: 0,
        }
    }

    fn needed(&self, epoch: usize) -> SortedSet<ModelVersionName> {
        let epochs = self.oldest_pinned..=epoch;
        let epochs = epochs.map(|at| needed_versions(&self.epochs[at]));
        epochs.flat_map(|set| set.as_slice().to_vec()).collect()
    }

    fn has_server(&self, version: &ModelVersionName) -> bool {
        self.engines.iter().any(|engine| engine.loaded.contains(version))
    }

    fn read(&mut self, sender: usize, engine: usize) {
        let engine = &self.engines[engine];
        let read = report(engine.epoch_seen, &engine.loaded);
        self.senders[sender].reports.insert(engine.name.clone(), read);
    }

    fn decide(&mut self, sender: usize, engine: usize) {
        let checks_fencing = engine < 2;
        self.read(sender, engine);
        let Sender { name, epoch, reports } = &self.senders[sender];
        let snapshot = &self.epochs[*epoch];
        let about = &self.engines[engine].name;
        let situation = OrderContext {
            snapshot,
            pinned: &self.epochs[self.oldest_pinned.min(*epoch)..*epoch],
            reports,
            schedule: &LoadSchedule::default(),
            since_adoption: LONG,
            since_first_adoption: LONG,
            local_vm: name,
            zone_daemons: &self.senders.sender_names(),
        };
        let sent = OrderProgress { differs_for: LONG, since_last_order: None };
        let decision = situation.decide(about, sent);
        let order = match (self.rules, decision) {
            (_, OrderDecision::Send(order)) => order,
            (Rules::Ignored, OrderDecision::Protected { .. }) => {
                PlannedOrder {
                    fencing_token: snapshot.epoch,
                    model_versions: desired_state(snapshot, about)
                        .unwrap()
                        .model_versions,
                }
            }
            _ => return,
        };
        let needed = self.needed(self.senders[sender].epoch);
        let ready_versions = needed.iter().filter(|v| self.has_server(v));
        let ready_versions = ready_versions.cloned().collect();
        let sent = Sent { engine, order, excused: false, ready_versions };
        if checks_fencing {
            self.in_flight.push(sent);
        } else {
            self.apply(&sent);
        }
    }

    fn apply(&mut self, sent: &Sent) {
        let token = sent.order.fencing_token;
        let epoch = usize::try_from(token - 1).unwrap();
        let needed = self.needed(epoch);
        let ready_versions: Vec<ModelVersionName> = needed
            .iter()
            .filter(|v| self.has_server(v) && sent.ready_versions.contains(*v))
            .cloned()
            .collect();
        let engine = &mut self.engines[sent.engine];
        if token < engine.epoch_seen {
            return;
        }
        engine.epoch_seen = token;
        engine.target = sent.order.model_versions.clone();
        let target = &engine.target;
        engine.loaded = engine
            .loaded
            .iter()
            .filter(|v| target.contains(*v))
            .cloned()
            .collect();
        let lost =
            ready_versions.iter().any(|version| !self.has_server(version));
        if lost && !sent.excused {
            self.violations += 1;
        }
    }

    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.in_flight.len());
        let sent = self.in_flight.swap_remove(at);
        match self.rng.random_range(0..8) {
            0 => {}
            1 => {
                self.apply(&sent);
                self.in_flight.push(sent);
            }
            _ => self.apply(&sent),
        }
    }

    fn crash_engine(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];
        engine.loaded = SortedSet::new();
        engine.target = SortedSet::new();
        engine.epoch_seen = 0;
        for sender in &mut self.senders {
            sender.reports = SortedMap::new();
        }
        for sent in &mut self.in_flight {
            sent.excused = true;
        }
    }

    fn step(&mut self) {
        let sender = self.rng.random_range(0..self.senders.len());
        let engine = self.rng.random_range(0..self.engines.len());
        match self.rng.random_range(0..100) {
            0..30 => self.read(sender, engine),
            30..60 => self.decide(sender, engine),
            60..80 => self.deliver(),
            80..90 => {
                let engine = &mut self.engines[engine];
                engine.loaded = engine.target.clone();
            }
            90..92 => {
                let (a, b) = STATES.choose(&mut self.rng).unwrap();
                let epoch = self.epochs.len() as u64 + 1;
                self.epochs.push(fleet(epoch, a, b));
            }
            92..96 => {
                let sender = &mut self.senders[sender];
                sender.epoch = (sender.epoch + 1).min(self.epochs.len() - 1);
            }
            96..98 => {
                // Epochs of orders in flight count as pinned, too.
                let adopted = self.senders.iter().map(|s| s.epoch as u64 + 1);
                let tokens =
                    self.in_flight.iter().map(|s| s.order.fencing_token);
                let oldest = adopted.chain(tokens).min().unwrap();
                let next = self.oldest_pinned as u64 + 2;
                self.oldest_pinned =
                    usize::try_from(next.min(oldest) - 1).unwrap();
            }
            98 => self.crash_engine(engine),
            _ => {
                // A restarted sender has no reports and reads the newest
                // epoch.
                self.senders[sender].reports = SortedMap::new();
                self.senders[sender].epoch = self.epochs.len() - 1;
            }
        }
    }

    /// Continues without faults. Returns whether all engines reach the desired
    /// state of the newest epoch.
    fn converges(&mut self) -> bool {
        let last = self.epochs.len() - 1;
        self.oldest_pinned = last;
        while let Some(sent) = self.in_flight.pop() {
            self.apply(&sent);
        }
        for _ in 0..6 {
            for sender in 0..self.senders.len() {
                self.senders[sender].epoch = last;
                for engine in 0..self.engines.len() {
                    (0..4).for_each(|at| self.read(sender, at));
                    self.decide(sender, engine);
                    while let Some(sent) = self.in_flight.pop() {
                        self.apply(&sent);
                    }
                }
            }
            for engine in &mut self.engines {
                engine.loaded = engine.target.clone();
            }
        }
        self.engines.iter().all(|engine| {
            let state =
                desired_state(&self.epochs[last], &engine.name).unwrap();
            engine.loaded == state.model_versions
        })
    }
}

trait SenderNames {
    fn sender_names(&self) -> Vec<VmName>;
}

impl SenderNames for Vec<Sender> {
    fn sender_names(&self) -> Vec<VmName> {
        self.iter().map(|sender| sender.name.clone()).collect()
    }
}

/// Guards against an upgrade that does not finish, and against orders that
/// together unload a needed version from its last ready server. Checks random
/// interleavings.
#[test]
fn orders_converge_and_keep_versions() {
    for seed in 0..400 {
        let mut world = World::new(seed, Rules::Obeyed);
        for step in 0..400 {
            world.step();
            assert_eq!(world.violations, 0, "seed {seed} step {step}");
        }
        assert!(world.converges(), "seed {seed}");
        assert_eq!(world.violations, 0, "seed {seed} after the faults");
    }
}

/// Guards against a simulation that can't fail: without the protection, the
/// same interleavings must lose versions.
#[test]
fn simulation_detects_missing_protection() {
    let lost = (0..50).filter(|seed| {
        let mut world = World::new(*seed, Rules::Ignored);
        (0..400).for_each(|_| world.step());
        world.violations > 0
    });
    assert!(lost.count() > 25);
}
