//! Tests `briarladder status` and `briarladder timeline` with whole
//! deployments that run in this process.

use std::{
    net::SocketAddr,
    process::Stdio,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_cli::{
    fleet::{DEFAULT_PEER_KEY, Fleet, FleetSettings},
    operators::{
        assess::assess,
        client::{ConnectArgs, DiscoveredDaemon, FleetClient, StatusResult},
    },
    samples::Sample,
};
use briarladder_core::{
    membership::MemberState,
    names::{ModelVersionName, StageName, VmName, ZoneName},
    objects::Object,
    sorted::SortedSet,
};
use briarladder_standins::cluster::ClusterSettings;
use briarladder_wire::{
    backend::Order,
    operators::{DaemonPhase, DaemonStatus},
};
use clap::Parser;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};

#[path = "operators/timeline.rs"]
mod timeline;

/// The time within which a fleet must reach an expected state.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

const WRONG_KEY: &str = "a-wrong-key-of-sufficient-length";

struct Run {
    code: i32,
    stdout: String,
    stderr: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).expect(&self.stderr)
    }
}

fn command(args: &[&str], key: &str) -> tokio::process::Command {
    let mut command =
        tokio::process::Command::new(env!("CARGO_BIN_EXE_briarladder"));
    command
        .args(args)
        .env("BRIARLADDER_PEER_KEY", key)
        .env_remove("BRIARLADDER_DAEMON")
        .kill_on_drop(true);
    command
}

async fn run_with(args: &[&str], key: &str, log: &str) -> Run {
    let output =
        command(args, key).env("RUST_LOG", log).output().await.unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    let run = Run {
        code: output.status.code().unwrap(),
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    };
    // The key must not appear in any output at any log level.
    assert!(
        !run.stdout.contains(key) && !run.stderr.contains(key),
        "{args:?}"
    );
    run
}

async fn run(args: &[&str]) -> Run {
    run_with(args, DEFAULT_PEER_KEY, "error").await
}

async fn status(address: SocketAddr) -> Run {
    run(&["status", "--json", "--daemon", &address.to_string()]).await
}

