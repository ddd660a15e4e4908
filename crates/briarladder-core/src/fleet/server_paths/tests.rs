use std::{net::SocketAddr, time::Instant};

use super::{
    super::{peers::Member, placement::Distance},
    relays::SAME_ZONE_ADVANTAGE,
    *,
};

const MS: Duration = Duration::from_millis(1);

fn servers(count_by_service: &[(&str, usize)]) -> Servers {
    let mut servers = Servers::default();
    for (service, count) in count_by_service {
        for number in 0..*count {
            let name = format!("{service}-{number}");
            let address = SocketAddr::from(([10, 0, 0, 1], 80));
            servers.insert(ListedServer::new(&name, service, address));
        }
    }
    servers
}

fn fail(
    paths: &mut ServerPaths,
    now: Instant,
    servers: &Servers,
    names: &[&str],
) {
    for name in names {
        let server = servers.get(name).unwrap();
        let failure = ConnectFailure::Silent;
        paths.record_failed(now, now, server, failure);
    }
}

fn member(name: &str, zone: &str) -> Member {
    Member::new(name, zone, SocketAddr::from(([10, 0, 0, 2], 80)), 1)
}

/// Guards against a daemon that asks others for the servers of a service all
/// of which have crashed, or counts as cut off because of them.
#[test]
fn is_cut_off_one_service_down() {
    let now = Instant::now();
    let servers = servers(&[("booking", 3), ("model", 4)]);
    let mut paths = ServerPaths::default();
    paths.update(now, &servers);
    fail(&mut paths, now, &servers, &["booking-0", "booking-1", "booking-2"]);
    assert!(!paths.is_cut_off(now));
    let model = servers.get("model-0").unwrap();
    assert_eq!(paths.route(now, model), ServerRoute::Direct);
    let probe = paths.next_probe(now, &servers).unwrap();
    assert_eq!(&*probe.service, "model");
    paths.record_opened(now, &probe);
    assert!(!paths.is_suspect(now));
}

/// Guards against requests that wait for each server in turn while none can
/// be reached.
#[test]
fn is_cut_off_several_services() {
    let now = Instant::now();
    let servers = servers(&[("booking", 3), ("model", 4)]);
    let mut paths = ServerPaths::default();
    paths.update(now, &servers);
    fail(&mut paths, now, &servers, &["booking-0", "model-0"]);
    assert!(!paths.is_cut_off(now) && paths.is_suspect(now));
    fail(&mut paths, now, &servers, &["model-1"]);
    assert!(paths.is_cut_off(now));
    let untried = servers.get("model-3").unwrap();
    assert_eq!(paths.route(now, untried), ServerRoute::Relay);
    paths.record_answer(now + MS);
    assert_eq!(paths.route(now + MS, untried), ServerRoute::Direct);
}

/// Guards against a daemon that stays cut off, or asks others for ever, after
/// its paths are back.
#[test]
fn next_probe_finds_way_back() {
    let mut now = Instant::now();
    let servers = servers(&[("booking", 3), ("model", 4)]);
    let mut paths = ServerPaths::default();
    paths.update(now, &servers);
    let cut = ["booking-0", "model-0", "model-1"];
    fail(&mut paths, now, &servers, &cut);
    for name in cut {
        paths.record_relayed(now, servers.get(name).unwrap());
    }
    let mut probes = 0;
    for _ in 0..20 {
        now += 100 * MS;
        while let Some(server) = paths.next_probe(now, &servers) {
            probes += 1;
            fail(&mut paths, now, &servers, &[&*server.name]);
        }
    }
    assert!(paths.is_cut_off(now));
    assert!((6..=20).contains(&probes), "{probes} probes in 2 s");
    now += PROBE_INTERVAL;
    let mut found = 0;
    while let Some(server) = paths.next_probe(now, &servers) {
        paths.record_opened(now, &server);
        found += 1;
    }
    assert!(found > 0 && !paths.is_cut_off(now));
    for name in cut {
        let server = servers.get(name).unwrap();
        assert_eq!(paths.route(now, server), ServerRoute::Direct, "{name}");
    }
}

