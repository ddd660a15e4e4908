//! Tests of the messages that carry items of the store.

use std::net::SocketAddr;

use super::*;
use crate::peers::{
    earlier_changes::{
        EvacuationlessResponse, SlotlessResponse, VersionlessResponse,
    },
    eraless_changes::{EralessRequest, EralessResponse},
};

const ERA: u64 = 2;

fn version(revision: u64) -> StoreVersion {
    StoreVersion { era: ERA, revision }
}

fn server(number: usize) -> ServerEntry {
    let name = format!("i-{number:08x}");
    let address = SocketAddr::from(([10, 1, 64, 9], 8080));
    let mut server = ListedServer::new(&name, "engines", address);
    server.zone = Arc::from(format!("zone-{}", number % 12));
    server.born_ms = 1_700_000_000_000;
    ServerEntry {
        name: Arc::clone(&server.name),
        version: version(400_000),
        server: Some(server),
        cold_left: Duration::ZERO,
    }
}

fn config() -> PublishedConfig {
    let stamp = ConfigStamp { config_version: 3, written_at: version(7) };
    PublishedConfig { stamp, bytes: Arc::from(&b"{}"[..]) }
}

/// Returns a copy with these servers at revision 400,001.
fn mirror(servers: &[ServerEntry]) -> Mirror {
    let mut mirror = Mirror::default();
    mirror.apply_listing(servers, version(400_001));
    mirror.apply_config(config());
    mirror
}

fn request(after: StoreVersion) -> ChangesRequest {
    ChangesRequest { after, config: None, wait_ms: 0 }
}

fn round_trip(response: &ChangesResponse) -> ChangesResponse {
    let bytes = postcard::to_stdvec(response).unwrap();
    postcard::from_bytes(&bytes).unwrap()
}

/// Guards against items that are altered by encoding, and against one
/// invalid reference that loses the other items.
#[test]
fn items_round_trip() {
    let cold_left = Duration::from_millis(2500);
    let cold = ServerEntry { cold_left, ..server(2) };
    let listed = [server(1), cold.clone(), server(3)];
    let mut mirror = mirror(&listed);
    let removed =
        ServerEntry { version: version(400_005), server: None, ..server(3) };
    mirror.apply(removed.clone());
    let all = request(StoreVersion::default());
    let response = ChangesResponse::new(&mirror, &all, true);
    assert!(response.complete);
    assert_eq!(response.item_count(), 3);
    let read = round_trip(&response);
    let read_config = read.config.as_ref().unwrap();
    assert_eq!(read_config.written_at, version(7));
    assert_eq!(read_config.bytes, b"{}");
    assert_eq!(read.version, version(400_001));
    assert_eq!(read.into_servers(), listed[..2]);

    let since = request(version(400_001));
    let mut response = ChangesResponse::new(&mirror, &since, true);
    assert!(!response.complete);
    let read = round_trip(&response).into_servers();
    assert_eq!(read, std::slice::from_ref(&removed));
    let sent = [server(1), cold.clone()];
    response.extend(&sent);
    response.servers[0].zone = 99;
    assert_eq!(response.into_servers(), [cold, removed]);
}

/// Guards against a configuration that is sent again and again to a daemon
/// that has it, and against one that is not sent to a daemon with an older
/// one.
#[test]
fn config_sent_if_newer() {
    let mirror = mirror(&[]);
    let known = config().stamp;
    let older = ConfigStamp { config_version: 2, ..known };
    for (config, is_sent) in
        [(None, true), (Some(older), true), (Some(known), false)]
    {
        let after = mirror.version();
        let request = ChangesRequest { after, config, wait_ms: 0 };
        assert_eq!(request.is_behind(&mirror), is_sent);
        let response = ChangesResponse::new(&mirror, &request, true);
        assert_eq!(response.config.is_some(), is_sent);
    }
}

