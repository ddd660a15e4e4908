//! Exchanging heartbeats with one peer at a time.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use rand::{RngExt, seq::IndexedRandom};

use crate::{context::Gateway, settings::GatewaySettings};

use super::messages::{HEARTBEATS_PATH, Heartbeats};

/// The time between two exchanges. A rumour reaches a zone in a few of them.
const INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for an exchange: round trips between regions fit.
const TIMEOUT: Duration = Duration::from_millis(400);

/// One exchange of this many leaves the zone. Links between zones are billed.
const OTHER_ZONE_ONE_IN: u32 = 4;

/// One exchange of this many goes to a seed, so that parts of the fleet that
/// lost each other meet again.
const SEED_ONE_IN: u32 = 12;

/// Exchanges heartbeats for as long as the process runs.
pub async fn run(gateway: Rc<Gateway>, settings: Rc<GatewaySettings>) {
    loop {
        let stage_wait = gateway.coordinator.expected_wait().as_millis();
        let stage_wait_ms = u32::try_from(stage_wait).unwrap_or(u32::MAX);
        gateway.board.peers.borrow_mut().beat(stage_wait_ms);
        if let Some(address) = choose(&gateway, &settings) {
            exchange(&gateway, address).await;
        }
        let now = gateway.board.now();
        let live = gateway.board.peers.borrow().live(now).count();
        gateway.metrics.live_daemons.set(i64::try_from(live).unwrap_or(0));
        gateway.pool.expire();
        tokio::time::sleep(INTERVAL).await;
    }
}

fn choose(
    gateway: &Gateway,
    settings: &GatewaySettings,
) -> Option<SocketAddr> {
    let now = gateway.board.now();
    let peers = gateway.board.peers.borrow();
    let live: Vec<_> = peers.live_peers(now).collect();
    let mut random = rand::rng();
    if live.is_empty() || random.random_ratio(1, SEED_ONE_IN) {
        let seeds: Vec<SocketAddr> = gateway
            .board
            .seeds
            .borrow()
            .iter()
            .copied()
            .filter(|&seed| seed != settings.peers)
            .collect();
        return seeds.choose(&mut random).copied();
    }
    let near: Vec<_> = live
        .iter()
        .filter(|beat| beat.zone == settings.zone)
        .copied()
        .collect();
    let leave_zone = random.random_ratio(1, OTHER_ZONE_ONE_IN);
    let among = if near.is_empty() || leave_zone { &live } else { &near };
    among.choose(&mut random).map(|beat| beat.address)
}

async fn exchange(gateway: &Gateway, address: SocketAddr) {
    let now = gateway.board.now();
    let beats = gateway
        .board
        .peers
        .borrow()
        .exchange(now, rand::random_range(0..4096));
    let message = Heartbeats { beats };
    let answer: Result<Heartbeats, _> =
        gateway.peers.call(address, HEARTBEATS_PATH, &message, TIMEOUT).await;
    match answer {
        Ok(answer) => {
            let now = gateway.board.now();
            gateway.board.peers.borrow_mut().merge(now, &answer.beats);
        }
        Err(error) => log::debug!("heartbeats: {error}"),
    }
}
