//! Keeps the configuration in force.
//!
//! The decisions are in `briarladder_core::config`. Two daemons of a zone
//! watch the platform, the others hear from peers, and whoever stays behind
//! reads the platform itself.

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
        Announcement, ChunkRef, Digest, EpochStore, IgnoreReason, Manifest,
        ManifestReply, Outcome, PlatformReads, Readiness, notify_targets,
    },
    membership::View,
    names::VmName,
    objects::snapshot::Snapshot,
    ticket::Keys,
    timeline::{EventKind, Subject},
};
use briarladder_wire::peers::{ConfigNotice, ManifestQuery};
use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{
    live_peers::{Scope, live_peers},
    platform::Wait,
};
use crate::{blackboard::Configuration, daemon::Daemon};

/// How long a fresh daemon waits for peers and backend servers to tell their
/// epochs before it trusts the platform. Peers answer in milliseconds; a
/// daemon that is cut off from all of them must still start.
const FLOOR_WAIT: Duration = Duration::from_secs(3);

/// The backend servers of each pool that a fresh daemon asks for the epoch
/// they have seen. One that ran a request of the newest epoch is enough; four
/// allow for some that are down.
const ASKED_SERVERS_PER_POOL: usize = 4;

/// The time between two looks at whether something is missing.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two looks whether the list of VMs was read.
const LIST_PAUSE: Duration = Duration::from_millis(10);

/// The wait after a failed read of the platform.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// The configuration store of this daemon.
#[derive(Debug, Default)]
pub struct ConfigState {
    store: Mutex<EpochStore>,
    /// Woken when a peer may have something newer.
    news: Notify,
    /// Whether backend servers told which epochs they have seen.
    asked_servers: AtomicBool,
    /// Held while a set is put in force.
    applying: Mutex<()>,
    /// Held while something is pulled from a peer.
    pulling: tokio::sync::Mutex<()>,
}

impl ConfigState {
    /// Runs with the store locked.
    pub fn with<T>(&self, run: impl FnOnce(&mut EpochStore) -> T) -> T {
        run(&mut self.store.lock())
    }

    /// Returns what to say in each probe.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        self.with(|store| store.announcement())
    }
}

/// Notes what a peer said of its configuration.
pub fn hear(daemon: &Daemon, announcement: Announcement) {
    let now = daemon.clock.now();
    let newer = daemon.config.with(|store| {
        store.observe_peer(announcement, now);
        store.next_request().is_some()
    });
    if newer {
        daemon.config.news.notify_one();
    }
}

/// Notes an epoch that was in force elsewhere.
pub fn hear_floor(daemon: &Daemon, epoch: u64) {
    let now = daemon.clock.now();
    daemon.config.with(|store| store.observe_floor(epoch, now));
}

