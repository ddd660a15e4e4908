//! Brings the engines of the zone to their declared state.
//!
//! The decisions are in `briarladder_core::orders`. A daemon looks at the
//! engines for which it is among the first in sender order, and reads the
//! other engines of the zone only while one of its own differs: they are the
//! witnesses that a version stays available.

use std::{collections::VecDeque, sync::Arc, time::Duration, time::Instant};

use briarladder_core::{
    load::LoadReport,
    names::{ModelVersionName, ServerName, VmName},
    objects::{
        Role,
        snapshot::{ResolvedServer, Snapshot},
    },
    orders::{
        LoadSchedule, OrderContext, OrderDecision, OrderProgress,
        PlannedOrder, Verification, desired_state, pin_duration, sender_order,
    },
    retry::AttemptFailure,
    sorted::{SortedMap, SortedSet},
    timeline::{EventKind, EventSubject},
};
use briarladder_wire::backend::Order;
use futures_util::StreamExt;

use crate::daemon::Daemon;

/// The time between two looks at the engines. With four engines a daemon at
/// 833 engines and 208 daemons a zone, looks cost about 2 KB/s.
const ROUND: Duration = Duration::from_secs(2);

/// The daemons in sender order that look at an engine. Those after them
/// would act so late that a new view of the members comes first.
const LOOKING_DAEMONS: usize = 3;

/// The reads that are on their way at once.
const CONCURRENT_READS: usize = 16;

/// Brings engines into line until the process ends.
pub async fn reconcile_engines(daemon: Arc<Daemon>) {
    let mut ticker = tokio::time::interval(ROUND);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut view: Option<View> = None;
    loop {
        ticker.tick().await;
        let Ok(snapshot) = daemon.snapshot() else { continue };
        let now = daemon.clock.now();
        let view = view.get_or_insert_with(|| View::new(&snapshot, now));
        view.follow(&snapshot, now);
        view.look(&daemon).await;
    }
}

/// What this daemon knows of the engines of its zone.
struct View {
    snapshot: Arc<Snapshot>,
    adopted_at: Instant,
    first_adopted_at: Instant,
    schedule: LoadSchedule,
    /// Earlier snapshots and when each was replaced here.
    pinned: VecDeque<Pinned>,
    reports: SortedMap<ServerName, LoadReport>,
    tracked: SortedMap<ServerName, Tracked>,
}

struct Pinned {
    snapshot: Arc<Snapshot>,
    replaced_at: Instant,
}

#[derive(Clone, Copy, Default)]
struct Tracked {
    differs_since: Option<Instant>,
    sent_at: Option<Instant>,
}

impl View {
    fn new(snapshot: &Arc<Snapshot>, now: Instant) -> View {
        View {
            snapshot: Arc::clone(snapshot),
            adopted_at: now,
            first_adopted_at: now,
            schedule: LoadSchedule::new(snapshot, None),
            pinned: VecDeque::new(),
            reports: SortedMap::new(),
            tracked: SortedMap::new(),
        }
    }

    /// Takes a new snapshot, and forgets those that no request can be
    /// pinned to any more.
    fn follow(&mut self, snapshot: &Arc<Snapshot>, now: Instant) {
        if snapshot.epoch > self.snapshot.epoch {
            let old =
                std::mem::replace(&mut self.snapshot, Arc::clone(snapshot));
            self.schedule = LoadSchedule::new(snapshot, Some(&old));
            self.pinned.push_back(Pinned { snapshot: old, replaced_at: now });
            self.adopted_at = now;
            self.tracked = SortedMap::new();
        }
        self.pinned.retain(|pinned| {
            pinned.replaced_at + pin_duration(&pinned.snapshot) > now
        });
    }

    async fn look(&mut self, daemon: &Arc<Daemon>) {
        let zone = &daemon.settings.zone;
        let zone_daemons = daemon.members.with(|m| m.live_in_zone(zone));
        let engines = engines_of_zone(daemon, &self.snapshot);
        let mine: Vec<Arc<ResolvedServer>> = engines
            .iter()
            .filter(|engine| is_looking(daemon, engine, &zone_daemons))
            .cloned()
            .collect();
        self.read(daemon, &mine).await;
        let now = daemon.clock.now();
        let mut differing = Vec::new();
        for engine in mine {
            if self.note_difference(&engine, now) {
                differing.push(engine);
            }
        }
        if differing.is_empty() {
            return;
        }
        self.read(daemon, &engines).await;
        for engine in differing {
            self.act(daemon, &engine, &zone_daemons).await;
        }
    }

    /// Reads the state of engines. When one is dead, all reports from before
    /// are dropped: it may have been the witness for another sender.
    async fn read(
        &mut self,
        daemon: &Arc<Daemon>,
        engines: &[Arc<ResolvedServer>],
    ) {
        let read = |engine: Arc<ResolvedServer>| async move {
            (daemon.backend.load(engine.address).await, engine)
        };
        let mut results = std::pin::pin!(
            futures_util::stream::iter(engines.to_vec())
                .map(read)
                .buffer_unordered(CONCURRENT_READS)
        );
        let mut fresh = Vec::new();
        let mut dead = false;
        while let Some((result, engine)) = results.next().await {
            match result {
                Ok(report) => {
                    super::config::observe_floor(daemon, report.epoch_seen);
                    fresh.push((engine.name.clone(), report));
                }
                Err(failure) => {
                    dead |= failure == AttemptFailure::ConnectFailed;
                    self.reports.remove(&engine.name);
                }
            }
        }
        if dead {
            self.reports = SortedMap::new();
        }
        for (name, report) in fresh {
            self.reports.insert(name, report);
        }
    }

