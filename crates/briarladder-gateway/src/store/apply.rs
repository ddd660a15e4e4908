//! Applies items of the store to the shared state.

use std::{rc::Rc, sync::Arc, time::Instant};

use briarladder_core::fleet::{
    config::FleetConfig,
    evacuation::{ZoneChange, ZoneEntry},
    mirror::{Applied, ConfigStamp, Listing, PublishedConfig, ServerEntry},
    reconciliation::ServerChange,
    residency::find_unservable,
    store_version::{StoreVersion, UNKNOWN_ERA},
};

use crate::{
    context::Gateway,
    dialect::{DecodedServer, ItemKind, StoreItem},
};

use super::compression::{compress_config, decompress_config};

/// The number of unservable routes and workspaces in a log line.
const MAX_LOGGED_UNSERVABLE: usize = 8;

/// Items of the store that the gateway uses.
#[derive(Default)]
pub struct DecodedItems {
    /// The newest valid configuration.
    pub config: Option<DecodedConfig>,
    /// The entries of servers, in the order of the items.
    pub servers: Vec<ServerEntry>,
    /// Changes of evacuations, in the order of the items.
    pub evacuations: Vec<ZoneEntry>,
}

/// A valid configuration.
pub struct DecodedConfig {
    published: PublishedConfig,
    config: FleetConfig,
}

impl DecodedConfig {
    /// Decodes a configuration that another daemon has sent. `None` if it is
    /// invalid.
    pub fn from_peer(
        gateway: &Gateway,
        written_at: StoreVersion,
        compressed: Vec<u8>,
    ) -> Option<DecodedConfig> {
        let bytes = match decompress_config(&compressed) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("config: {written_at} outcome=rejected {error}");
                return None;
            }
        };
        decode_config(gateway, written_at, &bytes, compressed.into())
    }
}

impl DecodedItems {
    /// Decodes an item and adds it, if the gateway uses it. A server with a
    /// malformed entry is treated as removed, and an invalid configuration is
    /// left out.
    pub fn add(&mut self, gateway: &Gateway, era: u64, item: &StoreItem) {
        let StoreItem { key, revision, value } = item;
        let version = StoreVersion { era, revision: *revision };
        match gateway.dialect.item_kind(key) {
            ItemKind::Config => {
                let config = value.as_ref().and_then(|bytes| {
                    let compressed = compress_config(bytes);
                    decode_config(gateway, version, bytes, compressed)
                });
                self.config = config.or(self.config.take());
            }
            ItemKind::Server(name) => {
                let decoded = value.as_ref().and_then(|value| {
                    decode_server(gateway, version, name, value)
                });
                let cold_left = decoded.as_ref().map(|entry| entry.cold_left);
                self.servers.push(ServerEntry {
                    name: Arc::from(name),
                    version,
                    server: decoded.map(|entry| entry.server),
                    cold_left: cold_left.unwrap_or_default(),
                });
            }
            ItemKind::Evacuation(zone) => {
                // The key alone is the request, whatever its value is.
                let entry = match value {
                    Some(_) => ZoneEntry::evacuated(zone, version),
                    None => ZoneEntry::removed(zone, version),
                };
                self.evacuations.push(entry);
            }
            ItemKind::Other => {}
        }
    }
}

fn decode_config(
    gateway: &Gateway,
    written_at: StoreVersion,
    bytes: &[u8],
    compressed: Arc<[u8]>,
) -> Option<DecodedConfig> {
    match gateway.dialect.decode_config(bytes) {
        Ok(config) => {
            let config_version = config.version;
            let stamp = ConfigStamp { config_version, written_at };
            let published = PublishedConfig { stamp, bytes: compressed };
            Some(DecodedConfig { published, config })
        }
        Err(error) => {
            log::error!("config: {written_at} outcome=rejected cause={error}");
            None
        }
    }
}

fn decode_server(
    gateway: &Gateway,
    version: StoreVersion,
    name: &str,
    value: &[u8],
) -> Option<DecodedServer> {
    gateway
        .dialect
        .decode_server(name, value)
        .inspect_err(|error| {
            // Another writer may have chosen any name.
            let name = name.escape_default();
            log::warn!(
                "servers: server={name} outcome=ignored cause={error} \
                 {version}"
            );
        })
        .ok()
}