/// Watches the platform while this daemon is one of its zone's readers, and
/// reads it while this daemon stays behind.
///
/// A fresh daemon that is not a reader lets peers bring the first set: if all
/// daemons of a zone read every chunk when they start together, they make
/// many times the calls that the platform takes.
pub async fn watch_platform(daemon: Arc<Daemon>) {
    let mut reads = PlatformReads::new(&daemon.settings.vm);
    let started_at = daemon.clock.now();
    wait_for_list(&daemon).await;
    let mut wait = None;
    loop {
        let now = daemon.clock.now();
        if wait.is_none() {
            let known = daemon.config.announcement().known;
            let behind_since = daemon.config.with(|s| s.behind_since());
            // Nobody may be there to tell a fresh daemon that it is behind.
            let behind_since =
                behind_since.or((known == 0).then_some(started_at));
            if super::membership::is_reader(&daemon) {
                wait = Some(Wait::After(known));
            } else if reads.next_at(behind_since).is_some_and(|at| at <= now) {
                reads.started(behind_since, now);
                wait = Some(Wait::No);
            }
        }
        let Some(read) = wait.take() else {
            tokio::time::sleep(FOLLOW_INTERVAL).await;
            continue;
        };
        let manifest = daemon.platform.manifest(read).await;
        match manifest {
            Ok(manifest) => {
                daemon.pauses.refreshed(View::Configuration, now);
                if let Some(manifest) = manifest {
                    take_manifest(&daemon, manifest, Source::Platform).await;
                }
            }
            Err(error) => {
                log::warn!("config: the platform can't be read: {error:#}");
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
    }
}

/// Waits until the list of VMs was read, for a bounded time. Without it each
/// daemon seems to be alone in its zone, and thus a reader.
async fn wait_for_list(daemon: &Daemon) {
    let started_at = daemon.clock.now();
    while !super::membership::list_read(daemon) {
        let waited = daemon.clock.now().saturating_duration_since(started_at);
        if waited >= FLOOR_WAIT {
            return;
        }
        tokio::time::sleep(LIST_PAUSE).await;
    }
}

/// Asks peers for what this daemon lacks, and trusts the platform once the
/// floor is known.
pub async fn follow_peers(daemon: Arc<Daemon>) {
    let started_at = daemon.clock.now();
    let mut confirmed = false;
    loop {
        let news = daemon.config.news.notified();
        // Both ends of the wait lead to the same look.
        let _ = tokio::time::timeout(FOLLOW_INTERVAL, news).await;
        let now = daemon.clock.now();
        if !confirmed
            && (asked_all(&daemon)
                || now.saturating_duration_since(started_at) >= FLOOR_WAIT)
        {
            confirmed = true;
            let held = daemon.config.with(|s| s.confirm_floor(now));
            if let Some(outcome) = held {
                take_outcome(&daemon, outcome);
            }
        }
        let behind = daemon.config.with(|s| s.next_request().is_some());
        if behind
            && let Some(peer) = super::membership::peer_with_newer(&daemon)
        {
            pull(&daemon, peer).await;
        }
        publish(&daemon, None);
    }
}

/// Returns whether peers and backend servers told their epochs.
fn asked_all(daemon: &Daemon) -> bool {
    daemon.config.asked_servers.load(Ordering::Acquire)
        && super::membership::asked_peers(daemon)
}

/// Asks backend servers of a set that is not in force yet which epochs they
/// have seen. A daemon without peers has no other source for the floor when
/// the platform is stale.
async fn ask_servers(daemon: Arc<Daemon>, snapshot: Arc<Snapshot>) {
    let zone = &daemon.settings.zone;
    let servers = snapshot.pools.values().flat_map(|pool| {
        let near = pool.servers.iter().filter(|s| s.zone == *zone);
        let far = pool.servers.iter().filter(|s| s.zone != *zone);
        near.chain(far).take(ASKED_SERVERS_PER_POOL)
    });
    let reports = servers.map(|server| daemon.backend.load(server.address));
    for report in join_all(reports).await.into_iter().flatten() {
        hear_floor(&daemon, report.epoch_seen);
    }
    daemon.config.asked_servers.store(true, Ordering::Release);
    daemon.config.news.notify_one();
}

/// Where a manifest came from, and where its chunks are.
#[derive(Clone, Copy, Debug)]
enum Source {
    Platform,
    Peer(SocketAddr),
}

/// Pulls what this daemon lacks from a peer. One pull runs at a time, and
/// each looks anew whether anything is lacking: a daemon gets several notices
/// of one change at once, and needs it only once.
async fn pull(daemon: &Arc<Daemon>, peer: SocketAddr) {
    let _pulling = daemon.config.pulling.lock().await;
    let request = daemon.config.with(|s| {
        let have = s.newest_manifest().map(Manifest::id);
        s.next_request().map(|which| ManifestQuery { which, have })
    });
    let Some(query) = request else { return };
    let reply = match daemon.peers.config_manifest(peer, query).await {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!("config: peer {peer} gave no manifest: {error}");
            return;
        }
    };
    let manifest = match reply {
        ManifestReply::Nothing => return,
        ManifestReply::Full(manifest) => manifest,
        ManifestReply::Delta(delta) => {
            let base = daemon.config.with(|s| s.newest_manifest().cloned());
            let applied = base.and_then(|base| delta.apply(&base).ok());
            let Some(manifest) = applied else {
                log::warn!("config: the difference from {peer} does not fit");
                return;
            };
            manifest
        }
    };
    take_manifest(daemon, manifest, Source::Peer(peer)).await;
}

async fn take_manifest(
    daemon: &Arc<Daemon>,
    manifest: Manifest,
    source: Source,
) {
    let now = daemon.clock.now();
    let outcome = daemon.config.with(|s| s.offer_manifest(manifest, now));
    let missing = match &outcome {
        Outcome::Missing(missing) => missing.clone(),
        Outcome::Ignored(IgnoreReason::BelowFloor { floor }) => {
            log::warn!("config: an epoch below the floor {floor} was offered");
            Vec::new()
        }
        _ => Vec::new(),
    };
    take_outcome(daemon, outcome);
    for chunk in missing {
        let Some(bytes) = fetch(daemon, &chunk, source).await else { return };
        let now = daemon.clock.now();
        let outcome =
            daemon.config.with(|s| s.offer_chunk(&chunk.digest, &bytes, now));
        take_outcome(daemon, outcome);
    }
}

async fn fetch(
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
            let reply = daemon.peers.config_chunk(peer, *digest).await;
            Some(reply.ok()?.text?.into_bytes())
        }
    }
}