    /// Notes whether an engine differs from its declared state.
    fn note_difference(
        &mut self,
        engine: &ResolvedServer,
        now: Instant,
    ) -> bool {
        let differs = self
            .reports
            .get(&engine.name)
            .is_some_and(|report| differs(&self.snapshot, engine, report));
        let tracked = self
            .tracked
            .get_or_insert_with(engine.name.clone(), Tracked::default);
        tracked.differs_since =
            differs.then(|| tracked.differs_since.unwrap_or(now));
        differs
    }

    async fn act(
        &mut self,
        daemon: &Arc<Daemon>,
        engine: &Arc<ResolvedServer>,
        zone_daemons: &[VmName],
    ) {
        let decision = self.decide(daemon, engine, zone_daemons);
        if !matches!(decision, OrderDecision::Send(_)) {
            log::debug!("orders: {}: {decision:?}", engine.name);
            return;
        }
        // The decision has to rest on a state read just now.
        self.read(daemon, std::slice::from_ref(engine)).await;
        match self.decide(daemon, engine, zone_daemons) {
            OrderDecision::Send(order) => {
                self.send(daemon, engine, order).await
            }
            OrderDecision::Protected { version } => log::debug!(
                "orders: {} keeps {version}: no other ready engine has it",
                engine.name
            ),
            OrderDecision::NotResponsible
            | OrderDecision::NoReport
            | OrderDecision::Converged
            | OrderDecision::Superseded { .. }
            | OrderDecision::Wait { .. } => {}
        }
    }

    fn decide(
        &self,
        daemon: &Daemon,
        engine: &ResolvedServer,
        zone_daemons: &[VmName],
    ) -> OrderDecision {
        let now = daemon.clock.now();
        let since = |at: Instant| now.saturating_duration_since(at);
        let pinned: Vec<Arc<Snapshot>> =
            self.pinned.iter().map(|p| Arc::clone(&p.snapshot)).collect();
        let situation = OrderContext {
            snapshot: &self.snapshot,
            pinned: &pinned,
            reports: &self.reports,
            schedule: &self.schedule,
            since_adoption: since(self.adopted_at),
            since_first_adoption: since(self.first_adopted_at),
            local_vm: &daemon.settings.vm,
            zone_daemons,
        };
        let tracked =
            self.tracked.get(&engine.name).copied().unwrap_or_default();
        let progress = OrderProgress {
            differs_for: tracked.differs_since.map_or(Duration::ZERO, since),
            since_last_order: tracked.sent_at.map(since),
        };
        situation.decide(&engine.name, progress)
    }

    async fn send(
        &mut self,
        daemon: &Arc<Daemon>,
        engine: &ResolvedServer,
        order: PlannedOrder,
    ) {
        let epoch = order.fencing_token;
        let message = Order {
            fencing_token: epoch,
            model_versions: order.model_versions.as_slice().to_vec(),
        };
        let subject = EventSubject::default()
            .with_epoch(epoch)
            .with_server(engine.name.clone());
        let sent = EventKind::OrderSent { fencing_token: epoch };
        daemon.events.record(subject, sent);
        if let Some(tracked) = self.tracked.get_mut(&engine.name) {
            tracked.sent_at = Some(daemon.clock.now());
        }
        let name = &engine.name;
        match daemon.backend.order(engine.address, &message).await {
            Ok(answer) if answer.accepted => {
                log::info!("orders: {name} took the order of epoch {epoch}");
            }
            Ok(answer) => log::warn!(
                "orders: {name} refused the order of epoch {epoch}: it has \
                 seen {}",
                answer.epoch_seen
            ),
            Err(failure) => {
                log::warn!("orders: {name} did not answer: {failure}");
            }
        }
        self.verify(daemon, engine, &order).await;
    }

    /// Reads an engine back, because an answer alone proves nothing for
    /// engines that ignore fencing tokens.
    async fn verify(
        &mut self,
        daemon: &Arc<Daemon>,
        engine: &ResolvedServer,
        order: &PlannedOrder,
    ) {
        let read_back = daemon.backend.load(engine.address).await;
        let Ok(report) = read_back else { return };
        let name = &engine.name;
        match order.verify(&report) {
            Verification::Applied | Verification::Loading => {}
            Verification::NotSeen => {
                log::warn!("orders: {name} has not seen the order");
            }
            Verification::Superseded { epoch_seen } => {
                log::warn!("orders: {name} has seen epoch {epoch_seen}");
                super::config::observe_floor(daemon, epoch_seen);
            }
            Verification::Overwritten => {
                log::warn!("orders: another order reached {name}");
            }
        }
        self.reports.insert(name.clone(), report);
    }
}

fn differs(
    snapshot: &Snapshot,
    engine: &ResolvedServer,
    report: &LoadReport,
) -> bool {
    let loaded: SortedSet<ModelVersionName> =
        report.model_versions.iter().cloned().collect();
    desired_state(snapshot, &engine.name).is_some_and(|desired| {
        report.epoch_seen < desired.epoch || loaded != desired.model_versions
    })
}

fn engines_of_zone(
    daemon: &Daemon,
    snapshot: &Snapshot,
) -> Vec<Arc<ResolvedServer>> {
    let zone = &daemon.settings.zone;
    snapshot
        .pools
        .values()
        .filter(|pool| pool.role == Role::Engine)
        .flat_map(|pool| &pool.servers)
        .filter(|server| server.zone == *zone)
        .cloned()
        .collect()
}

fn is_looking(
    daemon: &Daemon,
    engine: &ResolvedServer,
    zone_daemons: &[VmName],
) -> bool {
    let order = sender_order(&engine.name, zone_daemons);
    order.iter().take(LOOKING_DAEMONS).any(|vm| **vm == daemon.settings.vm)
}