/// Polls the status until it is as expected.
async fn wait_for_status(
    address: SocketAddr,
    expected: impl Fn(&Run) -> bool,
) -> Run {
    let started_at = Instant::now();
    loop {
        let run = status(address).await;
        if expected(&run) {
            return run;
        }
        let timed_out = started_at.elapsed() > SETTLE_TIMEOUT;
        assert!(!timed_out, "code {}: {}{}", run.code, run.stdout, run.stderr);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Discovers the daemons until the first of them has a load report.
///
/// A fleet can be healthy before that: one daemon may adopt the epoch 3 s
/// after the others, which have polled all servers by then.
async fn discover_first_reporting(
    operator: &FleetClient,
) -> Vec<DiscoveredDaemon> {
    let has_report = |daemon: &DiscoveredDaemon| {
        let status = daemon.status();
        status.is_some_and(|s| s.servers.iter().any(|s| s.report.is_some()))
    };
    let started_at = Instant::now();
    loop {
        let daemons = operator.discover().await.unwrap();
        if has_report(&daemons[0]) {
            return daemons;
        }
        let timed_out = started_at.elapsed() > SETTLE_TIMEOUT;
        assert!(!timed_out, "{:?} has no load report", daemons[0].vm);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn fleet(flags: &[&str]) -> Fleet {
    let mut settings = FleetSettings {
        cluster: ClusterSettings {
            time_scale: 0.05,
            ..ClusterSettings::default()
        },
        ..FleetSettings::default()
    };
    settings.daemon_flags.extend(flags.iter().map(ToString::to_string));
    let objects = Sample::Dobradura.objects().unwrap();
    Fleet::start(objects, settings).await.unwrap()
}

fn peers_address(fleet: &Fleet, index: usize) -> SocketAddr {
    fleet.daemons()[index].daemon().peer_address
}

/// Returns the reasons of all findings for a daemon, zone or server.
fn finding_reasons<'a>(status: &'a Value, name: &str) -> Vec<&'a str> {
    let findings = status["findings"].as_array().unwrap();
    let about = findings.iter().filter(|f| f["subject"]["name"] == name);
    about.map(|f| f["reason"].as_str().unwrap()).collect()
}

fn any_contains(finding_reasons: &[&str], part: &str) -> bool {
    finding_reasons.iter().any(|reason| reason.contains(part))
}

/// Guards against findings for a healthy fleet, omitted daemons, zones or
/// servers, and a key in the output.
#[tokio::test(flavor = "multi_thread")]
async fn status_healthy_fleet() {
    let fleet = fleet(&[]).await;
    let address = peers_address(&fleet, 0);
    let run = wait_for_status(address, |run| run.code == 0).await;
    let json = run.json();
    assert_eq!(json["epoch"], 1);
    assert_eq!(json["findings"], json!([]));
    let len = |part: &str| json[part].as_array().unwrap().len();
    assert_eq!(len("daemons"), fleet.daemons().len());
    assert_eq!(len("zones"), fleet.zones().len());
    assert_eq!(len("servers"), fleet.cluster().backends().len());
    let servers = json["servers"].as_array().unwrap();
    let engine = servers.iter().find(|s| s["role"] == "engine").unwrap();
    let loaded = engine["report"]["loaded_versions"].as_array().unwrap();
    assert!(!loaded.is_empty() && engine["missing_versions"] == json!([]));
    let address = address.to_string();
    let args = ["status", "--daemon", &address];
    let text = run_with(&args, DEFAULT_PEER_KEY, "trace").await;
    assert_eq!(text.code, 0, "{}", text.stdout);
    assert!(text.stdout.ends_with("all in line\n"), "{}", text.stdout);
    for backend in fleet.cluster().backends() {
        assert!(
            text.stdout.contains(backend.name().as_str()),
            "{}",
            backend.name()
        );
    }
    fleet.stop().await;
}

/// Guards against a daemon that is down and omitted from the status, or shown
/// without its zone and a reason.
#[tokio::test(flavor = "multi_thread")]
async fn status_daemon_down() {
    let mut fleet = fleet(&[]).await;
    let queried = peers_address(&fleet, 0);
    // A peer in the same zone probes it every second, a peer in another zone
    // only every 10 s.
    let same_zone_vm = VmName::new("mate").unwrap();
    let same_zone = fleet.zones()[0].clone();
    fleet.start_daemon(&same_zone_vm, &same_zone).unwrap();
    fleet.publish_vm_list();
    fleet.wait_for_epoch(1).await.unwrap();
    wait_for_status(queried, |run| {
        run.code == 0 && run.stdout.contains("mate")
    })
    .await;
    let removed = fleet.remove_daemon(1);
    let vm = removed.daemon().settings.vm.clone();
    let zone = removed.daemon().settings.zone.clone();
    let address = removed.daemon().peer_address;
    drop(removed);
    drop(fleet.remove_daemon(fleet.daemons().len() - 1));
    // The other daemons report a start time once they suspect the daemon.
    let since_is_known = |json: &Value| {
        let findings = json["findings"].as_array().unwrap();
        let mut about =
            findings.iter().filter(|f| f["subject"]["name"] == "mate");
        about.any(|f| f["since"]["for_ms"].is_u64())
    };
    let run = wait_for_status(queried, |run| {
        run.code == 1 && since_is_known(&run.json())
    })
    .await;
    let json = run.json();
    assert!(any_contains(&finding_reasons(&json, "mate"), "unreachable"));
    assert!(any_contains(&finding_reasons(&json, vm.as_str()), "unreachable"));
    let found_reasons = finding_reasons(&json, zone.as_str());
    assert!(
        any_contains(&found_reasons, "none of its 1 daemons"),
        "{found_reasons:?}"
    );
    let daemons = json["daemons"].as_array().unwrap();
    let daemon = daemons.iter().find(|d| d["vm"] == vm.as_str()).unwrap();
    assert_eq!(daemon["zone"], zone.as_str());
    assert_eq!(daemons.len(), fleet.daemons().len() + 2);
    // A query to only this daemon reports it as unreachable instead of
    // failing with a usage error.
    let alone = status(address).await;
    assert_eq!(alone.code, 1, "{}", alone.stderr);
    let json = alone.json();
    assert!(any_contains(
        &finding_reasons(&json, &address.to_string()),
        "unreachable"
    ));
    fleet.stop().await;
}

/// Guards against a rejected set that is reported as healthy, and a rejection
/// without a reason or start time.
#[tokio::test(flavor = "multi_thread")]
async fn status_invalid_set_published() {
    let fleet = fleet(&[]).await;
    let mut objects = fleet.cluster().objects().to_vec();
    let pipeline = objects.iter_mut().find_map(|object| match object {
        Object::Pipeline(pipeline) => Some(pipeline),
        _ => None,
    });
    pipeline.unwrap().stages[0] = StageName::new("gone").unwrap();
    fleet.publish(2, &objects).unwrap();
    let vms: Vec<VmName> = fleet
        .daemons()
        .iter()
        .map(|running| running.daemon().settings.vm.clone())
        .collect();
    let run = wait_for_status(peers_address(&fleet, 0), |run| {
        let json = run.json();
        vms.iter().all(|vm| {
            any_contains(&finding_reasons(&json, vm.as_str()), "gone")
        })
    })
    .await;
    assert_eq!(run.code, 1);
    let json = run.json();
    for daemon in json["daemons"].as_array().unwrap() {
        let status = &daemon["reply"]["answered"];
        assert_eq!(status["epoch"], 1);
        assert_eq!(status["known_epoch"], 2);
        assert_eq!(status["readiness"], "ready");
        assert!(status["problem"]["since_unix_ms"].as_u64().unwrap() > 0);
    }
    fleet.stop().await;
}

/// Guards against a daemon below the epoch floor that is shown as ready, and
/// a daemon that is omitted because only some daemons know it.
#[tokio::test(flavor = "multi_thread")]
async fn status_daemon_below_floor() {
    let mut fleet = fleet(&[]).await;
    let zone = fleet.zones()[0].clone();
    let vm = VmName::new("fresh").unwrap();
    fleet.start_daemon(&vm, &zone).unwrap();
    fleet.daemons().last().unwrap().daemon().raise_floor(9);
    fleet.publish_vm_list();
    let run = wait_for_status(peers_address(&fleet, 0), |run| {
        any_contains(
            &finding_reasons(&run.json(), "fresh"),
            "floor of epoch 9",
        )
    })
    .await;
    assert_eq!(run.code, 1);
    let json = run.json();
    let daemons = json["daemons"].as_array().unwrap();
    let new_daemon = daemons.iter().find(|d| d["vm"] == "fresh").unwrap();
    let new_daemon = &new_daemon["reply"]["answered"];
    assert_eq!(new_daemon["readiness"], "not_ready");
    assert_eq!(new_daemon["epoch"], Value::Null);
    assert_eq!(new_daemon["floor_epoch"], 9);
    assert!(any_contains(
        &finding_reasons(&json, "fresh"),
        "no epoch in force, and 1"
    ));
    fleet.stop().await;
}

/// Guards against a server that crashed, or whose model versions differ from
/// the declared ones, being reported as healthy.
#[tokio::test(flavor = "multi_thread")]
async fn status_server_not_as_declared() {
    let fleet = fleet(&[]).await;
    let address = peers_address(&fleet, 0);
    wait_for_status(address, |run| run.code == 0).await;
    let engine = fleet.cluster().backend("engine-recife-a-1").unwrap();
    let order = Order {
        fencing_token: 1,
        model_versions: vec![ModelVersionName::new("fold-2").unwrap()],
    };
    let url = format!("http://{}/v1/orders", engine.address());
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let sent = client.post(url).json(&order).send().await.unwrap();
    sent.error_for_status().unwrap();
    let crashed = fleet.cluster().backend("booking-recife-a-1").unwrap();
    crashed.crash().await;
    let run = wait_for_status(address, |run| {
        let json = run.json();
        let engine = finding_reasons(&json, "engine-recife-a-1");
        let booking = finding_reasons(&json, "booking-recife-a-1");
        any_contains(&engine, "not loaded")
            && any_contains(&booking, "ejected")
    })
    .await;
    assert_eq!(run.code, 1);
    let json = run.json();
    let found_reasons = finding_reasons(&json, "engine-recife-a-1");
    assert!(
        any_contains(&found_reasons, "not loaded: fold-3, caption-1"),
        "{found_reasons:?}"
    );
    let found_reasons = finding_reasons(&json, "booking-recife-a-1");
    assert!(
        any_contains(&found_reasons, "no load report"),
        "{found_reasons:?}"
    );
    let findings = json["findings"].as_array().unwrap();
    let is_server = |f: &&Value| f["subject"]["kind"] == "server";
    for finding in findings.iter().filter(is_server) {
        assert!(finding["since"]["for_ms"].is_u64(), "{finding}");
    }
    // After recovery there must be no findings.
    crashed.restart().await.unwrap();
    let order = Order {
        model_versions: ["fold-2", "fold-3", "caption-1"]
            .map(|name| ModelVersionName::new(name).unwrap())
            .to_vec(),
        ..order
    };
    let url = format!("http://{}/v1/orders", engine.address());
    client.post(url).json(&order).send().await.unwrap();
    wait_for_status(address, |run| run.code == 0).await;
    fleet.stop().await;
}

/// Guards against reporting a refused key as an unreachable fleet, and against
/// a key in an error message.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_key_is_refused() {
    let fleet = fleet(&[]).await;
    let address = peers_address(&fleet, 0).to_string();
    for name in ["status", "timeline"] {
        let args = [name, "--daemon", &address];
        let refused = run_with(&args, WRONG_KEY, "trace").await;
        assert_eq!((refused.code, refused.stdout.as_str()), (2, ""), "{name}");
        assert!(refused.stderr.contains("BRIARLADDER_PEER_KEY"));
        let unsendable = run_with(&args, "line\nbreak", "trace").await;
        assert_eq!(unsendable.code, 2, "{}", unsendable.stderr);
        assert!(unsendable.stderr.contains("--peer-key"));
    }
    fleet.stop().await;
}

/// Guards against `--watch` exiting after one round, or printing a round that
/// is not one JSON document per line.
#[tokio::test(flavor = "multi_thread")]
async fn status_watch_repeats_query() {
    let fleet = fleet(&[]).await;
    let address = peers_address(&fleet, 0).to_string();
    let args = ["status", "--json", "--watch", "--interval-ms=100"];
    let args = [&args[..], &["--daemon", &address]].concat();
    let mut child = command(&args, DEFAULT_PEER_KEY)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    for _ in 0..3 {
        let line = lines.next_line().await.unwrap().unwrap();
        let json: Value = serde_json::from_str(&line).unwrap();
        assert_eq!(json["epoch"], 1);
    }
    child.kill().await.unwrap();
    fleet.stop().await;
}

/// Guards against exit codes that scripts would misinterpret, commands without
/// examples, and a key in the help text.
#[tokio::test]
async fn usage_and_help() {
    let daemon = ["--daemon", "127.0.0.1:1"];
    let invalid: [&[&str]; 6] = [
        &["status"],
        &["status", "--daemon", "nowhere"],
        &["timeline", daemon[0], daemon[1], "--request", "7"],
        &["timeline", daemon[0], daemon[1], "--from", "yesterday"],
        &["timeline", daemon[0], daemon[1], "--from", "1s", "--until", "2s"],
        &["completions", "csh"],
    ];
    for args in invalid {
        let run = run(args).await;
        assert_eq!((run.code, run.stdout.as_str()), (2, ""), "{args:?}");
        assert!(!run.stderr.is_empty(), "{args:?}");
    }
    for name in
        ["check", "bundle", "demo", "status", "timeline", "completions"]
    {
        let help = run(&[name, "--help"]).await;
        assert!(help.stdout.contains("Examples:"), "{name}");
    }
    for shell in ["bash", "zsh", "fish"] {
        let script = run(&["completions", shell]).await;
        assert_eq!(script.code, 0);
        assert!(script.stdout.contains("timeline"), "{shell}");
    }
}

/// Guards against reporting as healthy a daemon that no longer applies new
/// epochs, a partition that only one side detects, or an outdated load report.
#[tokio::test(flavor = "multi_thread")]
async fn assess_lagging_suspected_and_stale() {
    let fleet = fleet(&[]).await;
    wait_for_status(peers_address(&fleet, 0), |run| run.code == 0).await;
    let key = ["test", "--peer-key", DEFAULT_PEER_KEY, "--daemon"];
    let address = peers_address(&fleet, 0).to_string();
    let connect =
        TestArgs::try_parse_from(key.into_iter().chain([&*address])).unwrap();
    let operator = FleetClient::new(&connect.connect).unwrap();
    let healthy = discover_first_reporting(&operator).await;
    assert_eq!(assess(&healthy).findings, []);
    let finding_reasons = |change: &dyn Fn(&mut DaemonStatus)| -> Vec<String> {
        let mut daemons = healthy.clone();
        let StatusResult::Received(status) = &mut daemons[0].result else {
            panic!()
        };
        change(status);
        let findings = assess(&daemons).findings.into_iter();
        findings.map(|f| format!("{}: {}", f.subject, f.reason)).collect()
    };
    let vm = healthy[0].vm.clone().unwrap();
    let lagging = finding_reasons(&|status| status.epoch = Some(0));
    assert_eq!(
        lagging,
        [format!("daemon {vm}: behind: 0 in force, and 1 elsewhere")]
    );
    // A load report counts even if only the lagging daemon has it.
    let mut daemons = healthy.clone();
    let mut reported = SortedSet::new();
    for (index, daemon) in daemons.iter_mut().enumerate() {
        let StatusResult::Received(status) = &mut daemon.result else {
            panic!()
        };
        if index == 0 {
            status.epoch = Some(0);
        }
        for server in &mut status.servers {
            if index == 0 && server.report.is_some() {
                reported.insert(server.server.clone());
            } else if reported.contains(&server.server) {
                server.report = None;
            }
        }
    }
    assert!(!reported.is_empty());
    let unreported: Vec<String> = assess(&daemons)
        .findings
        .into_iter()
        .filter(|f| f.reason.contains("no daemon has a load report"))
        .map(|f| f.subject.to_string())
        .filter(|name| reported.iter().any(|s| name.contains(s.as_str())))
        .collect();
    assert_eq!(unreported, Vec::<String>::new());
    let other_vm = healthy[1].vm.clone().unwrap();
    let suspected = finding_reasons(&|status| {
        let mut members = status.members.iter_mut();
        let member = members.find(|m| m.vm == other_vm).unwrap();
        member.state = MemberState::Dead;
    });
    assert_eq!(
        suspected,
        [format!("daemon {other_vm}: answers, but {vm} holds it dead")]
    );
    let stopping =
        finding_reasons(&|status| status.phase = DaemonPhase::Draining);
    assert_eq!(
        stopping,
        [format!("daemon {vm}: in a planned stop: draining")]
    );
    // If no daemon has a recent load report, the old one is a finding.
    let mut daemons = healthy.clone();
    for daemon in &mut daemons {
        let StatusResult::Received(status) = &mut daemon.result else {
            panic!()
        };
        for report in
            status.servers.iter_mut().filter_map(|s| s.report.as_mut())
        {
            report.age_ms = 20_000;
        }
    }
    let stale = assess(&daemons);
    assert_eq!(stale.findings.len(), fleet.cluster().backends().len());
    assert!(stale.zones.iter().all(|zone| zone.servers_ready == 0));
    fleet.stop().await;
}

#[derive(Parser)]
struct TestArgs {
    #[command(flatten)]
    connect: ConnectArgs,
}
