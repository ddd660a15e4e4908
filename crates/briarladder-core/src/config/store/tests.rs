use std::time::Duration;

use super::*;
use crate::{config::Bundle, objects::Object};

const KEY: &str = "00112233445566778899aabbccddeeff\
                   00112233445566778899aabbccddeeff";

/// Returns a set whose ranks fill several chunks. It is valid if `share` is at
/// most 100; changing `share` changes one chunk.
fn bundle(epoch: u64, share: u8) -> Bundle {
    let fleet = serde_json::json!({
        "kind": "fleet", "ticket_lifetime_ms": 1000,
        "outcome_retention_ms": 1000, "weight_store_bytes_per_s": 1,
        "ticket_keys": [{"id": 1, "secret_hex": KEY}]
    });
    let rank = |order: u8| {
        serde_json::json!({
            "kind": "rank", "name": format!("rank-{order}"), "order": order,
            "guaranteed_percent": if order == 7 { share } else { 0 }
        })
    };
    let objects: Vec<Object> = std::iter::once(fleet)
        .chain((0..250).map(rank))
        .map(|json| serde_json::from_value(json).unwrap())
        .collect();
    Bundle::new(epoch, &objects).unwrap()
}

/// Returns the announcement of a peer that names no digest.
fn announcement(in_force: u64, known: u64) -> Announcement {
    Announcement { in_force, known, in_force_digest: None }
}

/// Returns a store whose floor is confirmed.
fn confirmed(now: Instant) -> ConfigStore {
    let mut store = ConfigStore::new();
    assert!(store.confirm_floor(now).is_none());
    store
}

/// Offers a whole bundle and returns the last outcome.
fn offer(
    store: &mut ConfigStore,
    bundle: &Bundle,
    now: Instant,
) -> OfferOutcome {
    let mut outcome = store.offer_manifest(bundle.manifest.clone(), now);
    while let OfferOutcome::Missing(missing) = &outcome {
        let digest = missing[0].digest;
        let chunk = bundle.chunks.iter().find(|c| c.digest == digest);
        outcome = store.offer_chunk(&digest, &chunk.unwrap().bytes, now);
    }
    outcome
}

fn epoch(store: &ConfigStore) -> Option<u64> {
    store.in_force().map(|snapshot| snapshot.epoch)
}

/// Guards against replacing an epoch with an older one, for three epochs in
/// different orders.
#[test]
fn adoption_never_reverts() {
    let now = Instant::now();
    let orders = [[1, 2, 3], [1, 3, 2], [2, 1, 3], [2, 3, 1], [3, 1, 2]];
    for order in orders {
        let mut store = confirmed(now);
        let mut highest = 0;
        for next in order {
            let share = u8::try_from(next).unwrap();
            let outcome = offer(&mut store, &bundle(next, share), now);
            let newer = next > highest;
            assert_eq!(matches!(outcome, OfferOutcome::Adopted(_)), newer);
            highest = highest.max(next);
            assert_eq!(epoch(&store), Some(highest));
        }
    }
}

/// Guards against a starting daemon that puts an outdated epoch of the
/// platform in force, before or after it learns the floor.
#[test]
fn starting_daemon_stays_below_floor() {
    let now = Instant::now();
    let ignored = IgnoreReason::BelowFloor { floor: 7 };
    // The floor is known first.
    let mut store = confirmed(now);
    assert_eq!(store.readiness(), Readiness::NoConfiguration);
    store.observe_floor(7, now);
    let outcome = offer(&mut store, &bundle(6, 1), now);
    assert!(matches!(outcome, OfferOutcome::Ignored(r) if r == ignored));
    assert_eq!(store.readiness(), Readiness::BelowFloor { floor: 7 });
    // Nothing is fetched for a set that can't be put in force.
    assert!(
        store.missing_chunks().is_empty() && store.newest_manifest().is_none()
    );
    // The platform responds first, and the floor arrives before it is
    // confirmed.
    let mut store = ConfigStore::new();
    let outcome = offer(&mut store, &bundle(6, 1), now);
    assert!(matches!(outcome, OfferOutcome::Held(_)));
    assert_eq!(store.readiness(), Readiness::FloorUnconfirmed);
    store.observe_peer(announcement(7, 7), now);
    let outcome = store.confirm_floor(now);
    assert!(matches!(outcome, Some(OfferOutcome::Ignored(r)) if r == ignored));
    assert_eq!(epoch(&store), None);
    assert_eq!(store.readiness(), Readiness::BelowFloor { floor: 7 });
    // The floor arrives while chunks are being collected.
    let mut late = confirmed(now);
    let outdated = bundle(6, 1);
    late.offer_manifest(outdated.manifest.clone(), now);
    late.observe_floor(7, now);
    for chunk in &outdated.chunks {
        late.offer_chunk(&chunk.digest, &chunk.bytes, now);
    }
    assert_eq!(epoch(&late), None);
    // A set at the floor makes both stores ready.
    for mut store in [store, late] {
        offer(&mut store, &bundle(7, 1), now);
        assert_eq!(store.readiness(), Readiness::Ready);
    }
}

