//! Tests of the local copy.

use super::*;

fn server(name: &str) -> PublishedValue {
    let address = "10.0.0.1:80".parse().unwrap();
    PublishedValue::Server(ListedServer::new(name, "s", address))
}

pub(super) fn present(name: &str, revision: u64) -> Item {
    let key = ItemKey::Server(Arc::from(name));
    Item { key, revision, value: Some(server(name)) }
}

fn absent(name: &str, revision: u64) -> Item {
    Item { value: None, ..present(name, revision) }
}

/// Guards against a removed server that an older list brings back, for
/// example one from a peer that lags behind.
#[test]
fn apply_older_list() {
    let mut mirror = Mirror::default();
    mirror.apply(present("a", 3));
    mirror.apply(absent("a", 5));
    assert!(!mirror.apply(present("a", 3)));
    assert!(mirror.items().next().is_none());
}

/// Guards against a removal that is missed when the change history is
/// lost.
#[test]
fn apply_snapshot_missing_item() {
    let mut mirror = Mirror::default();
    mirror.apply(present("a", 3));
    mirror.apply(present("b", 9));
    let removed = mirror.apply_snapshot(&[], 6);
    assert_eq!(removed, vec![absent("a", 6)]);
    assert_eq!(mirror.items().count(), 1, "b changed after the listing");
    mirror.advance(9);
    assert!(mirror.has_changes_after(8));
    assert!(!mirror.has_changes_after(9));
}

/// Guards against a peer that misses the removals since its last update.
#[test]
fn changes_since_includes_removals() {
    let mut mirror = Mirror::default();
    mirror.apply(present("a", 3));
    mirror.apply(absent("a", 5));
    mirror.apply(present("b", 6));
    let changes = mirror.changes_since(4).unwrap();
    assert_eq!(changes.len(), 2);
    assert_eq!(changes[0], absent("a", 5));
}

/// Guards against followers that are woken by revisions of the store that
/// change none of their items.
#[test]
fn advance_is_no_change() {
    let mut mirror = Mirror::default();
    mirror.apply(present("a", 3));
    mirror.advance(40);
    assert!(!mirror.has_changes_after(3));
    assert_eq!(mirror.revision(), 40);
}

/// Guards against a change on the first page of a listing that is missed
/// because an item of a later page has a newer revision: changes are then only
/// requested after that one.
#[test]
fn apply_snapshot_change_between_pages() {
    let mut mirror = Mirror::default();
    let listed = [present("a", 3), present("z", 9)];
    for item in &listed {
        mirror.apply(item.clone());
    }
    mirror.apply_snapshot(&listed, 6);
    assert_eq!(mirror.revision(), 6, "changes after 6 are not known");
    assert!(mirror.apply(absent("a", 7)));
}

/// Guards against a peer that never learns of a removal because the daemon it
/// asks has listed the store after the removal and does not know of it.
#[test]
fn changes_since_before_own_listing() {
    let mut mirror = Mirror::default();
    let listed = [present("b", 6)];
    mirror.apply(listed[0].clone());
    mirror.apply_snapshot(&listed, 9);
    assert_eq!(mirror.changes_since(8), None);
    assert_eq!(mirror.changes_since(9), Some(Vec::new()));
}

/// Guards against a removed server that the late response of a lagging peer
/// brings back after a listing without it.
#[test]
fn apply_item_removed_before_listing() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(&[], 9);
    assert!(!mirror.apply(present("a", 3)));
    assert!(mirror.items().next().is_none());
}

/// Guards against a peer that polls without pause because it is woken for a
/// change up to which the other changes are not known yet.
#[test]
fn has_changes_after_unproven() {
    let mut mirror = Mirror::default();
    let listed = [present("z", 9)];
    mirror.apply(listed[0].clone());
    mirror.apply_snapshot(&listed, 6);
    assert!(mirror.has_changes_after(5));
    assert!(!mirror.has_changes_after(6));
    mirror.advance(9);
    assert!(mirror.has_changes_after(6));
}