/// Guards against requests that are sent on connections that a cut has made
/// silent, and against the loss of those that live on.
#[test]
fn trusts_open_by_failure() {
    let before = Instant::now();
    let begun_at = before + 100 * MS;
    let now = begun_at + 100 * MS;
    let servers = servers(&[("model", 2)]);
    let server = servers.get("model-0").unwrap();
    for (failure, trusts_older) in
        [(ConnectFailure::Silent, false), (ConnectFailure::Refused, true)]
    {
        let mut paths = ServerPaths::default();
        paths.record_failed(now, begun_at, server, failure);
        let is_trusted = |at| paths.trusts_open(now, server, at);
        assert_eq!(is_trusted(before), trusts_older, "{failure:?}");
        assert!(is_trusted(begun_at + 50 * MS), "{failure:?}");
    }
}

/// Guards against other daemons that are asked again and again for a server
/// that is down.
#[test]
fn route_server_down() {
    let now = Instant::now();
    let servers = servers(&[("model", 2)]);
    let server = servers.get("model-0").unwrap();
    let mut paths = ServerPaths::default();
    fail(&mut paths, now, &servers, &["model-0"]);
    paths.record_down(now, server);
    assert_eq!(paths.route(now, server), ServerRoute::DirectOnly);
    let later = now + DOWN_RETENTION;
    assert_eq!(paths.route(later, server), ServerRoute::Direct);
}

/// Guards against one daemon that carries all relayed connections of its zone.
#[test]
fn choose_spreads_connections() {
    let now = Instant::now();
    let members = [member("a-1", "a"), member("b-1", "b"), member("b-2", "b")];
    let mut relays = RelayTable::default();
    for number in 0..60 {
        let distance = |member: &Member| match &*member.zone {
            "a" => Distance::SameZone,
            _ => Distance::OtherRegion,
        };
        let chosen = relays.choose(now, members.iter(), distance, number);
        let chosen = Arc::clone(&chosen.unwrap().name);
        if number < 16 {
            assert_eq!(&*chosen, "a-1");
        }
        relays.record_opened(now, &chosen, None);
    }
    let counts = ["a-1", "b-1", "b-2"].map(|name| relays.open_count(name));
    assert!((29..=32).contains(&counts[0]), "{counts:?}");
    assert!((14..=16).contains(&counts[1]), "{counts:?}");
    assert!((14..=16).contains(&counts[2]), "{counts:?}");
    relays.record_closed("a-1");
    assert_eq!(relays.open_count("a-1"), counts[0] - 1);
}

/// Guards against the last daemon of a zone that reaches servers, which carries
/// the connections of all others of the zone since each counts only its own.
#[test]
fn choose_counts_connections_of_others() {
    let now = Instant::now();
    let members = [member("a-4", "a"), member("b-1", "b"), member("c-1", "c")];
    let distance = |member: &Member| match &*member.zone {
        "a" => Distance::SameZone,
        _ => Distance::OtherRegion,
    };
    let names = ["a-4", "b-1", "c-1"];
    let mut asking = vec![RelayTable::default(); 3];
    let count = |asking: &[RelayTable], name: &str| {
        asking.iter().map(|relays| relays.open_count(name)).sum::<usize>()
    };
    for number in 0..16 {
        for index in 0..asking.len() {
            let relays = &asking[index];
            let chosen = relays.choose(now, members.iter(), distance, number);
            let chosen = Arc::clone(&chosen.unwrap().name);
            let relayed = count(&asking, &chosen) + 1;
            asking[index].record_opened(now, &chosen, Some(relayed));
        }
    }
    let counts = names.map(|name| count(&asking, name));
    assert_eq!(counts.iter().sum::<usize>(), 48);
    // The near one has the advantage once, not once for each asking daemon.
    assert!(counts[0] <= counts[1] + SAME_ZONE_ADVANTAGE + 3, "{counts:?}");
    let later = now + Duration::from_secs(1);
    let chosen = asking[0].choose(later, members.iter(), distance, 0);
    assert_eq!(&*chosen.unwrap().name, "a-4");
}