/// Guards against a held set that is never put in force, and against a
/// daemon that stops serving with its last valid set when it falls behind.
#[test]
fn held_set_is_adopted_at_floor() {
    let now = Instant::now();
    let mut store = ConfigStore::new();
    offer(&mut store, &bundle(6, 1), now);
    // An older response of the platform does not replace the held set.
    let outcome = offer(&mut store, &bundle(5, 1), now);
    assert!(matches!(outcome, OfferOutcome::Ignored(IgnoreReason::NotNewer)));
    store.observe_floor(6, now);
    let outcome = store.confirm_floor(now);
    assert!(matches!(outcome, Some(OfferOutcome::Adopted(_))));
    store.observe_floor(9, now);
    assert_eq!(store.readiness(), Readiness::Ready);
    offer(&mut store, &bundle(8, 2), now);
    assert_eq!(epoch(&store), Some(6));
}

/// Guards against putting an incomplete set in force, and against corrupt,
/// early, repeated or reordered chunks.
#[test]
fn chunks_out_of_order_or_corrupt() {
    let now = Instant::now();
    let set = bundle(1, 1);
    assert!(set.chunks.len() > 2, "{} chunks", set.chunks.len());
    let mut store = confirmed(now);
    let early = &set.chunks[0];
    let outcome = store.offer_chunk(&early.digest, &early.bytes, now);
    let not_wanted = |outcome: &OfferOutcome| {
        matches!(outcome, OfferOutcome::Ignored(IgnoreReason::NotWanted))
    };
    assert!(not_wanted(&outcome));
    store.offer_manifest(set.manifest.clone(), now);
    for (left, chunk) in set.chunks.iter().enumerate().rev() {
        let mut bytes = chunk.bytes.to_vec();
        bytes[left] ^= 1;
        for corrupted in [&bytes[..], &bytes[1..], &[]] {
            let outcome = store.offer_chunk(&chunk.digest, corrupted, now);
            let corrupt = IgnoreReason::Corrupt;
            assert!(
                matches!(outcome, OfferOutcome::Ignored(r) if r == corrupt)
            );
        }
        assert_eq!(
            (store.missing_chunks().len(), epoch(&store)),
            (left + 1, None)
        );
        let outcome = store.offer_chunk(&chunk.digest, &chunk.bytes, now);
        assert_eq!(matches!(outcome, OfferOutcome::Adopted(_)), left == 0);
        let outcome = store.offer_chunk(&chunk.digest, &chunk.bytes, now);
        assert!(not_wanted(&outcome));
    }
    assert_eq!(epoch(&store), Some(1));
    // The next epoch needs only the chunk that changed, and an older
    // manifest does not replace it while it is collected.
    let outcome = store.offer_manifest(bundle(3, 3).manifest, now);
    let OfferOutcome::Missing(missing) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(missing.len(), 1);
    let outcome = store.offer_manifest(bundle(2, 2).manifest, now);
    assert!(matches!(outcome, OfferOutcome::Ignored(IgnoreReason::NotNewer)));
    assert_eq!(store.missing_chunks(), missing);
}

/// Guards against putting an invalid set in force, losing the reason of its
/// rejection, and a rejection that blocks the next valid set.
#[test]
fn invalid_set_leaves_last_valid() {
    let now = Instant::now();
    let mut store = confirmed(now);
    offer(&mut store, &bundle(1, 1), now);
    let invalid = bundle(2, 101);
    let outcome = offer(&mut store, &invalid, now);
    let OfferOutcome::Rejected(rejection) = outcome else {
        panic!("{outcome:?}")
    };
    assert!(rejection.to_string().contains("add up to 101%"));
    assert_eq!(store.rejected(), Some(&rejection));
    assert_eq!((epoch(&store), store.floor()), (Some(1), 1));
    let announced = store.announcement();
    let digest = bundle(1, 1).manifest.id().digest;
    let expected =
        Announcement { in_force_digest: Some(digest), ..announcement(1, 2) };
    assert_eq!(announced, expected);
    // Peers fetch the rejected set too, so that they can show the reason.
    let mut peer = confirmed(now);
    offer(&mut peer, &bundle(1, 1), now);
    peer.observe_peer(announced, now);
    assert_eq!(peer.behind_since(), Some(now));
    let have = peer.newest_manifest().unwrap().id();
    let ManifestResponse::Delta(delta) =
        store.manifest_for(ManifestSelector::Newest, Some(have))
    else {
        panic!("no delta")
    };
    let manifest = delta.apply(peer.newest_manifest().unwrap()).unwrap();
    peer.offer_manifest(manifest, now);
    for missing in peer.missing_chunks() {
        let bytes = store.chunk_bytes(&missing.digest).unwrap();
        peer.offer_chunk(&missing.digest, &bytes, now);
    }
    assert_eq!(peer.rejected(), Some(&rejection));
    assert_eq!((peer.behind_since(), epoch(&peer)), (None, Some(1)));
    // The same set again has no effect.
    let outcome = offer(&mut store, &invalid, now);
    assert!(matches!(outcome, OfferOutcome::Ignored(IgnoreReason::NotNewer)));
    offer(&mut store, &bundle(3, 3), now);
    assert_eq!((epoch(&store), store.rejected()), (Some(3), None));
}