/// Applies a full listing that was asked for at a time and started at a
/// version. Returns whether it belongs to the newest era that is known.
pub fn apply_listing(
    gateway: &Gateway,
    asked_at: Instant,
    items: DecodedItems,
    version: StoreVersion,
) -> bool {
    let blackboard = &gateway.blackboard;
    apply_config(gateway, items.config);
    let known = blackboard.mirror.borrow().version();
    let listing =
        blackboard.mirror.borrow_mut().apply_listing(&items.servers, version);
    let is_restored = listing == Listing::NewEra && known.era != UNKNOWN_ERA;
    match listing {
        Listing::Outdated => return false,
        Listing::Changes(changes) => {
            for entry in &changes {
                apply_written(gateway, entry);
            }
        }
        Listing::NewEra => begin_era(gateway, known, version, &items.servers),
    }
    blackboard.record_versions_listed(asked_at, is_restored);
    blackboard.record_listing();
    blackboard.mirror_changed.notify_waiters();
    true
}

/// Replaces what is known of servers by the listing of a new era, except for
/// what the listing may not hold yet.
fn begin_era(
    gateway: &Gateway,
    known: StoreVersion,
    version: StoreVersion,
    listing: &[ServerEntry],
) {
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    for entry in listing {
        blackboard.observe_cold_start(entry);
    }
    let mut reconciliation = blackboard.reconciliation.borrow_mut();
    let changes =
        reconciliation.begin(now, &blackboard.servers.borrow(), listing);
    let held = reconciliation.held_count();
    drop(reconciliation);
    for change in &changes {
        update_server(gateway, change, version);
    }
    blackboard.reconciliation_changed.notify_one();
    if known.era == UNKNOWN_ERA {
        // The first listing, or the first one of a store that names its era.
        return;
    }
    blackboard.restored_at.set(Some(now));
    gateway.metrics.store_restores.inc();
    log::warn!(
        "store: event=restored from_era={} from_revision={} {version} \
         servers={} held={held}",
        known.era,
        known.revision,
        listing.len(),
    );
}

/// Applies changes since a version that was known, after which all changes up
/// to another version are known.
pub fn apply_changes(
    gateway: &Gateway,
    items: DecodedItems,
    version: StoreVersion,
) {
    let blackboard = &gateway.blackboard;
    apply_config(gateway, items.config);
    for entry in &items.evacuations {
        blackboard.mirror.borrow_mut().apply_evacuation(entry);
    }
    update_evacuations(gateway);
    for entry in &items.servers {
        let applied = blackboard.mirror.borrow_mut().apply(entry.clone());
        if applied != Applied::Outdated {
            apply_written(gateway, entry);
        }
    }
    blackboard.mirror.borrow_mut().advance(version);
    blackboard.mirror_changed.notify_waiters();
}

/// Applies the list of all evacuated zones that was started at a version. Call
/// it before the servers of the same list are applied.
pub fn apply_evacuation_listing(
    gateway: &Gateway,
    listed: &[ZoneEntry],
    version: StoreVersion,
) {
    let mirror = &gateway.blackboard.mirror;
    mirror.borrow_mut().apply_evacuation_listing(listed, version);
    update_evacuations(gateway);
}

/// Puts the evacuations in force that are known.
fn update_evacuations(gateway: &Gateway) {
    let blackboard = &gateway.blackboard;
    let mirror = blackboard.mirror.borrow();
    let mut zones = blackboard.evacuated_zones.borrow_mut();
    let changes = zones.update(blackboard.now(), mirror.evacuations());
    let count = i64::try_from(zones.len()).unwrap_or(i64::MAX);
    gateway.metrics.evacuated_zones.set(count);
    for change in &changes {
        log_zone_change(gateway, change, mirror.version());
        if !change.is_evacuated {
            blackboard.record_zone_return(&change.zone);
        }
    }
    if zones.next_expiry().is_some() {
        blackboard.reconciliation_changed.notify_one();
    }
}

fn log_zone_change(
    gateway: &Gateway,
    change: &ZoneChange,
    version: StoreVersion,
) {
    let blackboard = &gateway.blackboard;
    let ZoneChange { zone, is_evacuated } = change;
    let servers = blackboard.servers.borrow();
    let affected = servers.iter().filter(|s| s.zone == *zone).count();
    // A zone without servers may be one that starts later, or a wrong name.
    let zone = zone.escape_default();
    log::warn!(
        "evacuation: zone={zone} evacuated={is_evacuated} servers={affected} \
         {version}"
    );
}