/// Guards against a daemon that has heard of a restore and gets the servers of
/// before, or waits for a revision that never comes.
#[test]
fn sender_of_later_era_gets_no_servers() {
    let mirror = mirror(&[server(1)]);
    let later = StoreVersion { era: ERA + 1, revision: 3 };
    let request = request(later);
    assert!(request.is_ahead(&mirror));
    let response = ChangesResponse::new(&mirror, &request, true);
    assert!(!response.complete);
    assert_eq!(response.version, mirror.version());
    assert!(response.config.is_some());
    assert!(response.into_servers().is_empty());
}

/// Guards against a list of all backend servers at the target fleet size
/// that takes long on the link of a small VM: 10 Mbit/s carry half a
/// megabyte in 400 ms.
#[test]
fn all_servers_are_small() {
    let servers: Vec<ServerEntry> = (0..10_000).map(server).collect();
    let all = request(StoreVersion::default());
    let response = ChangesResponse::new(&mirror(&servers), &all, true);
    let bytes = postcard::to_stdvec(&response).unwrap();
    assert!(bytes.len() < 500_000, "{} bytes", bytes.len());
}

/// The configuration in an answer to a daemon without eras.
type EralessConfig = Option<(u64, Vec<u8>)>;

/// The first fields of such an answer.
type EralessHead = (bool, u64, bool, EralessConfig, Vec<Arc<str>>);

/// Guards against daemons of the earlier version, without eras, that can't
/// read the answers or get no changes, and against their answers being taken
/// for those of a later era.
#[test]
fn eraless_round_trip() {
    let mirror = mirror(&[server(1), server(2)]);
    // What such a daemon sends and reads, field by field.
    let sent = postcard::to_stdvec(&(0_u64, 250_u64)).unwrap();
    let read: EralessRequest = postcard::from_bytes(&sent).unwrap();
    let request = read.in_era_of(&mirror);
    assert_eq!((request.after, request.wait_ms), (version(0), 250));
    assert_eq!(request.config, None);
    let response = ChangesResponse::new(&mirror, &request, true);
    let bytes = postcard::to_stdvec(&EralessResponse::from(response)).unwrap();
    let (head, _): (EralessHead, _) =
        postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!((head.0, head.1, head.2), (true, 400_001, true));
    assert_eq!(head.3, Some((7, b"{}".to_vec())));
    assert_eq!(head.4.len(), 3, "one service and two zones");

    let response: EralessResponse = postcard::from_bytes(&bytes).unwrap();
    let response = ChangesResponse::from(response);
    assert_eq!(response.version, StoreVersion { era: 0, revision: 400_001 });
    assert!(response.complete);
    let servers = response.into_servers();
    assert_eq!(servers.len(), 2);
    assert!(servers.iter().all(|entry| entry.version.era == 0));

    let current = EralessRequest { after: 400_001, wait_ms: 0 };
    let request = current.in_era_of(&mirror);
    assert!(!request.is_behind(&mirror));
    let response = ChangesResponse::new(&mirror, &request, true);
    assert_eq!(response.item_count(), 0);
}

/// Returns a copy of which one zone is evacuated.
fn mirror_with_evacuation() -> Mirror {
    let mut mirror = mirror(&[server(1)]);
    mirror.apply_evacuation_listing(&[], version(400_001));
    let entry = ZoneEntry::evacuated("zone-3", version(400_002));
    mirror.apply_evacuation(&entry);
    mirror.advance(version(400_002));
    mirror
}

/// Guards against evacuations that a peer doesn't hear of, also if it knows
/// all servers, and against one that it doesn't hear has ended.
#[test]
fn evacuations_round_trip() {
    let mut mirror = mirror_with_evacuation();
    let since = request(version(400_001));
    assert!(since.is_behind(&mirror));
    for request in [since, request(StoreVersion::default())] {
        let response = ChangesResponse::new(&mirror, &request, true);
        let zones = round_trip(&response).take_evacuations().unwrap();
        let sent = ZoneEntry::evacuated("zone-3", version(400_002));
        assert_eq!(zones, [sent]);
    }
    let removal = ZoneEntry::removed("zone-3", version(400_003));
    mirror.apply_evacuation(&removal);
    mirror.advance(version(400_003));
    let since = request(version(400_002));
    assert!(since.is_behind(&mirror));
    let mut response = ChangesResponse::new(&mirror, &since, true);
    assert_eq!(response.take_evacuations(), Some(Vec::new()));
}

