//! Decides whether this daemon sends an order, and verifies its effect.

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

/// The delay of each further daemon in sender order. All daemons know of a
/// death after 12 s at most (example `membership_cost`), so a standby daemon
/// acts only if the membership views of daemons differ.
pub const STANDBY_DELAY: Duration = Duration::from_secs(15);

/// The time after the expected end of a load until the order is sent again.
pub const RESEND_AFTER: Duration = Duration::from_secs(10);

/// Returns the daemons that may send orders to a server. The first one sends
/// without delay, the others are standbys. `zone_daemons` are the live
/// daemons in the zone of the server.
#[must_use]
pub fn sender_order<'a>(
    server: &ServerName,
    zone_daemons: &'a [VmName],
) -> Vec<&'a VmName> {
    rendezvous::order(server.as_str(), zone_daemons)
}

/// What one daemon knows when it decides on an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderContext<'a> {
    /// The snapshot in force.
    pub snapshot: &'a Snapshot,
    /// The earlier snapshots to which requests may be pinned; see
    /// [`pin_duration`](super::pin_duration). Orders of these epochs may still
    /// arrive at engines.
    pub pinned: &'a [Arc<Snapshot>],
    /// The newest reports of live engines. An engine without a report counts
    /// as not ready. When the caller detects that a server is dead, it must
    /// drop all earlier reports: the dead server may have been the witness
    /// for an order that unloaded a version from another server, whose
    /// earlier report still shows the version. The report of the server to
    /// decide on must have been read just now.
    pub reports: &'a SortedMap<ServerName, LoadReport>,
    /// The schedule of the snapshot's epoch.
    pub schedule: &'a LoadSchedule,
    /// The time since this daemon adopted the epoch.
    pub since_adoption: Duration,
    /// The time since this daemon adopted its first epoch. It sends no order
    /// until it knows all epochs to which requests may be pinned.
    pub since_first_adoption: Duration,
    /// The VM of this daemon.
    pub local_vm: &'a VmName,
    /// The live daemons of this zone, this one included, sorted.
    pub zone_daemons: &'a [VmName],
}

/// The progress of one server under the epoch in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderProgress {
    /// How long the reports of the server have differed from the desired
    /// state.
    pub differs_for: Duration,
    /// The time since this daemon last sent an order to the server; `None` if
    /// it has sent none.
    pub since_last_order: Option<Duration>,
}

/// An order to send. It has the whole set of versions that should be loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// The epoch of the desired state.
    pub fencing_token: u64,
    /// The versions to load or keep. All others are unloaded.
    pub model_versions: SortedSet<ModelVersionName>,
}

/// Why an order is not sent yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// This daemon started too recently to know which versions are pinned.
    Starting,
    /// This daemon is a standby and an earlier one in sender order acts first.
    Standby,
    /// The scheduled load of the server has not started.
    WeightStore,
    /// An order was sent and its load takes time.
    Loading,
}

/// The decision on one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderDecision {
    /// The snapshot does not declare the server as an engine, or this daemon
    /// is not a live daemon of the zone.
    NotResponsible,
    /// There is no report of the server, so its state is unknown.
    NoReport,
    /// The server has the desired state and has seen the epoch.
    Converged,
    /// The server has seen a later epoch. This daemon must fetch the newer
    /// configuration.
    Superseded {
        /// The epoch that the server has seen.
        epoch_seen: u64,
    },
    /// No order is sent now; decide again later.
    Wait {
        /// The time after which to decide again.
        remaining: Duration,
        /// Why the order waits.
        reason: WaitReason,
    },
    /// No order is sent, because it would unload a version from its last
    /// ready server.
    Protected {
        /// The version.
        version: ModelVersionName,
    },
    /// Send this order. It has failed if no response arrives within the
    /// [`pin_duration`](super::pin_duration) of the previous epoch.
    Send(PlannedOrder),
}

