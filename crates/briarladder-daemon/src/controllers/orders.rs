//! Reconciles the model versions that the zone's engines have loaded with
//! the declared ones, by sending orders.
//!
//! `briarladder_core::orders` decides which order to send, and when. A daemon
//! polls the engines for which it is among the first in sender order. It
//! polls the other engines of the zone only while one of its own differs
//! from its declared state, to make sure that a version which an order
//! unloads stays available on another engine.

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

/// The time between two reconciliations. With 833 engines and 208 daemons in
/// a zone, four engines per daemon, polling costs about 2 KB/s.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(2);

/// How many daemons, in sender order, poll an engine. Later ones would act
/// so late that the membership view changes first.
const CANDIDATE_SENDERS: usize = 3;

/// The maximum number of concurrent reads.
const CONCURRENT_READS: usize = 16;

/// Reconciles the zone's engines until the process ends.
pub async fn reconcile_engines(daemon: Arc<Daemon>) {
    let mut ticker = tokio::time::interval(RECONCILE_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reconciler: Option<Reconciler> = None;
    loop {
        ticker.tick().await;
        let Ok(snapshot) = daemon.snapshot() else { continue };
        let now = daemon.clock.now();
        let reconciler =
            reconciler.get_or_insert_with(|| Reconciler::new(&snapshot, now));
        reconciler.set_snapshot(&snapshot, now);
        reconciler.reconcile(&daemon).await;
    }
}

/// The declared and reported states of the engines of this daemon's zone.
struct Reconciler {
    snapshot: Arc<Snapshot>,
    /// When `snapshot` was adopted.
    adopted_at: Instant,
    /// When the first snapshot was adopted.
    first_adopted_at: Instant,
    schedule: LoadSchedule,
    /// Replaced snapshots that running requests may still use.
    pinned: VecDeque<PinnedSnapshot>,
    /// The last report of each engine, unless a later read failed.
    reports: SortedMap<ServerName, LoadReport>,
    progress: SortedMap<ServerName, EngineProgress>,
}

struct PinnedSnapshot {
    snapshot: Arc<Snapshot>,
    replaced_at: Instant,
}

/// The progress of one engine under the snapshot in force.
#[derive(Clone, Copy, Default)]
struct EngineProgress {
    /// Since when the engine differs from its declared state.
    differs_since: Option<Instant>,
    /// When this daemon last sent it an order.
    sent_at: Option<Instant>,
}

impl Reconciler {
    fn new(snapshot: &Arc<Snapshot>, now: Instant) -> Reconciler {
        Reconciler {
            snapshot: Arc::clone(snapshot),
            adopted_at: now,
            first_adopted_at: now,
            schedule: LoadSchedule::new(snapshot, None),
            pinned: VecDeque::new(),
            reports: SortedMap::new(),
            progress: SortedMap::new(),
        }
    }

    /// Applies a newer snapshot, and drops the replaced ones that no running
    /// request can use any more.
    fn set_snapshot(&mut self, snapshot: &Arc<Snapshot>, now: Instant) {
        if snapshot.epoch > self.snapshot.epoch {
            let old =
                std::mem::replace(&mut self.snapshot, Arc::clone(snapshot));
            self.schedule = LoadSchedule::new(snapshot, Some(&old));
            self.pinned
                .push_back(PinnedSnapshot { snapshot: old, replaced_at: now });
            self.adopted_at = now;
            self.progress = SortedMap::new();
        }
        self.pinned.retain(|pinned| {
            pinned.replaced_at + pin_duration(&pinned.snapshot) > now
        });
    }

    /// Polls the engines of this daemon, and acts on those that differ from
    /// their declared state.
    async fn reconcile(&mut self, daemon: &Arc<Daemon>) {
        let zone = &daemon.settings.zone;
        let zone_daemons = daemon.members.with(|m| m.live_in_zone(zone));
        let engines = engines_of_zone(daemon, &self.snapshot);
        let own_engines: Vec<Arc<ResolvedServer>> = engines
            .iter()
            .filter(|engine| {
                is_candidate_sender(daemon, engine, &zone_daemons)
            })
            .cloned()
            .collect();
        self.read_reports(daemon, &own_engines).await;
        let now = daemon.clock.now();
        let mut differing = Vec::new();
        for engine in own_engines {
            if self.record_difference(&engine, now) {
                differing.push(engine);
            }
        }
        if differing.is_empty() {
            return;
        }
        self.read_reports(daemon, &engines).await;
        for engine in differing {
            self.reconcile_engine(daemon, &engine, &zone_daemons).await;
        }
    }

    /// Reads the reports of engines. If one refuses connections, drops all
    /// earlier reports: another sender may have unloaded a version elsewhere
    /// because the dead engine still had it.
    async fn read_reports(
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
        let mut any_dead = false;
        while let Some((result, engine)) = results.next().await {
            match result {
                Ok(report) => {
                    super::config::observe_floor(daemon, report.epoch_seen);
                    fresh.push((engine.name.clone(), report));
                }
                Err(failure) => {
                    any_dead |= failure == AttemptFailure::ConnectFailed;
                    self.reports.remove(&engine.name);
                }
            }
        }
        if any_dead {
            self.reports = SortedMap::new();
        }
        for (name, report) in fresh {
            self.reports.insert(name, report);
        }
    }

    /// Records and returns whether an engine differs from its declared state.
    fn record_difference(
        &mut self,
        engine: &ResolvedServer,
        now: Instant,
    ) -> bool {
        let differs = self
            .reports
            .get(&engine.name)
            .is_some_and(|report| differs(&self.snapshot, engine, report));
        let progress = self
            .progress
            .get_or_insert_with(engine.name.clone(), EngineProgress::default);
        progress.differs_since =
            differs.then(|| progress.differs_since.unwrap_or(now));
        differs
    }

    /// Sends an order to an engine that differs, if this daemon should.
    async fn reconcile_engine(
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
        // The report may be outdated, so it is read again before an order is
        // sent.
        self.read_reports(daemon, std::slice::from_ref(engine)).await;
        match self.decide(daemon, engine, zone_daemons) {
            OrderDecision::Send(order) => {
                self.send(daemon, engine, order).await;
            }
            OrderDecision::Protected { version } => log::debug!(
                "orders: {} keeps {version}: no other ready engine of the \
                 zone has it",
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
        let context = OrderContext {
            snapshot: &self.snapshot,
            pinned: &pinned,
            reports: &self.reports,
            schedule: &self.schedule,
            since_adoption: since(self.adopted_at),
            since_first_adoption: since(self.first_adopted_at),
            local_vm: &daemon.settings.vm,
            zone_daemons,
        };
        let engine_progress =
            self.progress.get(&engine.name).copied().unwrap_or_default();
        let progress = OrderProgress {
            differs_for: engine_progress
                .differs_since
                .map_or(Duration::ZERO, since),
            since_last_order: engine_progress.sent_at.map(since),
        };
        context.decide(&engine.name, progress)
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
        if let Some(progress) = self.progress.get_mut(&engine.name) {
            progress.sent_at = Some(daemon.clock.now());
        }
        let name = &engine.name;
        match daemon.backend.order(engine.address, &message).await {
            Ok(response) if response.accepted => {
                log::info!(
                    "orders: {name} accepted the order of epoch {epoch}"
                );
            }
            Ok(response) => log::warn!(
                "orders: {name} refused the order of epoch {epoch}: it has \
                 seen epoch {}",
                response.epoch_seen
            ),
            Err(failure) => {
                log::warn!("orders: the order to {name} failed: {failure}");
            }
        }
        self.verify(daemon, engine, &order).await;
    }

    /// Reads the state of an engine after an order: an engine that ignores
    /// fencing tokens accepts any order, so its response proves nothing.
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
                log::warn!(
                    "orders: {name} reports an epoch below that of the order"
                );
            }
            Verification::Superseded { epoch_seen } => {
                log::warn!(
                    "orders: {name} has seen epoch {epoch_seen}, which is \
                     above that of the order"
                );
                super::config::observe_floor(daemon, epoch_seen);
            }
            Verification::Overwritten => {
                log::warn!("orders: another order overwrote that to {name}");
            }
        }
        self.reports.insert(name.clone(), report);
    }
}

/// Returns whether an engine has not seen the epoch in force, or has other
/// model versions than the declared ones.
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

/// Returns whether this daemon is one of the first in sender order for an
/// engine, and thus polls it.
fn is_candidate_sender(
    daemon: &Daemon,
    engine: &ResolvedServer,
    zone_daemons: &[VmName],
) -> bool {
    let order = sender_order(&engine.name, zone_daemons);
    order.iter().take(CANDIDATE_SENDERS).any(|vm| **vm == daemon.settings.vm)
}