/// The first fields of an answer to a daemon without evacuations.
type EvacuationlessHead =
    (bool, StoreVersion, bool, Option<ConfigItem>, Vec<Arc<str>>);

/// Guards against daemons of the earlier version, without evacuations, that
/// can't read the answers, and against their answers being taken to hold all
/// changes up to their version.
#[test]
fn evacuationless_round_trip() {
    let mirror = mirror_with_evacuation();
    let all = request(StoreVersion::default());
    let response = ChangesResponse::new(&mirror, &all, true);
    let response = EvacuationlessResponse::from(response);
    let bytes = postcard::to_stdvec(&response).unwrap();
    let (head, rest): (EvacuationlessHead, _) =
        postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!((head.0, head.1), (true, version(400_002)));
    let (servers, rest): (Vec<ServerItem>, _) =
        postcard::take_from_bytes(rest).unwrap();
    let removed: Vec<RemovedItem> = postcard::from_bytes(rest).unwrap();
    assert_eq!((servers.len(), removed.len()), (1, 0));

    let read: EvacuationlessResponse = postcard::from_bytes(&bytes).unwrap();
    let mut read = ChangesResponse::from(read);
    assert_eq!(read.version, StoreVersion { era: 0, revision: 400_002 });
    assert_eq!(read.take_evacuations(), None);
    assert_eq!(read.into_servers().len(), 1);
}

/// The first fields of an answer to a daemon without software versions.
type VersionlessHead = EvacuationlessHead;

/// Guards against software versions that are lost or mixed up on the way to
/// another daemon, and against daemons of the earlier version that can't read
/// the answers.
#[test]
fn software_versions_round_trip() {
    let versions = ["v1", "", "v2", "v1"];
    let servers: Vec<ServerEntry> = (1..)
        .zip(versions)
        .map(|(number, version)| {
            let mut entry = server(number);
            let server = entry.server.as_mut().unwrap();
            server.software_version = Arc::from(version);
            entry
        })
        .collect();
    let mirror = mirror(&servers);
    let all = request(StoreVersion::default());
    let response = ChangesResponse::new(&mirror, &all, true);
    assert_eq!(round_trip(&response).into_servers(), servers);

    let bytes =
        postcard::to_stdvec(&VersionlessResponse::from(response)).unwrap();
    let (head, rest): (VersionlessHead, _) =
        postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!((head.0, head.1), (true, version(400_001)));
    let (items, rest): (Vec<ServerItem>, _) =
        postcard::take_from_bytes(rest).unwrap();
    let (removed, rest): (Vec<RemovedItem>, _) =
        postcard::take_from_bytes(rest).unwrap();
    let (zones, rest): (Option<Vec<EvacuatedZone>>, _) =
        postcard::take_from_bytes(rest).unwrap();
    let (cold, rest): (Vec<ColdItem>, _) =
        postcard::take_from_bytes(rest).unwrap();
    assert_eq!((items.len(), removed.len(), cold.len()), (4, 0, 0));
    assert_eq!(zones.unwrap().len(), 0);
    assert!(rest.is_empty());

    let read: VersionlessResponse = postcard::from_bytes(&bytes).unwrap();
    let read = ChangesResponse::from(read);
    assert_eq!(read.version, StoreVersion { era: 0, revision: 400_001 });
    let mut versions =
        read.into_servers().into_iter().filter_map(|entry| entry.server);
    assert!(versions.all(|server| server.software_version.is_empty()));
}