impl OrderContext<'_> {
    /// Decides on one server.
    #[must_use]
    pub fn decide(
        &self,
        server: &ServerName,
        progress: OrderProgress,
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
        // An engine with the desired state that has not seen the epoch gets
        // the order, too: until then it would accept a delayed older one.
        if loaded == desired.model_versions && epoch_seen == desired.epoch {
            return OrderDecision::Converged;
        }
        if let Some(wait) =
            self.wait(server, position, &desired, report, progress)
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
        progress: OrderProgress,
    ) -> Option<OrderDecision> {
        let window = self.schedule.window(server);
        let needs_load = desired
            .model_versions
            .iter()
            .any(|version| !report.model_versions.contains(version));
        let load_time =
            if needs_load { window.load_time } else { Duration::ZERO };
        let start = if needs_load { window.start } else { Duration::ZERO };
        // Zones have a few hundred daemons. A saturated value only delays the
        // order.
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let standby_delay =
            (STANDBY_DELAY + load_time).saturating_mul(position);
        let epochs_known = pin_duration(self.snapshot);
        let waits = [
            (epochs_known, self.since_first_adoption, WaitReason::Starting),
            (start, self.since_adoption, WaitReason::WeightStore),
            (standby_delay + start, self.since_adoption, WaitReason::Standby),
            (standby_delay, progress.differs_for, WaitReason::Standby),
            (
                load_time + RESEND_AFTER,
                progress.since_last_order.unwrap_or(Duration::MAX),
                WaitReason::Loading,
            ),
        ];
        waits.into_iter().find_map(|(due, passed, reason)| {
            let remaining = due.checked_sub(passed)?;
            (remaining > Duration::ZERO)
                .then_some(OrderDecision::Wait { remaining, reason })
        })
    }

    /// Plans an order of the desired state, but keeps needed versions that no
    /// other server is certain to keep.
    fn plan(
        &self,
        server: &ServerName,
        desired: DesiredState,
        report: &LoadReport,
    ) -> OrderDecision {
        let needed = self.needed();
        let kept =
            self.versions_without_witness(server, &desired, report, &needed);
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
        // If the engine may still be loading one of the kept versions, no
        // order is sent: with an order of this epoch, the engine could accept
        // a later order of this epoch that interrupts the load.
        let send = if !kept.iter().all(reported) {
            false
        } else if model_versions.iter().all(reported) {
            // Nothing has to be loaded. The order only conveys the epoch,
            // after which the engine can be a witness for others.
            report.epoch_seen < fencing_token
        } else {
            // If servers swap versions and wait for each other, each loads
            // its new version beside the old one. In all other cases, waiting
            // saves the memory for both.
            self.is_swap(server, &kept, &needed)
        };
        if !send {
            return OrderDecision::Protected { version };
        }
        OrderDecision::Send(PlannedOrder { fencing_token, model_versions })
    }

    /// Returns the versions needed by the snapshot in force and the pinned
    /// ones.
    fn needed(&self) -> SortedSet<ModelVersionName> {
        let pinned = self.pinned.iter().map(|snapshot| &**snapshot);
        std::iter::once(self.snapshot)
            .chain(pinned)
            .flat_map(|snapshot| needed_versions(snapshot).as_slice().to_vec())
            .collect()
    }

    /// Returns the needed versions that the server would unload although no
    /// other server is certain to keep them.
    fn versions_without_witness(
        &self,
        server: &ServerName,
        desired: &DesiredState,
        report: &LoadReport,
        needed: &SortedSet<ModelVersionName>,
    ) -> Vec<ModelVersionName> {
        let loaded = report.model_versions.iter().cloned();
        let mut possibly_loaded: SortedSet<ModelVersionName> =
            loaded.collect();
        // Until the engine has seen this epoch, it may finish loads ordered by
        // an earlier epoch after its report.
        if report.epoch_seen < self.snapshot.epoch {
            let earlier = self.pinned.iter();
            let ordered =
                earlier.filter_map(|s| super::desired_state(s, server));
            for state in ordered {
                for version in &state.model_versions {
                    possibly_loaded.insert(version.clone());
                }
            }
        }
        let versions_without_witness =
            possibly_loaded.iter().filter(|version| {
                needed.contains(*version)
                    && !desired.model_versions.contains(*version)
                    && !self.has_witness(server, version)
            });
        versions_without_witness.cloned().collect()
    }

    /// Returns whether another ready server is certain to keep a version.
    fn has_witness(
        &self,
        server: &ServerName,
        version: &ModelVersionName,
    ) -> bool {
        let order_key = |name: &ServerName| {
            let score = rendezvous::score(version.as_str(), name.as_str());
            (std::cmp::Reverse(score), name.clone())
        };
        let own_key = order_key(server);
        self.reports.iter().any(|(name, report)| {
            name != server
                && report.state == ServerState::Ready
                && report.model_versions.contains(version)
                && self.is_safe_from_earlier_orders(name, report, version)
                && (is_desired(self.snapshot, name, version)
                    || order_key(name) < own_key)
        })
    }

    /// Returns whether no order of an earlier epoch can have unloaded a
    /// version since a server reported it, or can still unload it.
    fn is_safe_from_earlier_orders(
        &self,
        server: &ServerName,
        report: &LoadReport,
        version: &ModelVersionName,
    ) -> bool {
        // The engine rejects orders of epochs before the one it has seen.
        // Each later epoch must be known here and must keep the version on
        // the server.
        let mut later = report.epoch_seen..self.snapshot.epoch;
        let pinned = self.pinned;
        later.end.saturating_sub(later.start) <= pinned.len() as u64
            && later.start <= later.end
            && later.all(|epoch| {
                let snapshot = pinned.iter().find(|s| s.epoch == epoch);
                snapshot.is_some_and(|s| is_desired(s, server, version))
            })
    }

    /// Returns whether the servers that should load one of the `kept` versions
    /// all wait, too, because they are the last to have another version.
    fn is_swap(
        &self,
        server: &ServerName,
        kept: &[ModelVersionName],
        needed: &SortedSet<ModelVersionName>,
    ) -> bool {
        let needs_kept = |name: &ServerName| {
            let report = self.reports.get(name)?;
            let desired = desired_state(self.snapshot, name)?;
            let is_missing = kept.iter().any(|version| {
                desired.model_versions.contains(version)
                    && !report.model_versions.contains(version)
            });
            is_missing.then_some((desired, report))
        };
        let mut receivers = engines(self.snapshot)
            .filter(|engine| engine.name != *server)
            .filter_map(|engine| Some((engine, needs_kept(&engine.name)?)))
            .peekable();
        receivers.peek().is_some()
            && receivers.all(|(engine, (desired, report))| {
                let kept = self.versions_without_witness(
                    &engine.name,
                    &desired,
                    report,
                    needed,
                );
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

/// What the state of an engine shows about an order sent before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verification {
    /// The engine has the ordered state.
    Applied,
    /// The engine has seen the order and is still loading.
    Loading,
    /// The engine has not seen the order, which was lost or refused. It is
    /// sent again.
    NotSeen,
    /// The engine has seen a later epoch.
    Superseded {
        /// The later epoch.
        epoch_seen: u64,
    },
    /// The engine has a version that the order unloads, because the order of
    /// another sender has replaced it. It is sent again.
    Overwritten,
}

impl PlannedOrder {
    /// Compares the order with the state of the engine, read after sending.
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
