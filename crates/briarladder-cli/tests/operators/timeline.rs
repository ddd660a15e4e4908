//! Tests the timeline of a deployment as lines and as an HTML page.

use briarladder_cli::operators::{layout, timeline::Timeline};
use briarladder_core::{
    clock::{Clock, SystemClock},
    ids::Incarnation,
    timeline::{
        EventBuffer, EventFilter, EventKind, EventSubject, HlcTimestamp,
        ProcessId, merge,
    },
};
use briarladder_standins::fault::Fault;
use briarladder_wire::callers::{
    CALLER_HEADER, REQUEST_ID_HEADER, TICKET_HEADER, TicketIssued,
    WORKSPACE_HEADER,
};

use super::*;

/// A clock whose wall time is ahead or behind.
#[derive(Debug)]
struct SkewedClock {
    ahead: Duration,
    behind: Duration,
}

impl Clock for SkewedClock {
    fn now(&self) -> Instant {
        SystemClock.now()
    }

    fn unix_time(&self) -> Duration {
        (SystemClock.unix_time() + self.ahead).saturating_sub(self.behind)
    }
}

async fn forwarded_call(
    fleet: &Fleet,
    ticket_from: SocketAddr,
    request_id: &str,
) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let post = |address: SocketAddr, path: &str| {
        client
            .post(format!("http://{address}{path}"))
            .header(WORKSPACE_HEADER, "tour-operators")
            .header(CALLER_HEADER, "test")
    };
    let ticket = post(ticket_from, "/v1/tickets").send().await.unwrap();
    let ticket: TicketIssued = ticket.json().await.unwrap();
    let receiver = fleet.callers_addresses()[0];
    let call = post(receiver, "/v1/pipelines/print-map")
        .header(TICKET_HEADER, ticket.ticket)
        .header(REQUEST_ID_HEADER, request_id)
        .json(&json!({"sheet": 1}));
    call.send().await.unwrap().error_for_status().unwrap();
}

/// Guards against showing an effect before its cause when a call is forwarded
/// to a daemon whose wall clock is 4 s behind or ahead. The forwarded message
/// and its response must carry the sender's timestamp: without it, the order
/// would be right only if a membership probe happened to synchronize the
/// clocks in time.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_of_request_over_two_daemons() {
    let mut fleet = fleet(&[]).await;
    let zone: ZoneName = fleet.zones()[1].clone();
    let address = peers_address(&fleet, 0);
    let receiver = fleet.daemons()[0].daemon().settings.vm.clone();
    let skew = Duration::from_secs(4);
    // The daemon whose clock is ahead is started last, because its probes
    // advance the logical clocks of the others.
    let clocks = [
        ("late", SkewedClock { ahead: Duration::ZERO, behind: skew }),
        ("early", SkewedClock { ahead: skew, behind: Duration::ZERO }),
    ];
    for (name, clock) in clocks {
        let vm = VmName::new(name).unwrap();
        fleet.start_daemon_with_clock(&vm, &zone, Arc::new(clock)).unwrap();
        fleet.publish_vm_list();
        fleet.wait_for_epoch(1).await.unwrap();
        let issuer = *fleet.callers_addresses().last().unwrap();
        // Waits until the queried daemon knows the new one from the VM list.
        wait_for_status(address, |run| run.stdout.contains(name)).await;
        for number in 1..=5 {
            let id = format!("{:032x}", number + 16 * name.len());
            forwarded_call(&fleet, issuer, &id).await;
            let steps = request_steps(address, &id).await;
            let step = |index: usize| {
                (steps[index].0.as_str(), steps[index].1.as_str())
            };
            let last = steps.len() - 1;
            assert_eq!(step(0), (receiver.as_str(), "forwarded"), "{steps:?}");
            assert_eq!(step(1), (name, "accepted"), "{steps:?}");
            assert_eq!(step(last - 1), (name, "answered"), "{steps:?}");
            let end = (receiver.as_str(), "forward_ended");
            assert_eq!(step(last), end, "{steps:?}");
        }
    }
    fleet.stop().await;
}

