//! Daemons on a platform that is restored from an earlier copy: it loses its
//! last changes and gives their epochs and versions out again.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    clock::SystemClock,
    config::Bundle,
    names::{VmName, ZoneName},
    objects::Object,
};
use briarladder_daemon::{
    daemon::Daemon, process::RunningDaemon, settings::Settings,
};
use briarladder_standins::platform::{
    Chunk, EraReport, Platform, PlatformFault, PlatformSettings,
};
use briarladder_wire::platform::{Vm, VmKind, VmState};
use clap::Parser;

/// How long a daemon may take to learn of a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// How long tests wait for a change that must not happen.
const QUIET_TIME: Duration = Duration::from_secs(2);

const TICKET_KEY: &str = "00112233445566778899aabbccddeeff\
                          00112233445566778899aabbccddeeff";

const POLL_INTERVAL: Duration = Duration::from_millis(5);

async fn start_platform(era_report: EraReport) -> Platform {
    let settings =
        PlatformSettings { era_report, ..PlatformSettings::default() };
    Platform::start(settings).await.unwrap()
}

fn start_daemon(platform: &Platform, vm: &str) -> RunningDaemon {
    let settings = Settings::try_parse_from([
        "briarladderd",
        &format!("--vm={vm}"),
        "--zone=zone-1",
        &format!("--platform={}", platform.address()),
        "--peer-key=a-key-of-sixteen-or-more",
        "--callers-listen=127.0.0.1:0",
        "--peers-listen=127.0.0.1:0",
    ]);
    RunningDaemon::start(settings.unwrap(), Arc::new(SystemClock)).unwrap()
}

/// Returns the entry of a VM that does not respond.
fn silent_vm(vm: &str) -> Vm {
    listed_vm(vm, ([127, 0, 0, 1], 1).into())
}

fn listed_vm(vm: &str, address: SocketAddr) -> Vm {
    Vm {
        name: VmName::new(vm).unwrap(),
        zone: ZoneName::new("zone-1").unwrap(),
        kind: VmKind::Entry,
        address,
        state: VmState::Live,
    }
}

fn entry_of(daemon: &Daemon) -> Vm {
    listed_vm(daemon.settings.vm.as_str(), daemon.peer_address)
}

/// Returns a set that differs from others of its epoch in `lifetime_ms`.
fn bundle(epoch: u64, lifetime_ms: u64) -> Bundle {
    let fleet = serde_json::json!({
        "kind": "fleet", "ticket_lifetime_ms": lifetime_ms,
        "outcome_retention_ms": 10_000, "weight_store_bytes_per_s": 1,
        "ticket_keys": [{"id": 1, "secret_hex": TICKET_KEY}]
    });
    let fleet: Object = serde_json::from_value(fleet).unwrap();
    Bundle::new(epoch, &[fleet]).unwrap()
}

fn manifest_text(bundle: &Bundle) -> String {
    serde_json::to_string(&bundle.manifest).unwrap()
}

/// Publishes a set that differs from others of its epoch in `lifetime_ms`.
fn publish(platform: &Platform, epoch: u64, lifetime_ms: u64) {
    let bundle = bundle(epoch, lifetime_ms);
    let chunks = bundle.chunks.iter().map(|chunk| Chunk {
        digest: chunk.digest.to_string(),
        text: String::from_utf8(chunk.bytes.to_vec()).unwrap(),
    });
    let chunks: Vec<Chunk> = chunks.collect();
    platform.publish(epoch, &manifest_text(&bundle), &chunks);
}

