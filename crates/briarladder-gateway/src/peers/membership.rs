//! Membership of the fleet by gossip.
//!
//! The member table selects the receiver of each message. If a daemon of the
//! same zone does not respond, two other daemons probe it before it is
//! suspected.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use briarladder_core::fleet::{
    cells::Cell,
    peers::{GossipTarget, Member, MemberChange, ZoneDifference},
};
use futures_util::future::join_all;
use rand::seq::IndexedRandom;

use crate::{context::Gateway, settings::GatewaySettings, stages::cells};

use super::{
    client::PeerError,
    crashes,
    messages::{
        Ack, CHECK_PATH, COMPARE_PATH, CRASHES_EXCHANGE_PATH, CrashesEnvelope,
        EXCHANGE_PATH, GossipEnvelope, LIMITS_EXCHANGE_PATH, LimitsEnvelope,
        MEMBERS_PATH, MemberList, ProbeRequest, ProbeResponse,
        REQUEST_CRASHES_EXCHANGE_PATH, RequestCrashesEnvelope,
        WAITS_EXCHANGE_PATH, WaitsEnvelope,
    },
};

/// Timeout of a gossip message, several round trips between regions.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of an indirect probe.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of a message that carries members.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Gossip interval until another daemon that has run for a while has responded
/// for the first time.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Time from urgent news to the message that carries it.
const URGENT_NEWS_DELAY: Duration = Duration::from_millis(50);

/// Daemons of the zone that are notified at once of a shutdown.
const MAX_SHUTDOWN_NOTICES: usize = 4;

/// Exchanges gossip messages with other daemons. Never returns.
pub async fn run(gateway: Rc<Gateway>, settings: Rc<GatewaySettings>) {
    loop {
        let blackboard = &gateway.blackboard;
        gateway.check_suspension();
        let now = blackboard.now();
        let changes = blackboard.peers.borrow_mut().tick(now);
        log_changes(&changes, "time");
        let coordinated = cells::update_all_duties(blackboard);
        if !coordinated.is_empty() {
            let wait = gateway.coordinator.max_expected_wait().as_millis();
            let wait_ms = u32::try_from(wait).unwrap_or(u32::MAX);
            blackboard.peers.borrow_mut().record_own_heartbeat(now, wait_ms);
        }
        record_own_waits(&gateway, &coordinated);
        crashes::end_start_sync(&gateway);
        let target =
            blackboard.peers.borrow_mut().next_target(now, &mut rand::rng());
        let gossip =
            gossip_with(Rc::clone(&gateway), settings.peers_address, target);
        tokio::task::spawn_local(gossip);
        let (live, interval) = {
            let peers = blackboard.peers.borrow();
            (peers.live(now).count(), peers.gossip_interval(now))
        };
        gateway.metrics.live_daemons.set(i64::try_from(live).unwrap_or(0));
        let refused = blackboard.crash_tracker.borrow().refused_count(now);
        let refused = i64::try_from(refused).unwrap_or(i64::MAX);
        gateway.metrics.refused_features.set(refused);
        let limited = blackboard.summarize_limits();
        let limited = i64::try_from(limited).unwrap_or(i64::MAX);
        gateway.metrics.limited_servers.set(limited);
        blackboard.update_cold_servers(&gateway.metrics);
        gateway.pool.evict_expired();
        let joined = blackboard.joined_at.get().is_some()
            && blackboard.crash_tracker.borrow().is_synced();
        let interval = if joined { interval } else { JOIN_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = blackboard.urgent_news.notified() => {
                // Collects the news of one crash in one message.
                tokio::time::sleep(URGENT_NEWS_DELAY).await;
            }
        }
    }
}

/// Records how long new requests wait in the cells that this daemon
/// coordinates, for its next gossip messages.
fn record_own_waits(gateway: &Gateway, coordinated: &[Cell]) {
    let now = gateway.blackboard.now();
    let mut stage_waits = gateway.blackboard.stage_waits.borrow_mut();
    stage_waits.expire(now);
    for cell in coordinated {
        let waits = gateway.coordinator.service_waits(cell);
        stage_waits.record(now, cell, &waits);
    }
}

