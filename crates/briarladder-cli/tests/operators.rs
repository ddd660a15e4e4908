//! Runs `briarladder status` and `briarladder timeline` against whole
//! deployments in this process.

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
        client::{ConnectArgs, FleetClient, StatusResult},
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

/// How long a fleet may take to come to an expected state.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

const WRONG_KEY: &str = "a-wrong-key-of-sufficient-length";

struct Run {
    code: i32,
    out: String,
    error: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect(&self.error)
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
        out: text(output.stdout),
        error: text(output.stderr),
    };
    // The key must not appear anywhere, at any log level.
    assert!(!run.out.contains(key) && !run.error.contains(key), "{args:?}");
    run
}

async fn run(args: &[&str]) -> Run {
    run_with(args, DEFAULT_PEER_KEY, "error").await
}

async fn status(address: SocketAddr) -> Run {
    run(&["status", "--json", "--daemon", &address.to_string()]).await
}

/// Asks for the status until it is as expected.
async fn settled(address: SocketAddr, expected: impl Fn(&Run) -> bool) -> Run {
    let began_at = Instant::now();
    loop {
        let run = status(address).await;
        if expected(&run) {
            return run;
        }
        let late = began_at.elapsed() > SETTLE_TIMEOUT;
        assert!(!late, "code {}: {}{}", run.code, run.out, run.error);
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

fn peers_address(fleet: &Fleet, at: usize) -> SocketAddr {
    fleet.daemons()[at].daemon().peer_address
}

/// Returns the reasons found for a daemon, zone or server.
fn reasons<'a>(status: &'a Value, name: &str) -> Vec<&'a str> {
    let findings = status["findings"].as_array().unwrap();
    let about = findings.iter().filter(|f| f["subject"]["name"] == name);
    about.map(|f| f["reason"].as_str().unwrap()).collect()
}

fn has(reasons: &[&str], part: &str) -> bool {
    reasons.iter().any(|reason| reason.contains(part))
}

/// Guards against a healthy fleet that is reported as faulty, places that
/// are left out, and a key in the output.
#[tokio::test(flavor = "multi_thread")]
async fn status_healthy_fleet() {
    let fleet = fleet(&[]).await;
    let address = peers_address(&fleet, 0);
    let run = settled(address, |run| run.code == 0).await;
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
    assert_eq!(text.code, 0, "{}", text.out);
    assert!(text.out.ends_with("all in line\n"), "{}", text.out);
    for part in fleet.cluster().backends() {
        assert!(text.out.contains(part.name().as_str()), "{}", part.name());
    }
    fleet.stop().await;
}

/// Guards against a daemon that is down and left out, or shown without its
/// zone and the reason.
#[tokio::test(flavor = "multi_thread")]
async fn status_daemon_down() {
    let mut fleet = fleet(&[]).await;
    let asked = peers_address(&fleet, 0);
    // A peer in the zone probes it each second, one in another zone only
    // each 10 s.
    let mate = VmName::new("mate").unwrap();
    let mate_zone = fleet.zones()[0].clone();
    fleet.start_daemon(&mate, &mate_zone).unwrap();
    fleet.publish_vm_list();
    fleet.wait_for_epoch(1).await.unwrap();
    settled(asked, |run| run.code == 0 && run.out.contains("mate")).await;
    let down = fleet.remove_daemon(1);
    let vm = down.daemon().settings.vm.clone();
    let zone = down.daemon().settings.zone.clone();
    let address = down.daemon().peer_address;
    drop(down);
    drop(fleet.remove_daemon(fleet.daemons().len() - 1));
    // The other daemons tell since when, once they hold it to be suspect.
    let since_is_known = |json: &Value| {
        let findings = json["findings"].as_array().unwrap();
        let mut about =
            findings.iter().filter(|f| f["subject"]["name"] == "mate");
        about.any(|f| f["since"]["for_ms"].is_u64())
    };
    let run =
        settled(asked, |run| run.code == 1 && since_is_known(&run.json()))
            .await;
    let json = run.json();
    assert!(has(&reasons(&json, "mate"), "unreachable"));
    assert!(has(&reasons(&json, vm.as_str()), "unreachable"));
    let found = reasons(&json, zone.as_str());
    assert!(has(&found, "none of its 1 daemons"), "{found:?}");
    let daemons = json["daemons"].as_array().unwrap();
    let place = daemons.iter().find(|d| d["vm"] == vm.as_str()).unwrap();
    assert_eq!(place["zone"], zone.as_str());
    assert_eq!(daemons.len(), fleet.daemons().len() + 2);
    // Asked alone, it is unreachable and not an error of usage.
    let alone = status(address).await;
    assert_eq!(alone.code, 1, "{}", alone.error);
    let json = alone.json();
    assert!(has(&reasons(&json, &address.to_string()), "unreachable"));
    fleet.stop().await;
}