/// Returns the VM and kind of each event of a request, in timeline order.
async fn request_steps(
    address: SocketAddr,
    id: &str,
) -> Vec<(String, String)> {
    let address = address.to_string();
    let args = ["timeline", "--json", "--daemon", &address, "--request", id];
    let run = run(&args).await;
    assert_eq!(run.code, 0, "{}", run.stderr);
    let rows = run.stdout.lines().map(|line| {
        let row: Value = serde_json::from_str(line).unwrap();
        assert_eq!(row["subject"]["request_id"], id);
        let text = |value: &Value| value.as_str().unwrap().to_owned();
        (text(&row["process"]["vm"]), text(&row["kind"]["type"]))
    });
    rows.collect()
}

/// Returns the JSON data embedded in an HTML page.
fn page_data(page: &str) -> Value {
    let start = page.find("id=\"data\">").unwrap() + "id=\"data\">".len();
    let length = page[start..].find("</script>").unwrap();
    serde_json::from_str(&page[start..start + length]).unwrap()
}

/// Guards against lost or repeated events, overwritten events and missing
/// daemons that are not marked, and an HTML page that loads external resources
/// or that text inside an event can break.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_marks_gaps_and_missing_daemons() {
    let mut fleet = fleet(&["--events-kept=4500"]).await;
    let address = peers_address(&fleet, 0).to_string();
    wait_for_status(peers_address(&fleet, 0), |run| run.code == 0).await;
    let removed = fleet.remove_daemon(1);
    let removed_vm = removed.daemon().settings.vm.clone();
    drop(removed);
    let daemon = fleet.daemons()[0].daemon();
    for retry_after_ms in 0..6_000 {
        let reason = "</script><!-- \u{1b}[2J".into();
        let kind = EventKind::Refused { retry_after_ms, reason };
        daemon.events.record(EventSubject::default(), kind);
    }
    let vm = daemon.settings.vm.as_str();
    let run_json = run(&["timeline", "--json", "--daemon", &address]).await;
    assert_eq!(run_json.code, 1, "{}", run_json.stderr);
    let rows: Vec<Value> = run_json
        .stdout
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(rows[0]["row"], "unreachable");
    assert_eq!(rows[0]["daemon"], removed_vm.as_str());
    let of_daemon = rows.iter().filter(|r| r["process"]["vm"] == vm);
    let mut next = 0;
    for row in of_daemon {
        if row["row"] == "gap" {
            assert_eq!(row["first_sequence"], next);
            next += row["lost_events"].as_u64().unwrap();
        } else {
            assert_eq!(row["sequence"], next);
            next += 1;
        }
    }
    assert!(next >= 6_000, "{next}");
    let text = run(&["timeline", "--daemon", &address]).await;
    assert!(
        text.stdout.starts_with("unreachable "),
        "{}",
        &text.stdout[..200]
    );
    assert!(!text.stdout.contains('\u{1b}'));
    let file = concat!(env!("CARGO_TARGET_TMPDIR"), "/timeline.html");
    let args = ["timeline", "--daemon", &address, "--html", file];
    assert_eq!(run(&args).await.code, 1);
    let page = std::fs::read_to_string(file).unwrap();
    for external in ["http:", "https:", "src=", "href=", "@import", "url("] {
        assert!(!page.contains(external), "{external}");
    }
    let data = page_data(&page);
    let lanes = data["lanes"].as_array().unwrap();
    let lane = |l: &&Value| l["name"].as_str().unwrap().starts_with(vm);
    let lane = lanes.iter().find(lane).unwrap();
    let gap = lane["gaps"][0]["text"].as_str().unwrap();
    assert!(gap.starts_with("15") && gap.ends_with("events lost"), "{gap}");
    let marks = lane["marks"].as_array().unwrap();
    assert!(marks.iter().filter(|m| m["class"] == "fault").count() > 4_000);
    assert_eq!(data["missing"].as_array().unwrap().len(), 1);
    assert!(lanes.iter().any(|lane| lane["name"] == removed_vm.as_str()));
    fleet.stop().await;
}