/// Guards against a daemon that fails because another one tells a number that
/// can't be.
#[test]
fn choose_tolerates_any_number() {
    let now = Instant::now();
    let members = [member("a-4", "a"), member("b-1", "b")];
    let distance = |member: &Member| match &*member.zone {
        "a" => Distance::SameZone,
        _ => Distance::OtherRegion,
    };
    let mut relays = RelayTable::default();
    relays.record_opened(now, &members[0].name, Some(usize::MAX));
    relays.record_opened(now, &members[0].name, Some(usize::MAX));
    let chosen = relays.choose(now, members.iter(), distance, 0);
    assert_eq!(&*chosen.unwrap().name, "b-1");
    relays.record_opened(now, &members[1].name, Some(usize::MAX));
    assert!(relays.choose(now, members.iter(), distance, 0).is_some());
}

/// Guards against relayed connections that fill the memory of a small machine,
/// and against one that relays none.
#[test]
fn max_relayed_connections_by_memory() {
    const MB: u64 = 1_000_000;
    let cases = [
        (Some(0), 16),
        (Some(40 * MB), 16),
        (Some(64 * MB), 29),
        (Some(160 * MB), 146),
        (Some(260 * MB), 256),
        (Some(4000 * MB), 256),
        (None, 256),
    ];
    for (memory_bytes, expected) in cases {
        let connections = max_relayed_connections(memory_bytes);
        assert_eq!(connections, expected, "{memory_bytes:?}");
    }
}

/// Guards against a daemon that is asked although it has just declined.
#[test]
fn choose_skips_declined() {
    let now = Instant::now();
    let members = [member("a-1", "a"), member("a-2", "a")];
    let mut relays = RelayTable::default();
    let choose = |relays: &RelayTable, now| {
        let distance = |_: &Member| Distance::SameZone;
        let chosen = relays.choose(now, members.iter(), distance, 0);
        chosen.map(|member| Arc::clone(&member.name))
    };
    relays.record_declined(now, &members[0].name, RelayDecline::NoPath);
    assert_eq!(choose(&relays, now).as_deref(), Some("a-2"));
    relays.record_declined(now, &members[1].name, RelayDecline::Full);
    assert_eq!(choose(&relays, now), None);
    let later = now + Duration::from_secs(1);
    assert!(choose(&relays, later).is_some());
}

/// Guards against requests that count as crashing servers because their
/// connections broke with a path, and against a crash that counts for nothing.
#[test]
fn record_broken_many_servers() {
    let now = Instant::now();
    let servers = servers(&[("model", 4)]);
    let broken_at = |paths: &mut ServerPaths, number: usize, now| {
        let server = servers.get(&format!("model-{number}")).unwrap();
        paths.record_broken(now, server)
    };
    let mut paths = ServerPaths::default();
    let at_once: Vec<bool> =
        (0..4).map(|number| broken_at(&mut paths, number, now)).collect();
    assert_eq!(at_once, [false, false, true, true]);
    let mut paths = ServerPaths::default();
    for number in 0..4 {
        let at = now + BREAK_WINDOW * u32::try_from(number).unwrap();
        assert!(!broken_at(&mut paths, number, at), "server {number}");
        assert!(!broken_at(&mut paths, number, at), "server {number}");
    }
    fail(&mut paths, now, &servers, &["model-0"]);
    paths.record_relayed(now, servers.get("model-0").unwrap());
    assert!(broken_at(&mut paths, 0, now + BREAK_WINDOW * 8));
}