fn unreadable(outcome: &OfferOutcome) -> bool {
    let OfferOutcome::Rejected(rejection) = outcome else { return false };
    matches!(&rejection.reason, RejectReason::Unreadable(f) if f.len() == 1)
}

fn bad_manifest(outcome: &OfferOutcome) -> bool {
    let OfferOutcome::Rejected(rejection) = outcome else { return false };
    matches!(rejection.reason, RejectReason::BadManifest(_))
}

/// Guards against a daemon that gets stuck on a manifest or chunk that it
/// can't read.
#[test]
fn unreadable_set_is_rejected() {
    let now = Instant::now();
    let mut store = confirmed(now);
    let mut invalid = bundle(1, 1);
    let text: &[u8] = br#"[{"kind": "speed"}]"#;
    let digest = Digest::of(text);
    invalid.manifest.chunks[0].digest = digest;
    invalid.manifest.chunks[0].len_bytes = text.len() as u64;
    invalid.chunks[0] = crate::config::Chunk { digest, bytes: text.into() };
    let outcome = offer(&mut store, &invalid, now);
    assert!(unreadable(&outcome));
    // Bytes that are not UTF-8 are reported as an error too.
    let bytes: &[u8] = &[b'[', 0xff, b']'];
    let digest = Digest::of(bytes);
    invalid.manifest.epoch = 2;
    invalid.manifest.chunks[0].digest = digest;
    invalid.manifest.chunks[0].len_bytes = bytes.len() as u64;
    invalid.chunks[0] = crate::config::Chunk { digest, bytes: bytes.into() };
    let outcome = offer(&mut store, &invalid, now);
    assert!(unreadable(&outcome));
    // The same digest is listed with two lengths.
    let mut lengths = bundle(3, 1);
    let mut copy = lengths.manifest.chunks[0].clone();
    copy.name = serde_json::from_str("\"copy\"").unwrap();
    copy.len_bytes += 1;
    lengths.manifest.chunks.push(copy);
    let outcome = offer(&mut store, &lengths, now);
    assert!(bad_manifest(&outcome));
    let mut twice = bundle(4, 1).manifest;
    twice.chunks.push(twice.chunks[0].clone());
    let outcome = store.offer_manifest(twice, now);
    assert!(bad_manifest(&outcome));
    offer(&mut store, &bundle(5, 1), now);
    assert_eq!(epoch(&store), Some(5));
}

/// Guards against replacing the content of an epoch with another content of
/// the same epoch, while it is collected and after it was adopted.
#[test]
fn epoch_published_twice() {
    let now = Instant::now();
    let (first, second) = (bundle(1, 1), bundle(1, 2));
    let reused = |outcome: &OfferOutcome| match outcome {
        OfferOutcome::Rejected(rejection) => {
            let first = first.manifest.id();
            rejection.reason == RejectReason::EpochReused { first }
        }
        _ => false,
    };
    let mut store = confirmed(now);
    store.offer_manifest(first.manifest.clone(), now);
    assert!(reused(&store.offer_manifest(second.manifest.clone(), now)));
    offer(&mut store, &first, now);
    let share = |store: &ConfigStore| {
        store.in_force().unwrap().ranks[7].guaranteed_percent
    };
    assert_eq!(share(&store), 1);
    assert!(reused(&offer(&mut store, &second, now)));
    assert_eq!((share(&store), epoch(&store)), (1, Some(1)));
    assert!(store.rejected().is_some());
    offer(&mut store, &bundle(2, 2), now);
    assert_eq!((share(&store), store.rejected()), (2, None));
}

