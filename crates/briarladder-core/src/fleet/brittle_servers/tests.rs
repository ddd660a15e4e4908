//! Tests of the rooms at brittle servers.

use crate::fleet::server_limits::ServerLimits;

use super::*;

const MAX_REJECTIONS_PER_S: u32 = 3;

fn server(name: &str, slots: u32) -> ListedServer {
    let address = "127.0.0.1:1".parse().unwrap();
    ListedServer { slots, ..ListedServer::new(name, "orders", address) }
}

fn members(local: usize, count: usize) -> LimitMembers {
    let names: Vec<Arc<str>> =
        (0..count).map(|index| Arc::from(format!("vm-{index}"))).collect();
    LimitMembers::new(Arc::from(format!("vm-{local}")), names, 1)
}

fn told(sent_at: Instant, is_brittle: bool) -> Observation {
    let max_rejections_per_s = is_brittle.then_some(MAX_REJECTIONS_PER_S);
    Observation { sent_at, max_rejections_per_s, is_own: true }
}

fn brittle_since(now: Instant) -> BrittleServices {
    let mut services = BrittleServices::default();
    let change = services.observe(now, &"orders".into(), told(now, true));
    assert_eq!(change, Some(BrittleChange::Began));
    services
}

fn slots(services: &mut BrittleServices, now: Instant) -> Option<usize> {
    let servers = [Arc::new(server("s-1", 6))];
    let members = members(0, 1);
    match services.room(now, &servers[0], &sharers(&members, &servers))? {
        Room::Slots(slots) => Some(slots),
        Room::PausedUntil(_) => None,
    }
}

fn sharers<'a>(
    members: &'a LimitMembers,
    servers: &'a [Arc<ListedServer>],
) -> Sharers<'a> {
    Sharers { members, servers, servers_version: 1 }
}

fn spread(parts: &[usize]) -> usize {
    parts.iter().max().unwrap() - parts.iter().min().unwrap()
}

/// Guards against daemons that together send more than the slots of a server,
/// that leave slots unused, or of which some have far fewer than others.
#[test]
fn room_sums_to_slots() {
    let now = Instant::now();
    for (daemons, slots_each, count) in
        [(1, 6, 3), (2, 2, 2), (9, 6, 3), (9, 64, 18), (300, 64, 5), (7, 3, 2)]
    {
        let servers: Vec<Arc<ListedServer>> = (0..count)
            .map(|index| Arc::new(server(&format!("s-{index}"), slots_each)))
            .collect();
        let mut totals = vec![0; daemons];
        for server in &servers {
            let parts: Vec<usize> = (0..daemons)
                .map(|local| {
                    let members = members(local, daemons);
                    let sharers = sharers(&members, &servers);
                    let room = brittle_since(now).room(now, server, &sharers);
                    let Some(Room::Slots(slots)) = room else {
                        unreachable!()
                    };
                    totals[local] += slots;
                    slots
                })
                .collect();
            let sum: usize = parts.iter().sum();
            assert_eq!(u32::try_from(sum).unwrap(), slots_each, "{parts:?}");
            assert!(spread(&parts) <= 1, "{parts:?}");
        }
        assert!(spread(&totals) <= 1, "{totals:?}");
    }
}

/// Guards against a part that stays that of other lists of members or
/// servers, and against one of a daemon that has left.
#[test]
fn room_follows_lists() {
    let now = Instant::now();
    let mut services = brittle_since(now);
    let mut servers = vec![Arc::new(server("s-1", 6))];
    let alone = members(0, 1);
    let mut room = |members: &LimitMembers,
                    servers: &[Arc<ListedServer>],
                    servers_version| {
        let sharers = Sharers { members, servers, servers_version };
        services.room(now, &servers[0], &sharers)
    };
    assert_eq!(room(&alone, &servers, 1), Some(Room::Slots(6)));
    servers[0] = Arc::new(server("s-1", 4));
    assert_eq!(room(&alone, &servers, 2), Some(Room::Slots(4)));
    let names = vec![Arc::from("vm-0"), Arc::from("vm-1")];
    let both = LimitMembers::new(Arc::from("vm-0"), names.clone(), 2);
    assert_eq!(room(&both, &servers, 2), Some(Room::Slots(2)));
    let without = LimitMembers::new(Arc::from("vm-2"), names, 3);
    assert_eq!(room(&without, &servers, 2), Some(Room::Slots(0)));
}