/// Puts a configuration in force if it is newer.
pub fn apply_config(gateway: &Gateway, config: Option<DecodedConfig>) {
    let Some(DecodedConfig { published, config }) = config else { return };
    let blackboard = &gateway.blackboard;
    let written_at = published.stamp.written_at;
    if !blackboard.mirror.borrow_mut().apply_config(published) {
        return;
    }
    let version = config.version;
    let routes = config.routes.len();
    report_unservable(gateway, &config);
    if let Some(known) = blackboard.config() {
        blackboard.record_rerouted(&known, &config);
    }
    blackboard.set_config(config);
    let shown = i64::try_from(version).unwrap_or(i64::MAX);
    gateway.metrics.config_version.set(shown);
    log::info!(
        "config: version={version} routes={routes} {written_at} \
         outcome=in_force"
    );
}

/// Logs which requests a configuration allows in no region.
fn report_unservable(gateway: &Gateway, config: &FleetConfig) {
    let found = find_unservable(config, &gateway.blackboard.regions);
    let shown = i64::try_from(found.len()).unwrap_or(i64::MAX);
    gateway.metrics.unservable.set(shown);
    if found.is_empty() {
        return;
    }
    let first = found.iter().take(MAX_LOGGED_UNSERVABLE);
    let first: Vec<String> = first.map(ToString::to_string).collect();
    log::warn!(
        "config: version={} outcome=unservable count={} first={}",
        config.version,
        found.len(),
        first.join(",")
    );
}

/// Applies an entry that was written after the last listing of a new era, or
/// in an era without a restore.
fn apply_written(gateway: &Gateway, entry: &ServerEntry) {
    let blackboard = &gateway.blackboard;
    blackboard.reconciliation.borrow_mut().release(&entry.name);
    blackboard.observe_cold_start(entry);
    let ServerEntry { name, version, server, .. } = entry;
    let change =
        ServerChange { name: Arc::clone(name), server: server.clone() };
    update_server(gateway, &change, *version);
}

/// Applies the listing of a restored store to the servers that have not
/// written their entries again in time, and ends the evacuations that were not
/// written again. Never returns.
pub async fn run_reconciliation(gateway: Rc<Gateway>) {
    let blackboard = &gateway.blackboard;
    loop {
        let next_server = blackboard.reconciliation.borrow().next_expiry();
        let next_zone = blackboard.evacuated_zones.borrow().next_expiry();
        let next = next_server.into_iter().chain(next_zone).min();
        let Some(next) = next else {
            blackboard.reconciliation_changed.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(next.into()) => {}
            () = blackboard.reconciliation_changed.notified() => continue,
        }
        update_evacuations(&gateway);
        let now = blackboard.now();
        let changes = blackboard.reconciliation.borrow_mut().expire(now);
        let version = blackboard.mirror.borrow().version();
        for change in &changes {
            update_server(&gateway, change, version);
        }
    }
}

/// Updates the shared state after a change of a server.
fn update_server(
    gateway: &Gateway,
    change: &ServerChange,
    version: StoreVersion,
) {
    let blackboard = &gateway.blackboard;
    let known = blackboard.servers.borrow().get(&change.name).cloned();
    if known.as_deref() == change.server.as_ref() {
        return;
    }
    if let Some(known) = &known {
        blackboard.record_server_changed(known, change.server.as_ref());
    }
    if let Some(server) = &change.server {
        log::info!(
            "servers: server={} service={} software={} zone={} state={:?} \
             {version}",
            server.name,
            server.service,
            server.software_version,
            server.zone,
            server.state,
        );
        if known.is_some_and(|known| known.born_ms != server.born_ms) {
            // Failures and delays of the server's previous process no longer
            // apply.
            blackboard.placement.borrow_mut().remove_server(&server.name);
        }
        blackboard.servers.borrow_mut().insert(server.clone());
        return;
    }
    let name = &change.name;
    let shown = name.escape_default();
    log::info!("servers: server={shown} state=gone {version}");
    if let Some(known) = known {
        let now = blackboard.now();
        blackboard.reconciliation.borrow_mut().record_departure(now, &known);
    }
    blackboard.servers.borrow_mut().remove(name);
    blackboard.placement.borrow_mut().remove_server(name);
}
