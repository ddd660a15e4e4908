//! Distributes configurations: fetches new ones from the platform or from
//! peers, puts them in force and notifies peers.
//!
//! `briarladder_core::config` decides which configuration to adopt. Two
//! daemons of each zone watch the platform, the others fetch from peers, and
//! a daemon that stays behind for too long reads the platform itself.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use briarladder_core::{
    config::{
        Announcement, ChunkRef, ConfigStore, Digest, IgnoreReason, Manifest,
        ManifestResponse, OfferOutcome, PlatformReadSchedule, Readiness,
        notify_targets,
    },
    membership::View,
    names::VmName,
    objects::snapshot::Snapshot,
    platform_version::PlatformVersion,
    ticket::TicketKeyring,
    timeline::{EventKind, EventSubject},
};
use briarladder_wire::peers::{ConfigNotice, ManifestQuery};
use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{
    live_peers::{Scope, live_peers},
    platform::{PlatformRead, ReadMode},
};
use crate::{blackboard::Configuration, daemon::Daemon};

/// How long a starting daemon waits for peers and backend servers to report
/// their epochs before it accepts the epoch that the platform shows. Peers
/// respond in milliseconds; a daemon that is partitioned from all of them
/// must still start.
const FLOOR_TIMEOUT: Duration = Duration::from_secs(3);

/// How many backend servers of each pool a starting daemon queries for the
/// highest epoch they have seen. One that ran a request of the newest epoch
/// is enough; four allow for some that are down.
const QUERIED_SERVERS_PER_POOL: usize = 4;

/// How often a daemon checks for a newer configuration when no peer notifies
/// it.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// How often a starting daemon checks whether the list of VMs was read.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The delay before a retry after a failed read of the platform.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The configuration store of this daemon and the state of its updates.
#[derive(Debug, Default)]
pub struct ConfigState {
    store: Mutex<ConfigStore>,
    /// Notified when a peer may have a newer configuration, or when the
    /// backend servers have reported their epochs.
    update_available: Notify,
    /// Whether backend servers were queried for the epochs they have seen.
    servers_queried: AtomicBool,
    /// Serializes putting configurations in force.
    applying: Mutex<()>,
    /// Serializes pulls from peers.
    pulling: tokio::sync::Mutex<()>,
}

impl ConfigState {
    /// Calls a closure with the store locked.
    pub fn with<T>(&self, run: impl FnOnce(&mut ConfigStore) -> T) -> T {
        run(&mut self.store.lock())
    }

    /// Returns the epochs of this daemon, which each probe carries.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        self.with(|store| store.announcement())
    }
}

/// Records the epochs that a peer announced, and wakes [`follow_peers`] if
/// the peer has a newer configuration.
pub fn observe_announcement(daemon: &Daemon, announcement: Announcement) {
    let now = daemon.clock.now();
    let newer = daemon.config.with(|store| {
        store.observe_peer(announcement, now);
        store.wanted_manifest().is_some()
    });
    if newer {
        daemon.config.update_available.notify_one();
    }
}

/// Records an epoch that was in force elsewhere, below which no
/// configuration may be adopted.
pub fn observe_floor(daemon: &Daemon, epoch: u64) {
    let now = daemon.clock.now();
    daemon.config.with(|store| store.observe_floor(epoch, now));
}