/// Notifies some daemons of the zone at once that this one is shutting down.
pub fn announce_shutdown(gateway: &Rc<Gateway>) {
    let now = gateway.blackboard.now();
    let recipients = gateway.blackboard.peers.borrow().sample_zone(
        now,
        MAX_SHUTDOWN_NOTICES,
        &mut rand::rng(),
    );
    for address in recipients {
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move {
            if let Err(error) = exchange(&gateway, address, None).await {
                log::debug!("membership: {error}");
            }
        });
    }
}

async fn gossip_with(
    gateway: Rc<Gateway>,
    me: SocketAddr,
    target: GossipTarget,
) {
    let (address, member) = match target {
        GossipTarget::Member(member) => (member.address, Some(member)),
        GossipTarget::Seed => match random_seed(&gateway, me) {
            Some(address) => (address, None),
            None => return,
        },
    };
    let Err(error) = exchange(&gateway, address, member.as_ref()).await else {
        return;
    };
    log::debug!("membership: {error}");
    let Some(member) = member else { return };
    if error.is_connection_refused() {
        let now = gateway.blackboard.now();
        let change =
            gateway.blackboard.peers.borrow_mut().mark_dead(now, &member);
        log_changes(change.as_slice(), "refused");
    } else {
        probe_indirectly(&gateway, &member).await;
    }
}

fn random_seed(gateway: &Gateway, me: SocketAddr) -> Option<SocketAddr> {
    let seeds = gateway.blackboard.seeds.borrow();
    let others: Vec<SocketAddr> =
        seeds.iter().copied().filter(|&seed| seed != me).collect();
    others.choose(&mut rand::rng()).copied()
}

/// Exchanges a gossip message with a daemon, and then compares the crashes and
/// the members of the zones in which the two differ.
async fn exchange(
    gateway: &Gateway,
    address: SocketAddr,
    member: Option<&Member>,
) -> Result<(), PeerError> {
    let blackboard = &gateway.blackboard;
    let message = gossip_message(gateway, member);
    let response = send_gossip(gateway, address, message).await?;
    handle_gossip(gateway, &response, "answer");
    if let Some(digest) = response.crash_digest {
        crashes::compare(gateway, address, digest).await?;
    }
    let zones = blackboard.peers.borrow().differing_zones(&response.exchange);
    if zones.is_empty() {
        return Ok(());
    }
    let summary = blackboard.peers.borrow().summarize(zones);
    let difference: ZoneDifference = gateway
        .peers
        .call(address, COMPARE_PATH, &summary, MEMBERS_TIMEOUT)
        .await?;
    let members = {
        let mut peers = blackboard.peers.borrow_mut();
        let changes = peers.merge(blackboard.now(), &difference.members);
        log_changes(&changes, "members");
        peers.requested_members(&difference)
    };
    if !members.is_empty() {
        let message = MemberList { members };
        let _: Ack = gateway
            .peers
            .call(address, MEMBERS_PATH, &message, MEMBERS_TIMEOUT)
            .await?;
    }
    Ok(())
}

/// Sends a gossip message and returns the response. A daemon of the earlier
/// version is sent the message that it knows.
async fn send_gossip(
    gateway: &Gateway,
    address: SocketAddr,
    message: GossipEnvelope,
) -> Result<GossipEnvelope, PeerError> {
    let peers = &gateway.peers;
    let sent =
        peers.call(address, EXCHANGE_PATH, &message, GOSSIP_TIMEOUT).await;
    match sent {
        Err(error) if error.is_unknown_path() => {
            let message = WaitsEnvelope::from(message);
            let response = send_waits(gateway, address, message).await?;
            Ok(response.into())
        }
        sent => sent,
    }
}

/// Sends the gossip message of daemons that don't compare crashes or, if its
/// path is not known either, that of the version before.
async fn send_waits(
    gateway: &Gateway,
    address: SocketAddr,
    message: WaitsEnvelope,
) -> Result<WaitsEnvelope, PeerError> {
    let peers = &gateway.peers;
    let path = WAITS_EXCHANGE_PATH;
    let sent = peers.call(address, path, &message, GOSSIP_TIMEOUT).await;
    match sent {
        Err(error) if error.is_unknown_path() => {
            let message = LimitsEnvelope::from(message);
            let response = send_limits(gateway, address, message).await?;
            Ok(response.into())
        }
        sent => sent,
    }
}

