//! Applies items of the store to the shared state.

use std::sync::Arc;

use briarladder_core::fleet::mirror::{Item, ItemKey, PublishedValue};

use crate::{
    context::Gateway,
    dialect::{ItemKind, StoreItem},
};

use super::compression::{compress_config, decompress_config};

/// Decodes an item of the store; `None` if the gateway does not use it. A
/// server with a malformed entry is treated as removed.
pub fn decode_item(gateway: &Gateway, item: &StoreItem) -> Option<Item> {
    let StoreItem { key, revision, value } = item;
    let (key, value) = match gateway.dialect.item_kind(key) {
        ItemKind::Config => {
            let value = value.as_ref();
            let value = value
                .map(|bytes| PublishedValue::Config(compress_config(bytes)));
            (ItemKey::Config, value)
        }
        ItemKind::Server(name) => {
            let server = value.as_ref().and_then(|value| {
                gateway
                    .dialect
                    .decode_server(name, value)
                    .inspect_err(|error| {
                        // Another writer may have chosen any name.
                        let name = name.escape_default();
                        log::warn!(
                            "servers: server={name} outcome=ignored \
                             cause={error} revision={revision}"
                        );
                    })
                    .ok()
            });
            (
                ItemKey::Server(Arc::from(name)),
                server.map(PublishedValue::Server),
            )
        }
        ItemKind::Other => return None,
    };
    Some(Item { key, revision: *revision, value })
}

/// Applies a full listing that was started at a revision.
pub fn apply_snapshot(gateway: &Gateway, items: &[Item], revision: u64) {
    for item in items {
        apply_change(gateway, item);
    }
    let removed =
        gateway.blackboard.mirror.borrow_mut().apply_snapshot(items, revision);
    for item in removed {
        update_state(gateway, &item);
    }
    gateway.blackboard.mirror_changed.notify_waiters();
}

/// Applies one change.
pub fn apply_change(gateway: &Gateway, item: &Item) {
    let changed = gateway.blackboard.mirror.borrow_mut().apply(item.clone());
    if changed {
        update_state(gateway, item);
    }
}

/// Records that all changes up to a revision are applied.
pub fn advance_revision(gateway: &Gateway, revision: u64) {
    gateway.blackboard.mirror.borrow_mut().advance(revision);
    gateway.blackboard.mirror_changed.notify_waiters();
}

/// Updates the shared state after a change of an item.
fn update_state(gateway: &Gateway, item: &Item) {
    let revision = item.revision;
    match (&item.key, &item.value) {
        (_, Some(PublishedValue::Config(bytes))) => {
            update_config(gateway, revision, bytes);
        }
        (_, Some(PublishedValue::Server(server))) => {
            log::info!(
                "servers: server={} service={} zone={} state={:?} \
                 revision={revision}",
                server.name,
                server.service,
                server.zone,
                server.state,
            );
            let blackboard = &gateway.blackboard;
            let known = blackboard.servers.borrow().get(&server.name).cloned();
            if known.is_some_and(|known| known.born_ms != server.born_ms) {
                // Failures and delays of the server's previous process no
                // longer apply.
                blackboard.placement.borrow_mut().remove_server(&server.name);
            }
            blackboard.servers.borrow_mut().insert(server.clone());
        }
        (ItemKey::Server(name), None) => {
            let shown = name.escape_default();
            log::info!(
                "servers: server={shown} state=gone revision={revision}"
            );
            gateway.blackboard.servers.borrow_mut().remove(name);
            gateway.blackboard.placement.borrow_mut().remove_server(name);
        }
        // A removed configuration stays in force.
        (ItemKey::Config, None) => {}
    }
}

fn update_config(gateway: &Gateway, revision: u64, compressed: &[u8]) {
    let bytes = match decompress_config(compressed) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(
                "config: revision={revision} outcome=rejected cause={error}"
            );
            return;
        }
    };
    match gateway.dialect.decode_config(&bytes) {
        Ok(config) => {
            let version = config.version;
            let routes = config.routes.len();
            if gateway.blackboard.apply_config(config) {
                let shown = i64::try_from(version).unwrap_or(i64::MAX);
                gateway.metrics.config_version.set(shown);
                log::info!(
                    "config: version={version} routes={routes} \
                     revision={revision} outcome=in_force"
                );
            }
        }
        Err(error) => log::error!(
            "config: revision={revision} outcome=rejected cause={error}"
        ),
    }
}