/// Guards against a rejected set that looks like a fleet in line, and a
/// rejection without reason or start.
#[tokio::test(flavor = "multi_thread")]
async fn status_bad_set_published() {
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
    let run = settled(peers_address(&fleet, 0), |run| {
        let json = run.json();
        vms.iter().all(|vm| has(&reasons(&json, vm.as_str()), "gone"))
    })
    .await;
    assert_eq!(run.code, 1);
    let json = run.json();
    for place in json["daemons"].as_array().unwrap() {
        let status = &place["reply"]["answered"];
        assert_eq!(status["epoch"], 1);
        assert_eq!(status["known_epoch"], 2);
        assert_eq!(status["readiness"], "ready");
        assert!(status["problem"]["since_unix_ms"].as_u64().unwrap() > 0);
    }
    fleet.stop().await;
}

/// Guards against a daemon below the floor that is shown as ready, and one
/// that is only known to some daemons and left out.
#[tokio::test(flavor = "multi_thread")]
async fn status_daemon_below_floor() {
    let mut fleet = fleet(&[]).await;
    let zone = fleet.zones()[0].clone();
    let vm = VmName::new("fresh").unwrap();
    fleet.start_daemon(&vm, &zone).unwrap();
    fleet.daemons().last().unwrap().daemon().raise_floor(9);
    fleet.publish_vm_list();
    let run = settled(peers_address(&fleet, 0), |run| {
        has(&reasons(&run.json(), "fresh"), "floor of epoch 9")
    })
    .await;
    assert_eq!(run.code, 1);
    let json = run.json();
    let daemons = json["daemons"].as_array().unwrap();
    let fresh = daemons.iter().find(|d| d["vm"] == "fresh").unwrap();
    let fresh = &fresh["reply"]["answered"];
    assert_eq!(fresh["readiness"], "not_ready");
    assert_eq!(fresh["epoch"], Value::Null);
    assert_eq!(fresh["floor_epoch"], 9);
    assert!(has(&reasons(&json, "fresh"), "no epoch in force, and 1"));
    fleet.stop().await;
}

/// Guards against a server whose versions differ from the declared ones, or
/// that crashed, and that counts as in line.
#[tokio::test(flavor = "multi_thread")]
async fn status_server_not_as_declared() {
    let fleet = fleet(&[]).await;
    let address = peers_address(&fleet, 0);
    settled(address, |run| run.code == 0).await;
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
    let run = settled(address, |run| {
        let json = run.json();
        let engine = reasons(&json, "engine-recife-a-1");
        let booking = reasons(&json, "booking-recife-a-1");
        has(&engine, "not loaded") && has(&booking, "ejected")
    })
    .await;
    assert_eq!(run.code, 1);
    let json = run.json();
    let found = reasons(&json, "engine-recife-a-1");
    assert!(has(&found, "not loaded: fold-3, caption-1"), "{found:?}");
    let found = reasons(&json, "booking-recife-a-1");
    assert!(has(&found, "no load report"), "{found:?}");
    let findings = json["findings"].as_array().unwrap();
    let since = |f: &&Value| f["subject"]["kind"] == "server";
    for finding in findings.iter().filter(since) {
        assert!(finding["since"]["for_ms"].is_u64(), "{finding}");
    }
    // What was out and came back is in line again.
    crashed.restart().await.unwrap();
    let order = Order {
        model_versions: ["fold-2", "fold-3", "caption-1"]
            .map(|name| ModelVersionName::new(name).unwrap())
            .to_vec(),
        ..order
    };
    let url = format!("http://{}/v1/orders", engine.address());
    client.post(url).json(&order).send().await.unwrap();
    settled(address, |run| run.code == 0).await;
    fleet.stop().await;
}

/// Guards against a refused key that looks like a fleet that is down, and a
/// key in an error.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_key_is_refused() {
    let fleet = fleet(&[]).await;
    let address = peers_address(&fleet, 0).to_string();
    for name in ["status", "timeline"] {
        let args = [name, "--daemon", &address];
        let refused = run_with(&args, WRONG_KEY, "trace").await;
        assert_eq!((refused.code, refused.out.as_str()), (2, ""), "{name}");
        assert!(refused.error.contains("BRIARLADDER_PEER_KEY"));
        let unsendable = run_with(&args, "line\nbreak", "trace").await;
        assert_eq!(unsendable.code, 2, "{}", unsendable.error);
        assert!(unsendable.error.contains("--peer-key"));
    }
    fleet.stop().await;
}