fn take_outcome(daemon: &Arc<Daemon>, outcome: Outcome) {
    match outcome {
        Outcome::Ignored(_) | Outcome::Missing(_) => {}
        Outcome::Held(snapshot) => {
            let epoch = snapshot.epoch;
            log::info!("config: epoch {epoch} waits for the floor");
            tokio::spawn(ask_servers(Arc::clone(daemon), snapshot));
        }
        Outcome::Adopted(snapshot) => {
            let epoch = snapshot.epoch;
            log::info!("config: epoch {epoch} is in force");
            put_in_force(daemon, &snapshot);
            let kind = EventKind::ConfigAdopted { adopted_epoch: epoch };
            daemon.events.record(Subject::default(), kind);
            notify_peers(daemon, epoch);
        }
        Outcome::Rejected(rejection) => {
            log::error!("config: {rejection}; the last good epoch stays");
            let kind = EventKind::ConfigRejected {
                rejected_epoch: rejection.id.epoch,
                reason: rejection.reason.to_string().as_str().into(),
            };
            daemon.events.record(Subject::default(), kind);
            notify_peers(daemon, rejection.id.epoch);
        }
    }
}

fn put_in_force(daemon: &Arc<Daemon>, snapshot: &Arc<Snapshot>) {
    let now = daemon.clock.now();
    let _applying = daemon.config.applying.lock();
    let newest = daemon.blackboard.configuration().snapshot.clone();
    // Two tasks may adopt two epochs and get here in the other order.
    if newest.is_some_and(|newest| newest.epoch > snapshot.epoch) {
        return;
    }
    // The views come first, so that no request of the new epoch meets a
    // router without its pools.
    daemon.router.lock().apply_snapshot(now, snapshot);
    daemon.slots.set_ranks(&snapshot.ranks);
    super::load::refresh_slots(daemon, snapshot);
    daemon.calls.apply_fleet(&snapshot.fleet);
    super::membership::set_epoch(daemon, snapshot.epoch);
    daemon.metrics.epoch(snapshot.epoch);
    // A daemon that starts has just asked for both; without this its first
    // requests would wait for the next probe.
    daemon.pauses.refreshed(View::Configuration, now);
    daemon.pauses.refreshed(View::Membership, now);
    publish(daemon, Some(snapshot));
}

/// Writes the blackboard's section.
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
                Keys::from_published(&snapshot.fleet.ticket_keys),
            ),
            None => (before.snapshot.clone(), before.keys.clone()),
        };
        // A reason that changes starts anew: each names its own remedy.
        let problem_since = if before.problem == problem {
            before.problem_since
        } else {
            problem.is_some().then(|| daemon.clock.unix())
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
            let told = daemon.peers.config_notify(address, notice).await;
            if let Err(error) = told {
                log::debug!("config: {name} was not notified: {error}");
            }
        });
    }
}

/// Pulls from a peer that told of something newer.
pub async fn take_notice(daemon: &Arc<Daemon>, notice: ConfigNotice) {
    hear(daemon, notice.announcement);
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

    /// Guards against an older epoch that is put in force last because the
    /// tasks that adopted the two were overtaken.
    #[tokio::test]
    async fn put_in_force_ignores_older_epoch() {
        let daemon = daemon();
        put_in_force(&daemon, &snapshot(2));
        put_in_force(&daemon, &snapshot(1));
        let configuration = daemon.blackboard.configuration();
        assert_eq!(configuration.snapshot.as_ref().unwrap().epoch, 2);
    }

    /// Guards against a pull for each notice: a change brings about four
    /// notices at once, and each pull moved the change again.
    #[tokio::test]
    async fn take_notice_pulls_once() {
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
        let take = || take_notice(&daemon, notice.clone());
        tokio::join!(take(), take(), take(), take());
        assert_eq!(daemon.config.announcement(), announcement);
        let once = 1 + bundle.chunks.len() as u64;
        assert_eq!(daemon.peers.calls_sent(), once);
        server.stop().unwrap();
    }
}
