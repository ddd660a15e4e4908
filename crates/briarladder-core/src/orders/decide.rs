//! Whether this daemon sends an order now, and what became of one.

use std::{sync::Arc, time::Duration};

use crate::{
    load::{LoadReport, ServerState},
    names::{ModelVersionName, ServerName, VmName},
    objects::snapshot::Snapshot,
    orders::{
        DesiredState, LoadSchedule, desired_state, engines, needed_versions,
        pin_duration,
    },
    rendezvous,
    sorted::{SortedMap, SortedSet},
};

/// How much later each next daemon in sender order acts. All daemons know of
/// a death after 12 s at most (example `membership_cost`), so a stand-in
/// acts only where the views of the daemons differ.
pub const STANDBY_DELAY: Duration = Duration::from_secs(15);

/// How long after the expected end of a load the order is sent again.
pub const RESEND_AFTER: Duration = Duration::from_secs(10);

/// Returns the daemons that may order a server, first the one that does so
/// without delay. `zone_daemons` are the live daemons of the server's zone.
#[must_use]
pub fn sender_order<'a>(
    server: &ServerName,
    zone_daemons: &'a [VmName],
) -> Vec<&'a VmName> {
    rendezvous::order(server.as_str(), zone_daemons)
}

/// What one daemon knows when it decides on orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderContext<'a> {
    /// The snapshot in force.
    pub snapshot: &'a Snapshot,
    /// The earlier snapshots that requests may be pinned to; see
    /// [`pin_duration`](super::pin_duration). Orders of these epochs may still
    /// arrive at engines.
    pub pinned: &'a [Arc<Snapshot>],
    /// The newest reports of live engines. One that is missing counts as not
    /// ready. When the caller finds a server dead, it drops all reports from
    /// before: the dead one may have been the witness with which another
    /// sender unloaded a version from a server that still seems to have it.
    /// The report of the server in question must have been read just now.
    pub reports: &'a SortedMap<ServerName, LoadReport>,
    /// The schedule of the snapshot's epoch.
    pub schedule: &'a LoadSchedule,
    /// The time since this daemon adopted the epoch.
    pub since_adoption: Duration,
    /// The time since this daemon adopted its first epoch. Until it knows
    /// all epochs to which requests may be pinned, it sends nothing.
    pub since_first_adoption: Duration,
    /// This daemon.
    pub local_vm: &'a VmName,
    /// The live daemons of this zone, this one included, sorted.
    pub zone_daemons: &'a [VmName],
}

/// How far this daemon is with one server under the epoch in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderProgress {
    /// How long the server's reports have differed from the desired state.
    pub differs_for: Duration,
    /// The time since this daemon last sent it an order.
    pub since_last_order: Option<Duration>,
}

/// An order to send: the whole set of versions to have loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// The epoch from which it follows.
    pub fencing_token: u64,
    /// The versions; others are unloaded.
    pub model_versions: SortedSet<ModelVersionName>,
}

/// Why an order waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// This daemon started too recently to know which versions are pinned.
    Starting,
    /// The daemons before this one in sender order act first.
    Standby,
    /// It is not the server's turn at the weight store.
    WeightStore,
    /// An order was sent and its load takes time.
    Loading,
}

/// What to do about one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderDecision {
    /// The snapshot does not declare it as an engine, or this daemon is not
    /// a live daemon of the zone.
    NotResponsible,
    /// There is no report of it; it gets no order blindly.
    NoReport,
    /// It has the desired state and has seen the epoch.
    Converged,
    /// It has seen a later epoch. This daemon must fetch the configuration.
    Superseded {
        /// The epoch it has seen.
        epoch_seen: u64,
    },
    /// Decide again after this time.
    Wait {
        /// The remaining time.
        remaining: Duration,
        /// What it waits for.
        reason: WaitReason,
    },
    /// The order would unload this version from its last ready server.
    Protected {
        /// The version.
        version: ModelVersionName,
    },
    /// Send this order. An order that is not answered within
    /// [`pin_duration`](super::pin_duration) of the previous epoch has failed.
    Send(PlannedOrder),
}