async fn wait_until(what: &str, is_done: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_done() {
        assert!(start.elapsed() < CHANGE_TIMEOUT, "timed out: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn knows(daemon: &Daemon, vm: &str) -> bool {
    let vm = VmName::new(vm).unwrap();
    daemon.members.with(|members| members.get(&vm).is_some())
}

async fn wait_for_vm(daemon: &Daemon, vm: &str) {
    wait_until(vm, || knows(daemon, vm)).await;
}

async fn wait_for_epoch(daemon: &Daemon, epoch: u64) {
    let what = format!("epoch {epoch}");
    wait_until(&what, || daemon.config.announcement().in_force == epoch).await;
}

/// Returns the ticket lifetime of the configuration in force.
fn lifetime_ms(daemon: &Daemon) -> u64 {
    let configuration = daemon.blackboard.configuration();
    configuration.snapshot.as_ref().unwrap().fleet.ticket_lifetime_ms
}

fn problem(daemon: &Daemon) -> String {
    let configuration = daemon.blackboard.configuration();
    configuration.problem.as_deref().unwrap_or_default().to_owned()
}

/// Guards against a daemon that takes no list of VMs until the version has
/// passed the one that it knew before the restore.
#[tokio::test]
async fn vm_list_below_lost_version() {
    let platform = start_platform(EraReport::Header).await;
    let running = start_daemon(&platform, "vm-1");
    let daemon = running.daemon();
    platform.set_vms(vec![entry_of(daemon)]);
    let backup = platform.backup();
    platform.set_vms(vec![entry_of(daemon)]);
    platform.set_vms(vec![entry_of(daemon), silent_vm("vm-2")]);
    wait_for_vm(daemon, "vm-2").await;
    platform.restore(&backup);
    platform.set_vms(vec![entry_of(daemon), silent_vm("vm-3")]);
    wait_for_vm(daemon, "vm-3").await;
}

/// Guards against a daemon that takes a list of VMs for the one that it knows,
/// because it has the same version in another era.
#[tokio::test]
async fn vm_list_at_lost_version() {
    let platform = start_platform(EraReport::Header).await;
    let running = start_daemon(&platform, "vm-1");
    let daemon = running.daemon();
    platform.set_vms(vec![entry_of(daemon)]);
    let backup = platform.backup();
    platform.set_vms(vec![entry_of(daemon), silent_vm("vm-2")]);
    wait_for_vm(daemon, "vm-2").await;
    platform.set_fault(PlatformFault::RefuseConnections).await.unwrap();
    platform.restore(&backup);
    platform.set_vms(vec![entry_of(daemon), silent_vm("vm-3")]);
    platform.set_fault(PlatformFault::None).await.unwrap();
    wait_for_vm(daemon, "vm-3").await;
}

/// Guards against a daemon that takes no second restore, or that reads without
/// end once the platform is in another era.
#[tokio::test]
async fn vm_list_restored_twice() {
    let platform = start_platform(EraReport::Header).await;
    let running = start_daemon(&platform, "vm-1");
    let daemon = running.daemon();
    let empty = platform.backup();
    platform.set_vms(vec![entry_of(daemon), silent_vm("vm-2")]);
    wait_for_vm(daemon, "vm-2").await;
    platform.restore(&empty);
    platform.restore(&empty);
    tokio::time::sleep(QUIET_TIME).await;
    let calls = platform.counts().total();
    assert!(calls < 20, "{calls} calls");
    platform.set_vms(vec![entry_of(daemon), silent_vm("vm-3")]);
    wait_for_vm(daemon, "vm-3").await;
}

/// Guards against a daemon that no longer follows a platform without eras.
#[tokio::test]
async fn platform_without_eras() {
    let platform = start_platform(EraReport::None).await;
    let running = start_daemon(&platform, "vm-1");
    let daemon = running.daemon();
    for (epoch, vm) in [(1, "vm-2"), (2, "vm-3"), (5, "vm-4")] {
        platform.set_vms(vec![entry_of(daemon), silent_vm(vm)]);
        publish(&platform, epoch, 1000 + epoch);
        wait_for_vm(daemon, vm).await;
        wait_for_epoch(daemon, epoch).await;
    }
    tokio::time::sleep(QUIET_TIME).await;
    let calls = platform.counts().total();
    assert!(calls < 30, "{calls} calls");
}

/// Guards against a configuration in force that goes back with the platform,
/// and against one that isn't taken after it.
#[tokio::test]
async fn configuration_keeps_lost_epoch() {
    let platform = start_platform(EraReport::Header).await;
    let running = start_daemon(&platform, "vm-1");
    let daemon = running.daemon();
    platform.set_vms(vec![entry_of(daemon)]);
    publish(&platform, 40, 1040);
    let backup = platform.backup();
    publish(&platform, 42, 1042);
    wait_for_epoch(daemon, 42).await;
    platform.restore(&backup);
    publish(&platform, 41, 2041);
    tokio::time::sleep(QUIET_TIME).await;
    let calls = platform.counts().total();
    assert!(calls < 20, "{calls} calls");
    assert_eq!(lifetime_ms(daemon), 1042);
    publish(&platform, 43, 2043);
    wait_for_epoch(daemon, 43).await;
    assert_eq!(lifetime_ms(daemon), 2043);
}

/// Guards against an epoch that is published again with other content and is
/// ignored without a word, so that its operator takes it to be in force.
#[tokio::test]
async fn configuration_reports_reused_epoch() {
    let platform = start_platform(EraReport::Header).await;
    let running = start_daemon(&platform, "vm-1");
    let daemon = running.daemon();
    platform.set_vms(vec![entry_of(daemon)]);
    publish(&platform, 40, 1040);
    let backup = platform.backup();
    publish(&platform, 41, 1041);
    wait_for_epoch(daemon, 41).await;
    publish(&platform, 42, 1042);
    wait_for_epoch(daemon, 42).await;
    platform.restore(&backup);
    publish(&platform, 41, 2041);
    let reused = || problem(daemon).contains("published before as epoch 41");
    wait_until("the reuse of epoch 41 is reported", reused).await;
    publish(&platform, 42, 2042);
    let reused = || problem(daemon).contains("published before as epoch 42");
    wait_until("the reuse of epoch 42 is reported", reused).await;
    assert_eq!(lifetime_ms(daemon), 1042);
    publish(&platform, 43, 2043);
    wait_for_epoch(daemon, 43).await;
    assert_eq!(problem(daemon), "");
}

/// Guards against a daemon that starts after the restore and puts an epoch in
/// force that is older than those of its peers, and against one that reads the
/// platform without end because it shows such an epoch.
#[tokio::test]
async fn configuration_of_starting_daemon() {
    let platform = start_platform(EraReport::Header).await;
    let first = start_daemon(&platform, "vm-1");
    platform.set_vms(vec![entry_of(first.daemon())]);
    publish(&platform, 40, 1040);
    let backup = platform.backup();
    publish(&platform, 42, 1042);
    wait_for_epoch(first.daemon(), 42).await;
    platform.restore(&backup);
    let second = start_daemon(&platform, "vm-2");
    let daemon = second.daemon();
    platform.set_vms(vec![entry_of(first.daemon()), entry_of(daemon)]);
    wait_until("an epoch is in force", || {
        let in_force = daemon.config.announcement().in_force;
        assert!(in_force == 0 || in_force >= 42, "{in_force}");
        in_force > 0
    })
    .await;
    assert_eq!(lifetime_ms(daemon), 1042);
    publish(&platform, 43, 2043);
    wait_for_epoch(daemon, 43).await;
    wait_for_epoch(first.daemon(), 43).await;
    let calls = platform.counts().total();
    assert!(calls < 40, "{calls} calls");
}

/// Guards against a daemon that reads the platform without end while it shows
/// an epoch below the one that is known to have been in force.
#[tokio::test]
async fn configuration_below_floor() {
    let platform = start_platform(EraReport::Header).await;
    publish(&platform, 40, 1040);
    let running = start_daemon(&platform, "vm-1");
    let daemon = running.daemon();
    platform.set_vms(vec![entry_of(daemon)]);
    let now = Instant::now();
    daemon.config.with(|store| store.observe_floor(42, now));
    tokio::time::sleep(QUIET_TIME).await;
    let calls = platform.counts().total();
    assert!(calls < 20, "{calls} calls");
    assert_eq!(daemon.config.announcement().in_force, 0);
    publish(&platform, 43, 1043);
    wait_for_epoch(daemon, 43).await;
}

/// Guards against a daemon that reads the platform without end while it shows
/// a manifest whose chunks it does not have.
#[tokio::test]
async fn configuration_without_chunks() {
    let platform = start_platform(EraReport::Header).await;
    let running = start_daemon(&platform, "vm-1");
    let daemon = running.daemon();
    platform.set_vms(vec![entry_of(daemon)]);
    platform.publish(40, &manifest_text(&bundle(40, 1040)), &[]);
    tokio::time::sleep(QUIET_TIME).await;
    let calls = platform.counts().total();
    assert!(calls < 20, "{calls} calls");
    publish(&platform, 40, 1040);
    wait_for_epoch(daemon, 40).await;
}

/// Guards against two contents of one epoch in force at once: a daemon that
/// starts takes an epoch that the platform gives out again, while its peers
/// have that of before the restore.
#[tokio::test]
async fn configuration_reused_at_starting_daemon() {
    let platform = start_platform(EraReport::Header).await;
    let first = start_daemon(&platform, "vm-1");
    platform.set_vms(vec![entry_of(first.daemon())]);
    publish(&platform, 40, 1040);
    let backup = platform.backup();
    publish(&platform, 42, 1042);
    wait_for_epoch(first.daemon(), 42).await;
    platform.restore(&backup);
    publish(&platform, 42, 2042);
    let second = start_daemon(&platform, "vm-2");
    let daemon = second.daemon();
    platform.set_vms(vec![entry_of(first.daemon()), entry_of(daemon)]);
    wait_for_epoch(daemon, 42).await;
    assert_eq!(lifetime_ms(daemon), lifetime_ms(first.daemon()));
}