/// Watches the platform while this daemon is one of its zone's readers.
/// Otherwise reads it only when this daemon has stayed behind for too long.
///
/// A starting daemon that is not a reader fetches the first configuration
/// from peers: if all daemons of a zone start together and each reads every
/// chunk, they exceed the platform's call limit many times over.
pub async fn watch_platform(daemon: Arc<Daemon>) {
    let mut reads = PlatformReadSchedule::new(&daemon.settings.vm);
    let mut seen = PlatformVersion::default();
    let started_at = daemon.clock.now();
    wait_for_vm_list(&daemon).await;
    let mut mode = None;
    loop {
        let now = daemon.clock.now();
        if mode.is_none() {
            let known = daemon.config.announcement().known;
            let behind_since = daemon.config.with(|s| s.behind_since());
            // A starting daemon may have no peer that tells it that it is
            // behind.
            let behind_since =
                behind_since.or((known == 0).then_some(started_at));
            if super::membership::is_reader(&daemon) {
                mode = Some(ReadMode::NewerThan(seen));
            } else if reads
                .next_read_at(behind_since)
                .is_some_and(|at| at <= now)
            {
                reads.record_read(behind_since, now);
                mode = Some(ReadMode::Current);
            }
        }
        let Some(read_mode) = mode.take() else {
            tokio::time::sleep(FOLLOW_INTERVAL).await;
            continue;
        };
        match daemon.platform.manifest(read_mode).await {
            Ok(read) => {
                daemon.pause_monitor.record_refresh(View::Configuration, now);
                seen = process_read(&daemon, seen, read).await;
            }
            Err(error) => {
                log::warn!("config: the platform can't be read: {error:#}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Processes the manifest that the platform returned, if any, and returns the
/// version from which to watch it.
///
/// That is the version which the platform itself has shown, also if a newer
/// epoch is known: after a restore it gives that epoch out again, and its
/// operator must learn that it is not put in force.
async fn process_read(
    daemon: &Arc<Daemon>,
    seen: PlatformVersion,
    read: PlatformRead<Manifest>,
) -> PlatformVersion {
    let number = read.value.as_ref().map_or(0, |manifest| manifest.epoch);
    let shown = PlatformVersion { era: read.era, number };
    if let Some(manifest) = read.value {
        warn_if_older(daemon, seen, shown);
        process_manifest(daemon, manifest, Source::Platform).await;
        let missing = daemon.config.with(|s| s.missing_chunks());
        if !missing.is_empty() {
            // The next watch returns the manifest again.
            tokio::time::sleep(RETRY_DELAY).await;
            return seen;
        }
    }
    seen.max(shown)
}

/// Logs that a restored platform shows an older epoch than the one in force.
fn warn_if_older(
    daemon: &Daemon,
    seen: PlatformVersion,
    shown: PlatformVersion,
) {
    let in_force = daemon.config.announcement().in_force;
    if shown.number < in_force && shown > seen {
        log::warn!(
            "config: the platform shows epoch {}, but epoch {in_force} is in \
             force and stays; publish an epoch above it",
            shown.number
        );
    }
}

/// Waits for the list of VMs, for at most [`FLOOR_TIMEOUT`]. Without the
/// list, each daemon assumes that it is alone in its zone and thus a reader.
async fn wait_for_vm_list(daemon: &Daemon) {
    let started_at = daemon.clock.now();
    while !super::membership::vm_list_loaded(daemon) {
        let waited = daemon.clock.now().saturating_duration_since(started_at);
        if waited >= FLOOR_TIMEOUT {
            return;
        }
        tokio::time::sleep(LIST_CHECK_INTERVAL).await;
    }
}

/// Pulls newer configurations from peers. Confirms the lowest epoch that may
/// be in force once peers and backend servers have reported theirs, or after
/// three seconds; until then no configuration is put in force.
pub async fn follow_peers(daemon: Arc<Daemon>) {
    let started_at = daemon.clock.now();
    let mut confirmed = false;
    loop {
        let notified = daemon.config.update_available.notified();
        // The check is the same after a notification and after a timeout.
        let _ = tokio::time::timeout(FOLLOW_INTERVAL, notified).await;
        let now = daemon.clock.now();
        if !confirmed
            && (all_epochs_reported(&daemon)
                || now.saturating_duration_since(started_at) >= FLOOR_TIMEOUT)
        {
            confirmed = true;
            let held = daemon.config.with(|s| s.confirm_floor(now));
            if let Some(outcome) = held {
                process_outcome(&daemon, outcome);
            }
        }
        let behind = daemon.config.with(|s| s.wanted_manifest().is_some());
        if behind
            && let Some(peer) =
                super::membership::peer_with_newer_epoch(&daemon)
        {
            pull(&daemon, peer).await;
        }
        publish(&daemon, None);
    }
}

/// Returns whether peers and backend servers have reported their epochs.
fn all_epochs_reported(daemon: &Daemon) -> bool {
    daemon.config.servers_queried.load(Ordering::Acquire)
        && super::membership::peers_contacted(daemon)
}

/// Queries backend servers of a configuration that is not in force yet for
/// the highest epoch they have seen. When the platform is stale, a daemon
/// without peers has no other way to learn the newest epoch.
async fn query_server_epochs(daemon: Arc<Daemon>, snapshot: Arc<Snapshot>) {
    let zone = &daemon.settings.zone;
    let servers = snapshot.pools.values().flat_map(|pool| {
        let near = pool.servers.iter().filter(|s| s.zone == *zone);
        let far = pool.servers.iter().filter(|s| s.zone != *zone);
        near.chain(far).take(QUERIED_SERVERS_PER_POOL)
    });
    let reports = servers.map(|server| daemon.backend.load(server.address));
    for report in join_all(reports).await.into_iter().flatten() {
        observe_floor(&daemon, report.epoch_seen);
    }
    daemon.config.servers_queried.store(true, Ordering::Release);
    daemon.config.update_available.notify_one();
}

/// Where a manifest came from. Its chunks are fetched from there, too.
#[derive(Clone, Copy, Debug)]
enum Source {
    Platform,
    Peer(SocketAddr),
}

/// Pulls a newer configuration from a peer. Pulls run one at a time, and each
/// checks again whether one is needed: a daemon receives several notices of
/// the same change and must fetch it only once.
async fn pull(daemon: &Arc<Daemon>, peer: SocketAddr) {
    let _pulling = daemon.config.pulling.lock().await;
    let query = daemon.config.with(|s| {
        let have = s.newest_manifest().map(Manifest::id);
        s.wanted_manifest().map(|which| ManifestQuery { which, have })
    });
    let Some(query) = query else { return };
    let response = match daemon.peers.config_manifest(peer, query).await {
        Ok(response) => response,
        Err(error) => {
            log::debug!(
                "config: requesting the manifest from {peer} failed: {error}"
            );
            return;
        }
    };
    let manifest = match response {
        ManifestResponse::Nothing => return,
        ManifestResponse::Full(manifest) => manifest,
        ManifestResponse::Delta(delta) => {
            let base = daemon.config.with(|s| s.newest_manifest().cloned());
            let applied = base.and_then(|base| delta.apply(&base).ok());
            let Some(manifest) = applied else {
                log::warn!(
                    "config: the manifest delta from {peer} can't be applied \
                     to the newest manifest of this daemon"
                );
                return;
            };
            manifest
        }
    };
    process_manifest(daemon, manifest, Source::Peer(peer)).await;
}

/// Offers a manifest to the store and fetches the chunks that are missing.
async fn process_manifest(
    daemon: &Arc<Daemon>,
    manifest: Manifest,
    source: Source,
) {
    let now = daemon.clock.now();
    let outcome = daemon.config.with(|s| s.offer_manifest(manifest, now));
    let missing = match &outcome {
        OfferOutcome::Missing(missing) => missing.clone(),
        OfferOutcome::Ignored(IgnoreReason::BelowFloor { floor }) => {
            log::warn!(
                "config: ignored a manifest with an epoch below the floor \
                 {floor}"
            );
            Vec::new()
        }
        _ => Vec::new(),
    };
    process_outcome(daemon, outcome);
    for chunk in missing {
        let Some(bytes) = fetch_chunk(daemon, &chunk, source).await else {
            return;
        };
        let now = daemon.clock.now();
        let outcome =
            daemon.config.with(|s| s.offer_chunk(&chunk.digest, &bytes, now));
        process_outcome(daemon, outcome);
    }
}

async fn fetch_chunk(
    daemon: &Daemon,
    chunk: &ChunkRef,
    source: Source,
) -> Option<Vec<u8>> {
    let digest: &Digest = &chunk.digest;
    match source {
        Source::Platform => match daemon.platform.chunk(digest).await {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::warn!("config: chunk {digest} can't be read: {error:#}");
                None
            }
        },
        Source::Peer(peer) => {
            let response = daemon.peers.config_chunk(peer, *digest).await;
            Some(response.ok()?.text?.into_bytes())
        }
    }
}

/// Acts on the store's decision: applies an adopted configuration, and
/// notifies peers of an adopted or rejected one.
fn process_outcome(daemon: &Arc<Daemon>, outcome: OfferOutcome) {
    match outcome {
        OfferOutcome::Ignored(_) | OfferOutcome::Missing(_) => {}
        OfferOutcome::Held(snapshot) => {
            let epoch = snapshot.epoch;
            log::info!(
                "config: epoch {epoch} is held until peers and backend \
                 servers report the epochs they have seen"
            );
            tokio::spawn(query_server_epochs(Arc::clone(daemon), snapshot));
        }
        OfferOutcome::Adopted(snapshot) => {
            let epoch = snapshot.epoch;
            log::info!("config: epoch {epoch} is in force");
            apply_snapshot(daemon, &snapshot);
            let kind = EventKind::ConfigAdopted { adopted_epoch: epoch };
            daemon.events.record(EventSubject::default(), kind);
            notify_peers(daemon, epoch);
        }
        OfferOutcome::Rejected(rejection) => {
            log::error!(
                "config: {rejection}; the last good epoch stays in force"
            );
            let kind = EventKind::ConfigRejected {
                rejected_epoch: rejection.id.epoch,
                reason: rejection.reason.to_string().as_str().into(),
            };
            daemon.events.record(EventSubject::default(), kind);
            notify_peers(daemon, rejection.id.epoch);
        }
    }
}

/// Puts a configuration in force, unless a newer one is.
fn apply_snapshot(daemon: &Arc<Daemon>, snapshot: &Arc<Snapshot>) {
    let now = daemon.clock.now();
    let _applying = daemon.config.applying.lock();
    let newest = daemon.blackboard.configuration().snapshot.clone();
    // Two tasks may adopt two epochs and get here in reverse order.
    if newest.is_some_and(|newest| newest.epoch > snapshot.epoch) {
        return;
    }
    // The router and the slots are updated before the snapshot is published,
    // so that every request of the new epoch finds its pools there.
    daemon.router.lock().apply_snapshot(now, snapshot);
    daemon.slots.set_ranks(&snapshot.ranks);
    super::load::refresh_slots(daemon, snapshot);
    daemon.calls.apply_fleet(&snapshot.fleet);
    super::membership::set_epoch(daemon, snapshot.epoch);
    daemon.metrics.record_epoch(snapshot.epoch);
    // Both views are fresh now. Without this, the first requests after a
    // start would wait for the next probe.
    daemon.pause_monitor.record_refresh(View::Configuration, now);
    daemon.pause_monitor.record_refresh(View::Membership, now);
    publish(daemon, Some(snapshot));
}

/// Updates the configuration and its status for all tasks. `adopted` is a
/// new snapshot to publish, if there is one.
fn publish(daemon: &Daemon, adopted: Option<&Arc<Snapshot>>) {
    daemon.blackboard.update_configuration(|before| {
        let (readiness, rejected, floor_epoch) = daemon.config.with(|s| {
            let rejected = s.rejected().map(ToString::to_string);
            (s.readiness(), rejected, s.floor())
        });
        let problem = match readiness {
            Readiness::Ready => rejected,
            other => Some(other.to_string()),
        };
        let problem: Option<Arc<str>> = problem.map(Arc::from);
        let unchanged = adopted.is_none()
            && before.problem == problem
            && before.floor_epoch == floor_epoch;
        if unchanged {
            return None;
        }
        let (snapshot, keys) = match adopted {
            Some(snapshot) => (
                Some(Arc::clone(snapshot)),
                TicketKeyring::from_published(&snapshot.fleet.ticket_keys),
            ),
            None => (before.snapshot.clone(), before.keys.clone()),
        };
        // A different problem starts its own period, because each one has
        // its own remedy.
        let problem_since = if before.problem == problem {
            before.problem_since
        } else {
            problem.is_some().then(|| daemon.clock.unix_time())
        };
        Some(Configuration {
            snapshot,
            keys,
            problem,
            problem_since,
            floor_epoch,
        })
    });
}

/// Notifies some peers of the zone of this daemon's newest epoch, without
/// waiting for them.
fn notify_peers(daemon: &Arc<Daemon>, epoch: u64) {
    let live = live_peers(daemon, Scope::Zone);
    let names: Vec<VmName> =
        live.iter().map(|peer| peer.name.clone()).collect();
    let notice = ConfigNotice {
        address: daemon.peer_address,
        announcement: daemon.config.announcement(),
    };
    for target in notify_targets(&daemon.settings.vm, &names, epoch) {
        let Some(peer) = live.iter().find(|peer| peer.name == *target) else {
            continue;
        };
        let (daemon, notice) = (Arc::clone(daemon), notice.clone());
        let (name, address) = (peer.name.clone(), peer.address);
        tokio::spawn(async move {
            let sent = daemon.peers.config_notify(address, notice).await;
            if let Err(error) = sent {
                log::debug!("config: notifying {name} failed: {error}");
            }
        });
    }
}

/// Handles a notice from a peer: pulls its newer configuration.
pub async fn handle_notice(daemon: &Arc<Daemon>, notice: ConfigNotice) {
    observe_announcement(daemon, notice.announcement);
    pull(daemon, notice.address).await;
}

#[cfg(test)]
mod tests {
    use briarladder_core::{
        clock::SystemClock, config::Bundle, objects::Object,
    };
    use clap::Parser;

    use super::*;
    use crate::settings::Settings;

    fn daemon() -> Arc<Daemon> {
        let settings = Settings::try_parse_from([
            "briarladderd",
            "--vm=vm-1",
            "--zone=zone-1",
            "--platform=127.0.0.1:1",
            "--peer-key=a-key-of-sixteen-or-more",
        ]);
        let address = ([127, 0, 0, 1], 1).into();
        let clock = Arc::new(SystemClock);
        Daemon::new(settings.unwrap(), clock, address).unwrap()
    }

    fn snapshot(epoch: u64) -> Arc<Snapshot> {
        let fleet = serde_json::json!({"kind": "fleet", "ticket_keys": [],
            "ticket_lifetime_ms": 1, "outcome_retention_ms": 1,
            "weight_store_bytes_per_s": 1});
        let fleet: Object = serde_json::from_value(fleet).unwrap();
        Arc::new(Snapshot::resolve(epoch, &[fleet]).unwrap())
    }

    /// Guards against reverting to an older epoch when two tasks adopt two
    /// epochs and the one with the older epoch finishes last.
    #[tokio::test]
    async fn apply_snapshot_ignores_older_epoch() {
        let daemon = daemon();
        apply_snapshot(&daemon, &snapshot(2));
        apply_snapshot(&daemon, &snapshot(1));
        let configuration = daemon.blackboard.configuration();
        assert_eq!(configuration.snapshot.as_ref().unwrap().epoch, 2);
    }

    /// Guards against a pull for each notice: a daemon receives about four
    /// notices of a change at once, and each pull transferred it again.
    #[tokio::test]
    async fn handle_notice_pulls_once() {
        let (daemon, peer) = (daemon(), daemon());
        let fleet = &snapshot(1).fleet;
        let objects = [Object::Fleet(fleet.clone())];
        let bundle = Bundle::new(1, &objects).unwrap();
        let now = peer.clock.now();
        peer.config.with(|s| {
            s.confirm_floor(now);
            s.offer_manifest(bundle.manifest.clone(), now);
            for chunk in &bundle.chunks {
                s.offer_chunk(&chunk.digest, &chunk.bytes, now);
            }
        });
        daemon.config.with(|s| s.confirm_floor(now));
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let server = crate::peers::serve(&peer, listener).unwrap();
        let announcement = peer.config.announcement();
        let notice = ConfigNotice { address, announcement };
        let take = || handle_notice(&daemon, notice.clone());
        tokio::join!(take(), take(), take(), take());
        assert_eq!(daemon.config.announcement(), announcement);
        let once = 1 + bundle.chunks.len() as u64;
        assert_eq!(daemon.peers.calls_sent(), once);
        server.stop().unwrap();
    }
}