impl OrderContext<'_> {
    /// Decides on one server.
    #[must_use]
    pub fn decide(
        &self,
        server: &ServerName,
        sent: OrderProgress,
    ) -> OrderDecision {
        let order = sender_order(server, self.zone_daemons);
        let position =
            order.iter().position(|daemon| *daemon == self.local_vm);
        let (Some(position), Some(desired)) =
            (position, desired_state(self.snapshot, server))
        else {
            return OrderDecision::NotResponsible;
        };
        let Some(report) = self.reports.get(server) else {
            return OrderDecision::NoReport;
        };
        let epoch_seen = report.epoch_seen;
        if epoch_seen > desired.epoch {
            return OrderDecision::Superseded { epoch_seen };
        }
        let loaded: SortedSet<_> =
            report.model_versions.iter().cloned().collect();
        // An engine that has the state but not the epoch gets the order all
        // the same: until then it would accept a delayed older one.
        if loaded == desired.model_versions && epoch_seen == desired.epoch {
            return OrderDecision::Converged;
        }
        if let Some(wait) = self.wait(server, position, &desired, report, sent)
        {
            return wait;
        }
        self.plan(server, desired, report)
    }

    fn wait(
        &self,
        server: &ServerName,
        position: usize,
        desired: &DesiredState,
        report: &LoadReport,
        sent: OrderProgress,
    ) -> Option<OrderDecision> {
        let slot = self.schedule.slot(server);
        let loads = desired
            .model_versions
            .iter()
            .any(|version| !report.model_versions.contains(version));
        let length = if loads { slot.length } else { Duration::ZERO };
        let start = if loads { slot.start } else { Duration::ZERO };
        // Zones have a few hundred daemons; a saturated value only waits.
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let turn = (STANDBY_DELAY + length).saturating_mul(position);
        let known = pin_duration(self.snapshot);
        let waits = [
            (known, self.since_first_adoption, WaitReason::Starting),
            (start, self.since_adoption, WaitReason::WeightStore),
            (turn + start, self.since_adoption, WaitReason::Standby),
            (turn, sent.differs_for, WaitReason::Standby),
            (
                length + RESEND_AFTER,
                sent.since_last_order.unwrap_or(Duration::MAX),
                WaitReason::Loading,
            ),
        ];
        waits.into_iter().find_map(|(due, passed, reason)| {
            let remaining = due.checked_sub(passed)?;
            (remaining > Duration::ZERO)
                .then_some(OrderDecision::Wait { remaining, reason })
        })
    }

    /// Orders the desired state, unless that would unload a needed version
    /// from its last ready server.
    fn plan(
        &self,
        server: &ServerName,
        desired: DesiredState,
        report: &LoadReport,
    ) -> OrderDecision {
        let needed = self.needed();
        let kept = self.unwitnessed(server, &desired, report, &needed);
        let fencing_token = desired.epoch;
        let Some(version) = kept.first().cloned() else {
            let model_versions = desired.model_versions;
            return OrderDecision::Send(PlannedOrder {
                fencing_token,
                model_versions,
            });
        };
        let model_versions: SortedSet<_> =
            desired.model_versions.iter().chain(&kept).cloned().collect();
        let reported = |version: &_| report.model_versions.contains(version);
        // A version that the engine may only be loading is waited for: in an
        // order of this epoch, a later order of this epoch could cut it off.
        let send = if !kept.iter().all(reported) {
            false
        } else if model_versions.iter().all(reported) {
            // Nothing is loaded. The engine only takes over the epoch, which
            // makes it a witness for others.
            report.epoch_seen < fencing_token
        } else {
            // Where servers wait for each other's version, each loads its
            // new one beside the old. Otherwise an engine would need memory
            // for both without cause.
            self.is_swap(server, &kept, &needed)
        };
        if !send {
            return OrderDecision::Protected { version };
        }
        OrderDecision::Send(PlannedOrder { fencing_token, model_versions })
    }

    fn needed(&self) -> SortedSet<ModelVersionName> {
        let pinned = self.pinned.iter().map(|snapshot| &**snapshot);
        std::iter::once(self.snapshot)
            .chain(pinned)
            .flat_map(|snapshot| needed_versions(snapshot).as_slice().to_vec())
            .collect()
    }

    /// Returns the needed versions that a server would lose although no
    /// other server is sure to keep them.
    fn unwitnessed(
        &self,
        server: &ServerName,
        desired: &DesiredState,
        report: &LoadReport,
        needed: &SortedSet<ModelVersionName>,
    ) -> Vec<ModelVersionName> {
        let loaded = report.model_versions.iter().cloned();
        let mut held: SortedSet<ModelVersionName> = loaded.collect();
        // Until the engine has seen this epoch, it may finish a load that an
        // earlier one ordered, after it reported.
        if report.epoch_seen < self.snapshot.epoch {
            let earlier = self.pinned.iter();
            let ordered =
                earlier.filter_map(|s| super::desired_state(s, server));
            for state in ordered {
                for version in &state.model_versions {
                    held.insert(version.clone());
                }
            }
        }
        let unwitnessed = held.iter().filter(|version| {
            needed.contains(*version)
                && !desired.model_versions.contains(*version)
                && !self.has_witness(server, version)
        });
        unwitnessed.cloned().collect()
    }

    fn has_witness(
        &self,
        server: &ServerName,
        version: &ModelVersionName,
    ) -> bool {
        let rank = |name: &ServerName| {
            let score = rendezvous::score(version.as_str(), name.as_str());
            (std::cmp::Reverse(score), name.clone())
        };
        let own_rank = rank(server);
        self.reports.iter().any(|(name, report)| {
            name != server
                && report.state == ServerState::Ready
                && report.model_versions.contains(version)
                && self.keeps_until_now(name, report, version)
                && (is_desired(self.snapshot, name, version)
                    || rank(name) < own_rank)
        })
    }

    /// Returns whether no order of an earlier epoch can have unloaded, or can
    /// still unload, a version that a server reported.
    fn keeps_until_now(
        &self,
        server: &ServerName,
        report: &LoadReport,
        version: &ModelVersionName,
    ) -> bool {
        // The engine rejects orders of epochs before the one it has seen.
        // Each later one must be known, and want the version there.
        let mut later = report.epoch_seen..self.snapshot.epoch;
        let pinned = self.pinned;
        later.end.saturating_sub(later.start) <= pinned.len() as u64
            && later.start <= later.end
            && later.all(|epoch| {
                let snapshot = pinned.iter().find(|s| s.epoch == epoch);
                snapshot.is_some_and(|s| is_desired(s, server, version))
            })
    }

    /// Returns whether each server that is to load one of `kept` must itself
    /// keep a version that it is the last to have.
    fn is_swap(
        &self,
        server: &ServerName,
        kept: &[ModelVersionName],
        needed: &SortedSet<ModelVersionName>,
    ) -> bool {
        let waits_for = |name: &ServerName| {
            let report = self.reports.get(name)?;
            let desired = desired_state(self.snapshot, name)?;
            let takes = kept.iter().any(|version| {
                desired.model_versions.contains(version)
                    && !report.model_versions.contains(version)
            });
            takes.then_some((desired, report))
        };
        let mut takers = engines(self.snapshot)
            .filter(|engine| engine.name != *server)
            .filter_map(|engine| Some((engine, waits_for(&engine.name)?)))
            .peekable();
        takers.peek().is_some()
            && takers.all(|(engine, (desired, report))| {
                let kept =
                    self.unwitnessed(&engine.name, &desired, report, needed);
                !kept.is_empty()
            })
    }
}

