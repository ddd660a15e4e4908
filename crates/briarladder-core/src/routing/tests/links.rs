//! Preference for near zones, and use of links to other regions.

use super::*;

const THREE: [&str; 3] = ["recife-a-1", "recife-b-1", "campinas-a-1"];

fn fill(fixture: &mut Fixture, server: &str) {
    fixture.report(server, &report(1, 1, SLOTS));
}

/// Guards against using a billed link while nearer servers have free slots.
#[test]
fn pick_prefers_near() {
    let mut fixture = Fixture::new(&THREE);
    assert_eq!(fixture.picked(), ["recife-a-1"]);
    fill(&mut fixture, "recife-a-1");
    assert_eq!(fixture.picked(), ["recife-b-1"]);
    fill(&mut fixture, "recife-b-1");
    assert_eq!(fixture.pick().unwrap_err(), NoServer::AllBusy);
}

/// Guards against queues in one zone while another of the region is idle.
#[test]
fn pick_spills_inside_region() {
    let mut fixture = Fixture::new(&THREE);
    fixture.report("recife-b-1", &report(1, 1, 0));
    fixture.report("recife-a-1", &report(1, 1, 2));
    assert_eq!(fixture.picked(), ["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 2, 3));
    assert_eq!(fixture.picked(), ["recife-b-1"]);
}

/// Guards against a missed deadline while another region has free slots, and
/// against using the link if the response can't arrive in time.
#[test]
fn pick_uses_link_if_deadline_needs_it() {
    let mut fixture = Fixture::new(&THREE);
    fill(&mut fixture, "recife-a-1");
    fill(&mut fixture, "recife-b-1");
    // The estimate is 100 ms and the round trip 40 ms.
    let mut pick = |left_ms: u32, link_use| {
        fixture.pick_with(|query| {
            query.time_left = left_ms * MS;
            query.link_use = link_use;
        })
    };
    let busy = NoServer::AllBusy;
    assert_eq!(pick(240, LinkUse::IfNeeded).unwrap_err(), busy);
    let remote = pick(239, LinkUse::IfNeeded).unwrap();
    assert_eq!(remote.distance, Distance::OtherRegion);
    assert!(pick(140, LinkUse::IfNeeded).is_ok());
    assert_eq!(pick(139, LinkUse::IfNeeded).unwrap_err(), busy);
    assert_eq!(pick(239, LinkUse::Never).unwrap_err(), busy);
}

/// Guards against waiting for nearer servers that are not usable.
#[test]
fn pick_uses_link_if_near_is_gone() {
    let mut fixture = Fixture::new(&THREE);
    fixture.fail("recife-a-1", AttemptFailure::ConnectFailed);
    fixture.report("recife-b-1", &leaving(1, 1));
    assert_eq!(fixture.picked(), ["campinas-a-1"]);
    let late = fixture.pick_with(|q| q.time_left = 110 * MS);
    assert_eq!(late.unwrap_err(), NoServer::TooFar);
    let never = fixture.pick_with(|q| q.link_use = LinkUse::Never);
    assert_eq!(never.unwrap_err(), NoServer::TooFar);
}

/// Guards against waiting for near servers although the link is not billed.
#[test]
fn pick_uses_unbilled_link() {
    let mut fixture = Fixture::with_link(&THREE, false);
    assert_eq!(fixture.picked(), ["recife-a-1"]);
    fill(&mut fixture, "recife-a-1");
    fill(&mut fixture, "recife-b-1");
    assert_eq!(fixture.picked(), ["campinas-a-1"]);
}

/// Guards against billed bytes that are not counted by stage, and against
/// counting bytes that stay inside the region.
#[test]
fn count_bytes_counts_other_regions() {
    let mut fixture = Fixture::new(&THREE);
    let stage = StageName::new("plan").unwrap();
    let bytes = StageBytes { sent_bytes: 10, received_bytes: 5 };
    for server in ["recife-b-1", "campinas-a-1", "campinas-a-1"] {
        fixture.router.record_bytes(&stage, &name(server), bytes);
    }
    let counted = fixture.router.cross_region_bytes();
    let expected = StageBytes { sent_bytes: 20, received_bytes: 10 };
    assert_eq!(counted.of_stage(&stage), expected);
    assert_eq!(counted.total_bytes(), 30);
}

/// Guards against counting slots of other regions as near ones, by which
/// admission would admit too much.
#[test]
fn free_slots_separates_regions() {
    let mut fixture = Fixture::new(&THREE);
    for server in THREE {
        fixture.report(server, &report(1, 1, 1));
    }
    fixture.send();
    let slots = fixture.router.free_slots(fixture.now, &POOL);
    let expected = PoolSlots {
        near_slots_requests: 8,
        near_subset_servers: 2,
        near_pool_servers: 2,
        near_free_requests: 5,
        remote_free_requests: 3,
        in_flight_requests: 1,
    };
    assert_eq!(slots, expected);
}
