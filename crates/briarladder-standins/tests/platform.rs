//! The manifest, chunks, list of VMs and faults of the platform.

mod common;

use std::{net::SocketAddr, time::Duration};

use briarladder_core::names::{VmName, ZoneName};
use briarladder_standins::platform::{
    Chunk, Platform, PlatformFault, PlatformSettings,
};
use briarladder_wire::platform::{ERA_HEADER, Vm, VmKind, VmList, VmState};
use common::{SHORT_DELAY, get};
use tokio::time::{Instant, sleep, timeout};

const FIRST: &str = r#"{"epoch": 1}"#;
const SECOND: &str = r#"{"epoch": 2}"#;

async fn platform() -> Platform {
    let platform = Platform::start(PlatformSettings::default()).await.unwrap();
    platform.publish(1, FIRST, &[]);
    platform
}

async fn text(address: SocketAddr, path: &str) -> String {
    let response = get(address, path).await.unwrap();
    assert_eq!(response.status(), 200, "{path}");
    response.text().await.unwrap()
}

/// Waits until the platform has received a number of calls.
async fn wait_for_calls(platform: &Platform, calls: u64) {
    while platform.counts().total() < calls {
        sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against watches that miss a publication, or that are counted more
/// than once while they wait.
#[tokio::test]
async fn watch_returns_on_publish() {
    let platform = platform().await;
    let address = platform.address();
    assert_eq!(text(address, "/v1/manifest").await, FIRST);
    assert_eq!(text(address, "/v1/manifest?after=0").await, FIRST);
    let watch = tokio::spawn(text(address, "/v1/manifest?after=1"));
    wait_for_calls(&platform, 3).await;
    sleep(SHORT_DELAY).await;
    assert!(!watch.is_finished());
    let chunk = Chunk { digest: "00ff".into(), text: "[1]".into() };
    platform.publish(2, SECOND, &[chunk]);
    let published =
        timeout(SHORT_DELAY, watch).await.expect("the watch returns");
    assert_eq!(published.unwrap(), SECOND);
    assert_eq!(text(address, "/v1/chunks/00ff").await, "[1]");
    let missing = get(address, "/v1/chunks/00fe").await.unwrap();
    assert_eq!(missing.status(), 404);
    let counts = platform.counts();
    assert_eq!((counts.manifest, counts.chunks, counts.vms), (3, 2, 0));
}

/// Guards against watches that never end, which clients would treat as a
/// failed platform.
#[tokio::test]
async fn watch_ends_without_change() {
    let settings = PlatformSettings {
        watch_timeout: SHORT_DELAY,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(settings).await.unwrap();
    let start = Instant::now();
    for path in ["/v1/manifest?after=0", "/v1/vms?after=0"] {
        let response = get(platform.address(), path).await.unwrap();
        assert_eq!(response.status(), 204);
    }
    assert!(start.elapsed() >= 2 * SHORT_DELAY);
}

/// Guards against a stale platform that serves new epochs, or that never
/// serves them afterwards.
#[tokio::test]
async fn stale_serves_old_epoch() {
    let platform = platform().await;
    platform.set_stale(true);
    platform.publish(2, SECOND, &[]);
    assert_eq!(text(platform.address(), "/v1/manifest").await, FIRST);
    platform.set_stale(false);
    assert_eq!(text(platform.address(), "/v1/manifest").await, SECOND);
}

/// Guards against a platform that still responds while it refuses
/// connections, also to waiting watches, and against one that reopens at
/// another address.
#[tokio::test]
async fn fault_refuses_connections() {
    let platform = platform().await;
    let address = platform.address();
    let watch = tokio::spawn(get(address, "/v1/manifest?after=1"));
    wait_for_calls(&platform, 1).await;
    platform.set_fault(PlatformFault::RefuseConnections).await.unwrap();
    assert!(timeout(SHORT_DELAY, watch).await.unwrap().unwrap().is_err());
    let refused = get(address, "/v1/manifest").await.unwrap_err();
    assert!(refused.is_connect());
    platform.set_fault(PlatformFault::None).await.unwrap();
    assert_eq!(text(address, "/v1/manifest").await, FIRST);
}

/// Guards against faults that have no effect on responses.
#[tokio::test]
async fn fault_hangs_delays_and_fails() {
    let platform = platform().await;
    let address = platform.address();
    platform.set_fault(PlatformFault::Hang).await.unwrap();
    assert!(timeout(SHORT_DELAY, get(address, "/v1/manifest")).await.is_err());
    platform.set_fault(PlatformFault::Slow(SHORT_DELAY)).await.unwrap();
    let start = Instant::now();
    assert_eq!(text(address, "/v1/manifest").await, FIRST);
    assert!(start.elapsed() >= SHORT_DELAY);
    platform.set_fault(PlatformFault::Status(500)).await.unwrap();
    let failed = get(address, "/v1/manifest?after=1").await.unwrap();
    assert_eq!(failed.status(), 500);
    assert_eq!(platform.counts().manifest, 3);
}

/// Guards against changes of the list of VMs that become visible before the
/// lag.
#[tokio::test]
async fn vms_lag() {
    let platform = platform().await;
    let address = platform.address();
    let vm = |state| Vm {
        name: VmName::new("vm-1").unwrap(),
        zone: ZoneName::new("recife-a").unwrap(),
        kind: VmKind::Entry,
        address: "127.0.0.1:9".parse().unwrap(),
        state,
    };
    let list = async |path| -> VmList {
        serde_json::from_str(&text(address, path).await).unwrap()
    };
    platform.set_vms(vec![vm(VmState::Live)]);
    assert_eq!(list("/v1/vms").await.vms, [vm(VmState::Live)]);
    platform.set_vm_lag(SHORT_DELAY);
    platform.set_vms(vec![vm(VmState::Leaving)]);
    assert_eq!(list("/v1/vms").await.version, 1);
    let start = Instant::now();
    let later = list("/v1/vms?after=1").await;
    assert!(start.elapsed() >= SHORT_DELAY / 2);
    assert_eq!(later, VmList { version: 2, vms: vec![vm(VmState::Leaving)] });
}

/// Guards against a restore that keeps what was published since the backup,
/// or that watches of the era before don't learn of.
#[tokio::test]
async fn restore_begins_era() {
    let platform = platform().await;
    let address = platform.address();
    let backup = platform.backup();
    let chunk = Chunk { digest: "00ff".into(), text: "[1]".into() };
    platform.publish(2, SECOND, &[chunk]);
    let watch = tokio::spawn(get(address, "/v1/manifest?after=2&era=1"));
    let eraless = tokio::spawn(get(address, "/v1/manifest?after=2"));
    wait_for_calls(&platform, 2).await;
    platform.restore(&backup);
    let restored =
        timeout(SHORT_DELAY, watch).await.expect("the watch returns");
    let restored = restored.unwrap().unwrap();
    assert_eq!(restored.headers()[ERA_HEADER], "2");
    assert_eq!(restored.text().await.unwrap(), FIRST);
    let chunk = get(address, "/v1/chunks/00ff").await.unwrap();
    assert_eq!(chunk.status(), 404);
    assert_eq!(chunk.headers()[ERA_HEADER], "2");
    let empty = get(address, "/v1/vms?after=7&era=1").await.unwrap();
    assert_eq!(empty.status(), 204);
    assert_eq!(empty.headers()[ERA_HEADER], "2");
    sleep(SHORT_DELAY).await;
    assert!(!eraless.is_finished(), "there is no epoch above 2");
    platform.publish(2, SECOND, &[]);
    assert_eq!(text(address, "/v1/manifest?after=1&era=2").await, SECOND);
}
