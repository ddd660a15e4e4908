//! Putting published items into force.

use briarladder_core::fleet::mirror::Item;

use crate::{context::Gateway, dialect::ItemKind};

/// Takes a full list that was begun at a revision.
pub fn apply_list(gateway: &Gateway, items: &[Item], revision: u64) {
    for item in items {
        apply(gateway, item);
    }
    let removed =
        gateway.board.mirror.borrow_mut().apply_full(items, revision);
    for item in removed {
        take_effect(gateway, &item);
    }
    gateway.board.mirror_changed.notify_waiters();
}

/// Takes one change.
pub fn apply(gateway: &Gateway, item: &Item) {
    let news = gateway.board.mirror.borrow_mut().apply(item.clone());
    if news {
        take_effect(gateway, item);
    }
}

/// Records that all changes up to a revision are known.
pub fn advance(gateway: &Gateway, revision: u64) {
    gateway.board.mirror.borrow_mut().advance(revision);
    gateway.board.mirror_changed.notify_waiters();
}

/// Puts a changed item into force.
fn take_effect(gateway: &Gateway, item: &Item) {
    match gateway.dialect.item_kind(&item.key) {
        ItemKind::Config => config_changed(gateway, item),
        ItemKind::Server(name) => server_changed(gateway, name, item),
        ItemKind::Other => {}
    }
}

fn config_changed(gateway: &Gateway, item: &Item) {
    // A configuration that is taken away leaves the last one in force.
    let Some(value) = &item.value else { return };
    match gateway.dialect.decode_config(value) {
        Ok(config) => {
            let version = config.version;
            let routes = config.routes.len();
            if gateway.board.adopt(config) {
                let shown = i64::try_from(version).unwrap_or(i64::MAX);
                gateway.metrics.config_version.set(shown);
                log::info!(
                    "config: version={version} routes={routes} revision={} \
                     outcome=in_force",
                    item.revision
                );
            }
        }
        Err(error) => log::error!(
            "config: revision={} outcome=rejected cause={error}",
            item.revision
        ),
    }
}

fn server_changed(gateway: &Gateway, name: &str, item: &Item) {
    let mut servers = gateway.board.servers.borrow_mut();
    let decoded = item
        .value
        .as_ref()
        .map(|value| gateway.dialect.decode_server(name, value));
    match decoded {
        Some(Ok(server)) => {
            log::info!(
                "servers: server={name} service={} zone={} state={:?} \
                 revision={}",
                server.service,
                server.zone,
                server.state,
                item.revision
            );
            servers.insert(server);
        }
        Some(Err(error)) => {
            log::warn!(
                "servers: server={name} outcome=ignored cause={error} \
                 revision={}",
                item.revision
            );
            servers.remove(name);
        }
        None => {
            log::info!(
                "servers: server={name} state=gone revision={}",
                item.revision
            );
            servers.remove(name);
            gateway.board.placement.borrow_mut().forget(name);
        }
    }
}