/// Guards against slots that are lost or mixed up on the way to another
/// daemon, and against daemons of the earlier version that can't read the
/// answers or whose answers count as complete.
#[test]
fn slots_round_trip() {
    let servers: Vec<ServerEntry> = (1..)
        .zip([64, 0, 6])
        .map(|(number, slots)| {
            let mut entry = server(number);
            entry.server.as_mut().unwrap().slots = slots;
            entry
        })
        .collect();
    let mirror = mirror(&servers);
    let all = request(StoreVersion::default());
    let response = ChangesResponse::new(&mirror, &all, true);
    assert_eq!(round_trip(&response).into_servers(), servers);

    let versions = response.software_versions.clone();
    let earlier = SlotlessResponse::from(response.clone());
    let bytes = postcard::to_stdvec(&earlier).unwrap();
    let earlier =
        postcard::to_stdvec(&VersionlessResponse::from(response)).unwrap();
    let rest = bytes.strip_prefix(&*earlier).unwrap();
    let read: Vec<u32> = postcard::from_bytes(rest).unwrap();
    assert_eq!(read, versions);

    let read: SlotlessResponse = postcard::from_bytes(&bytes).unwrap();
    let read = ChangesResponse::from(read);
    assert_eq!(read.version, StoreVersion { era: 0, revision: 400_001 });
    let mut servers =
        read.into_servers().into_iter().filter_map(|entry| entry.server);
    assert!(servers.all(|server| server.slots == 0));
}

/// Returns an answer that holds items of each kind.
fn response_with_all_items() -> ChangesResponse {
    let all = request(StoreVersion::default());
    let mut response =
        ChangesResponse::new(&mirror_with_evacuation(), &all, true);
    let mut cold =
        ServerEntry { cold_left: Duration::from_secs(2), ..server(2) };
    let listed = cold.server.as_mut().unwrap();
    listed.software_version = Arc::from("v1");
    listed.slots = 6;
    let removed = ServerEntry { server: None, ..server(3) };
    response.extend(&[cold, removed]);
    response
}

/// Guards against answers to daemons of earlier versions in which these read
/// other items than were sent, and against items of their answers that are
/// lost, or that count as complete.
#[test]
fn earlier_forms_hold_items() {
    let sent = response_with_all_items();
    let encode =
        |response: &ChangesResponse| postcard::to_stdvec(response).unwrap();
    let mut bytes = postcard::to_stdvec(&(
        sent.complete,
        sent.version,
        sent.in_contact,
        &sent.config,
        &sent.names,
        &sent.servers,
        &sent.removed,
    ))
    .unwrap();
    let form = EvacuationlessResponse::from(sent.clone());
    assert_eq!(postcard::to_stdvec(&form).unwrap(), bytes);
    let read: EvacuationlessResponse = postcard::from_bytes(&bytes).unwrap();
    let mut known = ChangesResponse {
        version: StoreVersion { era: 0, revision: 400_002 },
        evacuated: None,
        cold: Vec::new(),
        software_versions: Vec::new(),
        slots: Vec::new(),
        ..sent.clone()
    };
    assert_eq!(encode(&read.into()), encode(&known));

    bytes.extend(postcard::to_stdvec(&(&sent.evacuated, &sent.cold)).unwrap());
    let form = VersionlessResponse::from(sent.clone());
    assert_eq!(postcard::to_stdvec(&form).unwrap(), bytes);
    let read: VersionlessResponse = postcard::from_bytes(&bytes).unwrap();
    known.cold.clone_from(&sent.cold);
    assert_eq!(encode(&read.into()), encode(&known));

    bytes.extend(postcard::to_stdvec(&sent.software_versions).unwrap());
    let form = SlotlessResponse::from(sent.clone());
    assert_eq!(postcard::to_stdvec(&form).unwrap(), bytes);
    let read: SlotlessResponse = postcard::from_bytes(&bytes).unwrap();
    known.software_versions = sent.software_versions;
    assert_eq!(encode(&read.into()), encode(&known));
}