/// Sends the gossip message of daemons that know one wait for all services of a
/// cell or, if its path is not known either, that of the version before.
async fn send_limits(
    gateway: &Gateway,
    address: SocketAddr,
    message: LimitsEnvelope,
) -> Result<LimitsEnvelope, PeerError> {
    let peers = &gateway.peers;
    let path = LIMITS_EXCHANGE_PATH;
    let sent = peers.call(address, path, &message, GOSSIP_TIMEOUT).await;
    match sent {
        Err(error) if error.is_unknown_path() => {
            let message = CrashesEnvelope::from(message);
            let response = send_crashes(gateway, address, message).await?;
            Ok(response.into())
        }
        sent => sent,
    }
}

/// Sends the gossip message of daemons without limits or, if its path is not
/// known either, that of the version before.
async fn send_crashes(
    gateway: &Gateway,
    address: SocketAddr,
    message: CrashesEnvelope,
) -> Result<CrashesEnvelope, PeerError> {
    let peers = &gateway.peers;
    let path = CRASHES_EXCHANGE_PATH;
    let sent = peers.call(address, path, &message, GOSSIP_TIMEOUT).await;
    match sent {
        Err(error) if error.is_unknown_path() => {
            let message = RequestCrashesEnvelope::from(message);
            let path = REQUEST_CRASHES_EXCHANGE_PATH;
            let response: RequestCrashesEnvelope =
                peers.call(address, path, &message, GOSSIP_TIMEOUT).await?;
            Ok(response.into())
        }
        sent => sent,
    }
}

/// Returns the gossip message to a member, or the response to one.
pub fn gossip_message(
    gateway: &Gateway,
    to: Option<&Member>,
) -> GossipEnvelope {
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let crash_digest = blackboard.crash_tracker.borrow().digest(now);
    GossipEnvelope {
        exchange: blackboard.peers.borrow().message_to(now, to),
        crashes: blackboard.crash_tracker.borrow_mut().notices(now),
        limits: blackboard.limit_notices(),
        stage_waits: blackboard.stage_waits.borrow().newest(now),
        crash_digest: Some(crash_digest),
    }
}

/// Applies the gossip message of another daemon.
pub fn handle_gossip(
    gateway: &Gateway,
    message: &GossipEnvelope,
    source: &str,
) {
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let changes =
        blackboard.peers.borrow_mut().apply_message(now, &message.exchange);
    log_changes(&changes, source);
    crashes::learn(gateway, &message.crashes, source);
    blackboard.merge_limits(&message.limits);
    blackboard.stage_waits.borrow_mut().merge(now, &message.stage_waits);
    blackboard.mark_joined(now);
}

/// Asks other daemons to probe a daemon that did not respond.
async fn probe_indirectly(gateway: &Gateway, silent: &Member) {
    let blackboard = &gateway.blackboard;
    let probers = blackboard.peers.borrow().indirect_probers(
        blackboard.now(),
        silent,
        &mut rand::rng(),
    );
    let message = ProbeRequest { address: silent.address };
    let reports = probers.into_iter().map(|prober| {
        let call = gateway.peers.call(
            prober,
            CHECK_PATH,
            &message,
            INDIRECT_PROBE_TIMEOUT,
        );
        async move { call.await.ok().map(|ProbeResponse { reached }| reached) }
    });
    let reports: Vec<bool> =
        join_all(reports).await.into_iter().flatten().collect();
    if reports.is_empty() || reports.contains(&true) {
        return;
    }
    let now = blackboard.now();
    let change = blackboard.peers.borrow_mut().mark_suspect(now, silent);
    log_changes(change.as_slice(), "silent");
}

/// Logs changes of the member table. New members are summarized in one line,
/// since there may be hundreds after a start.
pub fn log_changes(changes: &[MemberChange], source: &str) {
    let new = changes.iter().filter(|change| change.from.is_none()).count();
    if new > 0 {
        log::info!("membership: new={new} source={source}");
    }
    for change in changes {
        let MemberChange { name, incarnation, from, to } = change;
        let Some(from) = from else { continue };
        log::info!(
            "membership: vm={name} incarnation={incarnation} from={from} \
             state={to} source={source}"
        );
    }
}