/// Guards against servers of other services, or of unknown slots, that get
/// fewer requests.
#[test]
fn room_of_others() {
    let now = Instant::now();
    let mut services = brittle_since(now);
    let members = members(0, 1);
    let mut other = server("s-2", 6);
    other.service = "plans".into();
    for server in [other, server("s-1", 0)] {
        let servers = [Arc::new(server)];
        let sharers = sharers(&members, &servers);
        assert_eq!(services.room(now, &servers[0], &sharers), None);
    }
}

/// Guards against a service that counts as sound because of a response that
/// was given before it became brittle or belongs to another request, and
/// against one that counts as brittle forever.
#[test]
fn observe_end() {
    let now = Instant::now();
    let service: Arc<str> = "orders".into();
    let mut services = brittle_since(now);
    let earlier = now.checked_sub(Duration::from_millis(1)).unwrap();
    assert_eq!(services.observe(now, &service, told(earlier, false)), None);
    let copy = Observation { is_own: false, ..told(now, false) };
    assert_eq!(services.observe(now, &service, copy), None);
    assert!(services.is_brittle(now, "orders"));
    let change = services.observe(now, &service, told(now, false));
    assert_eq!(change, Some(BrittleChange::Ended));
    assert_eq!(slots(&mut services, now), None);

    let mut services = brittle_since(now);
    let before = now + RETENTION.saturating_sub(Duration::from_millis(1));
    assert_eq!(slots(&mut services, before), Some(6));
    assert_eq!(slots(&mut services, now + RETENTION), None);
    assert!(!services.is_brittle(now + RETENTION, "orders"));
}

/// Guards against daemons that go on sending to a server which rejects all,
/// until it ends.
#[test]
fn record_rejection_pauses() {
    let now = Instant::now();
    let servers = ["s-1", "s-2"].map(|name| Arc::new(server(name, 6)));
    let [rejecting, other] = &servers;
    let members = members(0, 9);
    let sharers = sharers(&members, &servers);
    let mut services = brittle_since(now);
    services.record_rejection(now, rejecting, &members);
    // Six daemons have a slot; each waits two thirds of a second for each.
    let until = now + Duration::from_secs(4);
    let room = services.room(now, rejecting, &sharers);
    assert_eq!(room, Some(Room::PausedUntil(until)));
    assert_eq!(services.paused_until(now, rejecting), Some(until));
    assert_eq!(services.paused_until(until, rejecting), None);
    let room = services.room(until, rejecting, &sharers);
    assert!(matches!(room, Some(Room::Slots(_))));
    assert_eq!(services.paused_until(now, other), None);
}

/// Guards against a pause without an end at a server that withstands no
/// rejection, and against one that is too short to read the next response.
#[test]
fn pause_after_rejection_bounds() {
    assert_eq!(pause_after_rejection(6, 0), MAX_PAUSE);
    assert_eq!(pause_after_rejection(1, 1000), MIN_PAUSE);
    assert_eq!(pause_after_rejection(2, 4), Duration::from_secs(1));
}

/// Guards against a daemon that learns of a brittle service only from the
/// rejections of its own requests, and against daemons of an earlier version
/// that take the notice for a limit.
#[test]
fn notices_told() {
    let now = Instant::now();
    let service: Arc<str> = "orders".into();
    let notices = brittle_since(now).notices(now);
    let mut other = BrittleServices::default();
    assert_eq!(other.merge(now, &notices), [Arc::clone(&service)]);
    assert!(other.merge(now, &notices).is_empty());
    assert_eq!(slots(&mut other, now), Some(6));

    let mut limits = ServerLimits::new(now);
    assert!(limits.merge(now, &notices).is_empty());
    assert_eq!(limits.limited(now).count(), 0);
    assert!(brittle_since(now).notices(now + RETENTION).is_empty());
}

/// Guards against daemons that remind each other of a service which has become
/// sound.
#[test]
fn notices_older_than_end() {
    let now = Instant::now();
    let service: Arc<str> = "orders".into();
    let notices = brittle_since(now).notices(now);
    let mut services = brittle_since(now);
    let later = now + Duration::from_millis(100);
    let change = services.observe(later, &service, told(later, false));
    assert_eq!(change, Some(BrittleChange::Ended));
    assert!(services.merge(later, &notices).is_empty());
    assert!(!services.is_brittle(later, "orders"));
    assert!(services.notices(later).is_empty());
    let anew = later + Duration::from_secs(3);
    let notices = brittle_since(anew).notices(anew);
    assert_eq!(services.merge(anew, &notices), [service]);
}