fn is_desired(
    snapshot: &Snapshot,
    server: &ServerName,
    version: &ModelVersionName,
) -> bool {
    desired_state(snapshot, server)
        .is_some_and(|desired| desired.model_versions.contains(version))
}

/// What reading an engine's state back shows about an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verification {
    /// The engine has the ordered state.
    Applied,
    /// The engine has seen the order and still loads.
    Loading,
    /// The engine has not seen the order: it was lost, or refused without a
    /// token. It is sent again.
    NotSeen,
    /// The engine has seen a later epoch.
    Superseded {
        /// That epoch.
        epoch_seen: u64,
    },
    /// The engine has a version that the order unloads: another sender's
    /// order overwrote this one. It is sent again.
    Overwritten,
}

impl PlannedOrder {
    /// Compares the order with the state read back after it was sent.
    #[must_use]
    pub fn verify(&self, read_back: &LoadReport) -> Verification {
        let epoch_seen = read_back.epoch_seen;
        if epoch_seen > self.fencing_token {
            return Verification::Superseded { epoch_seen };
        }
        if epoch_seen < self.fencing_token {
            return Verification::NotSeen;
        }
        let loaded = &read_back.model_versions;
        if loaded.iter().any(|version| !self.model_versions.contains(version))
        {
            return Verification::Overwritten;
        }
        if self.model_versions.iter().all(|v| loaded.contains(v)) {
            return Verification::Applied;
        }
        Verification::Loading
    }
}