/// Guards against `--watch` that ends after one round or prints a round that
/// can't be read line by line.
#[tokio::test(flavor = "multi_thread")]
async fn status_watch_asks_again() {
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

/// Guards against exit codes that a script would read as another result,
/// commands without examples, and a key in the help.
#[tokio::test]
async fn usage_and_help() {
    let daemon = ["--daemon", "127.0.0.1:1"];
    let wrong: [&[&str]; 6] = [
        &["status"],
        &["status", "--daemon", "nowhere"],
        &["timeline", daemon[0], daemon[1], "--request", "7"],
        &["timeline", daemon[0], daemon[1], "--from", "yesterday"],
        &["timeline", daemon[0], daemon[1], "--from", "1s", "--until", "2s"],
        &["completions", "csh"],
    ];
    for args in wrong {
        let run = run(args).await;
        assert_eq!((run.code, run.out.as_str()), (2, ""), "{args:?}");
        assert!(!run.error.is_empty(), "{args:?}");
    }
    for name in
        ["check", "bundle", "demo", "status", "timeline", "completions"]
    {
        let help = run(&[name, "--help"]).await;
        assert!(help.out.contains("Examples:"), "{name}");
    }
    for shell in ["bash", "zsh", "fish"] {
        let script = run(&["completions", shell]).await;
        assert_eq!(script.code, 0);
        assert!(script.out.contains("timeline"), "{shell}");
    }
}

/// Guards against a daemon that follows no longer, a partition that only one
/// side sees, and a report that stopped coming, each taken for in line.
#[tokio::test(flavor = "multi_thread")]
async fn assess_behind_doubted_and_stale() {
    let fleet = fleet(&[]).await;
    settled(peers_address(&fleet, 0), |run| run.code == 0).await;
    let key = ["test", "--peer-key", DEFAULT_PEER_KEY, "--daemon"];
    let address = peers_address(&fleet, 0).to_string();
    let connect =
        Wrapper::try_parse_from(key.into_iter().chain([&*address])).unwrap();
    let operator = FleetClient::new(&connect.connect).unwrap();
    let good = operator.discover().await.unwrap();
    assert_eq!(assess(&good).findings, []);
    let reasons = |change: &dyn Fn(&mut DaemonStatus)| -> Vec<String> {
        let mut places = good.clone();
        let StatusResult::Received(status) = &mut places[0].result else {
            panic!()
        };
        change(status);
        let findings = assess(&places).findings.into_iter();
        findings.map(|f| format!("{}: {}", f.subject, f.reason)).collect()
    };
    let vm = good[0].vm.clone().unwrap();
    let behind = reasons(&|status| status.epoch = Some(0));
    assert_eq!(
        behind,
        [format!("daemon {vm}: behind: 0 in force, and 1 elsewhere")]
    );
    // A report that only the daemon behind has is still a report.
    let mut places = good.clone();
    let mut reported = SortedSet::new();
    for (at, place) in places.iter_mut().enumerate() {
        let StatusResult::Received(status) = &mut place.result else {
            panic!()
        };
        if at == 0 {
            status.epoch = Some(0);
        }
        for server in &mut status.servers {
            if at == 0 && server.report.is_some() {
                reported.insert(server.server.clone());
            } else if reported.contains(&server.server) {
                server.report = None;
            }
        }
    }
    assert!(!reported.is_empty());
    let unreported: Vec<String> = assess(&places)
        .findings
        .into_iter()
        .filter(|f| f.reason.contains("no daemon has a load report"))
        .map(|f| f.subject.to_string())
        .filter(|name| reported.iter().any(|s| name.contains(s.as_str())))
        .collect();
    assert_eq!(unreported, Vec::<String>::new());
    let other = good[1].vm.clone().unwrap();
    let doubted = reasons(&|status| {
        let mut members = status.members.iter_mut();
        let member = members.find(|m| m.vm == other).unwrap();
        member.state = MemberState::Dead;
    });
    assert_eq!(
        doubted,
        [format!("daemon {other}: answers, but {vm} holds it dead")]
    );
    let stopping = reasons(&|status| status.phase = DaemonPhase::Draining);
    assert_eq!(
        stopping,
        [format!("daemon {vm}: in a planned stop: draining")]
    );
    // Without any other view of the server, an old report is a finding.
    let mut places = good.clone();
    for place in &mut places {
        let StatusResult::Received(status) = &mut place.result else {
            panic!()
        };
        for report in
            status.servers.iter_mut().filter_map(|s| s.report.as_mut())
        {
            report.age_ms = 20_000;
        }
    }
    let stale = assess(&places);
    assert_eq!(stale.findings.len(), fleet.cluster().backends().len());
    assert!(stale.zones.iter().all(|zone| zone.servers_ready == 0));
    fleet.stop().await;
}

#[derive(Parser)]
struct Wrapper {
    #[command(flatten)]
    connect: ConnectArgs,
}