/// Guards against failed attempts that the page shows as successful, and
/// filters that include other events or omit matching ones.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_shows_failed_attempts() {
    let fleet = fleet(&[]).await;
    let address = peers_address(&fleet, 0).to_string();
    let backends = fleet.cluster().backends().iter();
    let rerankers = backends.filter(|b| b.name().as_str().contains("rerank"));
    for reranker in rerankers {
        reranker.faults().add_for_next(1, Fault::Status(500));
    }
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let calls = (0..40).map(|number| {
        let addresses = fleet.callers_addresses();
        let address = addresses[number % addresses.len()];
        client
            .post(format!("http://{address}/v1/pipelines/caption-archive"))
            .header(WORKSPACE_HEADER, "tour-operators")
            .header(CALLER_HEADER, "test")
            .json(&json!({"number": number}))
            .send()
    });
    futures_util::future::join_all(calls).await;
    let read = async |filter: &[&str]| -> Vec<Value> {
        let args = ["timeline", "--json", "--daemon", &address];
        let run = run(&[&args[..], filter].concat()).await;
        assert_eq!(run.code, 0, "{}", run.stderr);
        let texts = run.stdout.lines();
        texts.map(|line| serde_json::from_str(line).unwrap()).collect()
    };
    let all = read(&["--from", "10m"]).await;
    let failed = all.iter().find(|r| r["kind"]["type"] == "attempt_failed");
    let server = failed.unwrap()["subject"]["server"].as_str().unwrap();
    let of_server = read(&["--server", server]).await;
    assert!(of_server.iter().all(|r| r["subject"]["server"] == server));
    assert!(of_server.contains(failed.unwrap()));
    assert!(of_server.len() < all.len());
    assert!(!read(&["--epoch", "1"]).await.is_empty());
    assert!(read(&["--epoch", "2"]).await.is_empty());
    assert!(read(&["--until", "10m"]).await.is_empty());
    let file = concat!(env!("CARGO_TARGET_TMPDIR"), "/faults.html");
    run(&["timeline", "--daemon", &address, "--html", file]).await;
    let data = page_data(&std::fs::read_to_string(file).unwrap());
    let lanes = data["lanes"].as_array().unwrap();
    let bars = lanes.iter().flat_map(|l| l["bars"].as_array().unwrap());
    let faults = bars.filter(|bar| bar["class"] == "fault").count();
    let failed = |r: &&Value| r["kind"]["type"] == "attempt_failed";
    assert_eq!(faults, all.iter().filter(failed).count());
    fleet.stop().await;
}

/// Guards against drawing an unfinished stage as finished, and drawing a gap
/// over events that are present.
#[test]
fn page_draws_open_bars_and_gaps() {
    let vm = VmName::new("vm-1").unwrap();
    let process = ProcessId { vm, incarnation: Incarnation(1) };
    let mut buffer = EventBuffer::new(process, 2);
    let mut pages = Vec::new();
    for unix_ms in [1_000, 2_000, 3_000, 4_000] {
        let stamp = HlcTimestamp { unix_ms, counter: 0 };
        let stage = StageName::new("encode").unwrap();
        let subject = EventSubject::default().with_stage(stage);
        let attempt = u32::try_from(unix_ms).unwrap();
        buffer.record(stamp, subject, EventKind::Dispatched { attempt });
        if unix_ms == 1_000 {
            pages.push(buffer.page(0, 9, &EventFilter::default()));
        }
    }
    pages.push(buffer.page(1, 9, &EventFilter::default()));
    let timeline = Timeline { rows: merge(&pages), missing: Vec::new() };
    let data = page_data(&layout::render_page(&timeline).unwrap());
    let lane = &data["lanes"][0];
    let gap = json!([
        {"from_ms": 1_000, "until_ms": 3_000, "text": "1 events lost"}
    ]);
    assert_eq!(lane["gaps"], gap);
    let bars = lane["bars"].as_array().unwrap();
    assert_eq!(bars.len(), 3);
    for bar in bars {
        assert_eq!(
            (&bar["class"], &bar["last"]),
            (&json!("open"), &json!(null))
        );
        assert_eq!(bar["until_ms"], 4_000);
    }
    assert_eq!(lane["depth"], 3);
}