/// Guards against resetting the start of being behind with each probe, and
/// against chunks of replaced sets that are never evicted.
#[test]
fn behind_keeps_first_time() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut store = confirmed(start);
    offer(&mut store, &bundle(1, 1), start);
    assert_eq!(store.behind_since(), None);
    store.observe_peer(announcement(2, 3), at(1));
    store.observe_peer(announcement(4, 4), at(2));
    assert_eq!(store.behind_since(), Some(at(1)));
    offer(&mut store, &bundle(4, 4), at(3));
    assert_eq!(store.behind_since(), None);
    for next in 5..40 {
        let share = u8::try_from(next).unwrap();
        let set = bundle(next, share);
        offer(&mut store, &set, at(next));
        assert!(store.chunks.len() <= set.chunks.len() + 1);
    }
    assert_eq!(store.complete.len(), HISTORY_MANIFESTS);
    let old = bundle(1, 1).manifest.id();
    let response = store.manifest_for(ManifestSelector::Newest, Some(old));
    assert!(matches!(response, ManifestResponse::Full(m) if m.epoch == 39));
    let have = store.newest_manifest().map(Manifest::id);
    let response = store.manifest_for(ManifestSelector::Newest, have);
    assert_eq!(response, ManifestResponse::Nothing);
}

/// Guards against a daemon that can't start while the published set is
/// invalid although its peers have the last valid one, even after many
/// invalid sets.
#[test]
fn starting_daemon_gets_last_valid_from_peers() {
    let now = Instant::now();
    let mut peer = confirmed(now);
    offer(&mut peer, &bundle(7, 1), now);
    for next in 8..30 {
        offer(&mut peer, &bundle(next, 101), now);
    }
    let mut starting = ConfigStore::new();
    starting.observe_peer(peer.announcement(), now);
    starting.confirm_floor(now);
    assert_eq!(starting.wanted_manifest(), Some(ManifestSelector::Newest));
    for next in 20..30 {
        offer(&mut starting, &bundle(next, 101), now);
    }
    assert_eq!(starting.wanted_manifest(), Some(ManifestSelector::InForce));
    assert_eq!(starting.behind_since(), Some(now));
    let have = starting.newest_manifest().map(Manifest::id);
    let response = peer.manifest_for(ManifestSelector::InForce, have);
    let ManifestResponse::Delta(delta) = response else {
        panic!("{response:?}")
    };
    let base = starting.newest_manifest().unwrap();
    let manifest = delta.apply(base).unwrap();
    starting.offer_manifest(manifest, now);
    for missing in starting.missing_chunks() {
        let bytes = peer.chunk_bytes(&missing.digest).unwrap();
        starting.offer_chunk(&missing.digest, &bytes, now);
    }
    assert_eq!(
        (epoch(&starting), starting.wanted_manifest()),
        (Some(7), None)
    );
    let response = starting.manifest_for(ManifestSelector::InForce, None);
    assert!(matches!(response, ManifestResponse::Full(m) if m.epoch == 7));
    // The rejection of the newer epoch is still reported.
    assert_eq!(starting.rejected().map(|r| r.id.epoch), Some(29));
    // A daemon does not repeatedly request an epoch that it rejected, even
    // if that epoch is in force elsewhere.
    starting.observe_floor(29, now);
    assert_eq!(starting.wanted_manifest(), None);
}

/// Guards against two contents of one epoch in force in a fleet, after the
/// platform has given the epoch out again: for a daemon that starts and has
/// the set before it hears of its peers, while it collects it, and after.
#[test]
fn epoch_reused_elsewhere() {
    let now = Instant::now();
    let (first, reused) = (bundle(7, 1), bundle(7, 2));
    let mut peer = confirmed(now);
    offer(&mut peer, &first, now);
    let is_reused = |outcome: &OfferOutcome| match outcome {
        OfferOutcome::Rejected(rejection) => {
            let first = first.manifest.id();
            rejection.reason == RejectReason::EpochReused { first }
        }
        _ => false,
    };
    let mut held = ConfigStore::new();
    let outcome = offer(&mut held, &reused, now);
    assert!(matches!(outcome, OfferOutcome::Held(_)));
    held.observe_peer(peer.announcement(), now);
    assert!(is_reused(&held.confirm_floor(now).unwrap()));
    let mut collecting = confirmed(now);
    collecting.offer_manifest(reused.manifest.clone(), now);
    collecting.observe_peer(peer.announcement(), now);
    let last = reused
        .chunks
        .iter()
        .map(|chunk| collecting.offer_chunk(&chunk.digest, &chunk.bytes, now));
    assert!(is_reused(&last.last().unwrap()));
    let mut knowing = confirmed(now);
    knowing.observe_peer(peer.announcement(), now);
    assert!(is_reused(&offer(&mut knowing, &reused, now)));
    for mut store in [held, collecting, knowing] {
        assert_eq!(epoch(&store), None);
        assert_eq!(store.wanted_manifest(), Some(ManifestSelector::Newest));
        let outcome = offer(&mut store, &first, now);
        assert!(matches!(outcome, OfferOutcome::Adopted(_)), "{outcome:?}");
        assert_eq!(store.announcement(), peer.announcement());
        assert!(is_reused(&offer(&mut store, &reused, now)));
        assert_eq!(store.in_force().unwrap().ranks[7].guaranteed_percent, 1);
    }
}
