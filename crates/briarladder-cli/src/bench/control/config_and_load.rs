//! The cost of configuration changes, the VM list, and load polls.

use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use briarladder_core::{
    config::{
        Announcement, Bundle, ConfigStore, Digest, OfferOutcome,
        notify_targets,
    },
    ids::Incarnation,
    load::{LoadReport, ServerState},
    names::{PoolName, ServerName, VmName},
    objects::snapshot::Snapshot,
    routing::{AttemptResult, Query, Router, Settings},
    sorted::SortedMap,
};
use briarladder_wire::{
    peers::{ChunkResponse, ConfigNotice, ManifestQuery},
    platform::{Vm, VmKind, VmList, VmState},
};
use rand::{SeedableRng, rngs::SmallRng};

use super::{
    measurement::{
        Driver, Figure, GET_REQUEST_BYTES, GET_RESPONSE_BYTES,
        RPC_REQUEST_BYTES, RPC_RESPONSE_BYTES, bytes_per_copy, cpu_us_per_run,
        figure, thread_cpu_time, to_f64,
    },
    membership::{vm_name, zone_name},
    size::{Size, objects, pool_name},
};

/// Interval between rounds of load polls, the same as in the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Requests per second of one daemon at the peak of the target scale: 54,000
/// over 2,500 daemons.
const PEAK_REQUESTS_PER_S: f64 = 54_000.0 / 2_500.0;

/// Mean stages of a request: pipelines have 3 to 6.
const MEAN_STAGES: f64 = 4.5;

/// Duration of each simulated attempt.
const ATTEMPT_TIME: Duration = Duration::from_millis(200);

fn json_len(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).expect("serialisable").len()
}

fn json_bytes(value: &impl serde::Serialize, framing: usize) -> f64 {
    to_f64((json_len(value) + framing) as u64)
}

/// Two object sets that differ in one object.
pub struct ConfigChange {
    before: Bundle,
    after: Bundle,
}

impl ConfigChange {
    /// Creates both sets, with the epochs 1 and 2.
    pub fn new(size: &Size) -> anyhow::Result<ConfigChange> {
        Ok(ConfigChange {
            before: Bundle::new(1, &objects(size, 1)?)?,
            after: Bundle::new(2, &objects(size, 2)?)?,
        })
    }

    /// Returns a store in which the first set is in force.
    fn store(&self, now: Instant) -> ConfigStore {
        let mut store = ConfigStore::new();
        store.confirm_floor(now);
        deliver_bundle(&mut store, &self.before, now);
        store
    }
}

fn deliver_bundle(store: &mut ConfigStore, bundle: &Bundle, now: Instant) {
    let outcome = store.offer_manifest(bundle.manifest.clone(), now);
    let OfferOutcome::Missing(missing) = outcome else { return };
    for wanted in missing {
        let found = bundle.chunks.iter().find(|c| c.digest == wanted.digest);
        let bytes = &found.expect("the bundle has all listed chunks").bytes;
        store.offer_chunk(&wanted.digest, bytes, now);
    }
}

/// Measures the messages, CPU time and memory of a configuration change.
pub fn measure_configuration(size: &Size) -> anyhow::Result<Vec<Figure>> {
    let now = Instant::now();
    let change = ConfigChange::new(size)?;
    let store_bytes = bytes_per_copy(3, || change.store(now))?;
    let changing_bytes = bytes_per_copy(3, || {
        let mut store = change.store(now);
        let pinned = store.in_force().cloned();
        deliver_bundle(&mut store, &change.after, now);
        (store, pinned)
    })?;
    let mut stores: Vec<ConfigStore> =
        (0..4).map(|_| change.store(now)).collect();
    let cpu_before = thread_cpu_time()?;
    for store in &mut stores {
        deliver_bundle(store, &change.after, now);
    }
    let adopt_cpu = thread_cpu_time()?.saturating_sub(cpu_before) / 4;
    let adopted =
        stores[0].in_force().context("no configuration is in force")?;
    ensure!(adopted.epoch == 2, "the change was not adopted");

    let delta = change.after.manifest.delta_since(&change.before.manifest);
    let changed_chunks: Vec<String> = change
        .after
        .chunks
        .iter()
        .filter(|c| delta.changed.iter().any(|d| d.digest == c.digest))
        .map(|c| String::from_utf8_lossy(&c.bytes).into_owned())
        .collect();
    let query = ManifestQuery {
        which: briarladder_core::config::ManifestSelector::Newest,
        have: Some(change.before.manifest.id()),
    };
    let response = stores[0].manifest_for(query.which, query.have);
    let chunk_request_bytes: f64 = delta
        .changed
        .iter()
        .map(|c| json_bytes(&c.digest, RPC_REQUEST_BYTES))
        .sum();
    let chunk_response_bytes: f64 = changed_chunks
        .iter()
        .map(|text| {
            let response = ChunkResponse { text: Some(text.clone()) };
            json_bytes(&response, RPC_RESPONSE_BYTES)
        })
        .sum();
    let pull_bytes = json_bytes(&query, RPC_REQUEST_BYTES)
        + json_bytes(&response, RPC_RESPONSE_BYTES)
        + chunk_request_bytes
        + chunk_response_bytes;
    let set_bytes: u64 =
        change.after.chunks.iter().map(|c| c.bytes.len() as u64).sum();
    let get_framing = GET_REQUEST_BYTES + GET_RESPONSE_BYTES;
    let manifest = json_bytes(&change.after.manifest, get_framing);
    let changed_bytes: usize =
        changed_chunks.iter().map(|t| t.len() + get_framing).sum();
    let reader_bytes = manifest + to_f64(changed_bytes as u64);
    let by = Driver::Objects;
    Ok(vec![
        figure("object set", "bytes", by, to_f64(set_bytes)),
        figure(
            "object set",
            "chunks",
            by,
            to_f64(change.after.chunks.len() as u64),
        ),
        figure("manifest from the platform", "bytes", by, manifest),
        figure("one change pulled from a peer", "bytes", by, pull_bytes),
        figure("one change read from the platform", "bytes", by, reader_bytes),
        figure(
            "one change adopted, CPU",
            "us",
            by,
            adopt_cpu.as_secs_f64() * 1e6,
        ),
        figure("configuration memory", "bytes", by, store_bytes),
        figure(
            "configuration memory during a change",
            "bytes",
            by,
            changing_bytes,
        ),
    ])
}

/// Measures the notices of a change to peers in the zone.
pub fn measure_notices(size: &Size) -> anyhow::Result<Vec<Figure>> {
    let names: Vec<VmName> = (0..size.vms / size.zones).map(vm_name).collect();
    let targets = notify_targets(&names[0], &names, 2).len();
    let notice = ConfigNotice {
        address: ([10, 0, 0, 1], 7_000).into(),
        announcement: Announcement {
            in_force: 18_000,
            known: 18_000,
            in_force_digest: Some(Digest::of(b"manifest")),
        },
    };
    let bytes = json_bytes(&notice, RPC_REQUEST_BYTES + RPC_RESPONSE_BYTES);
    let mut epoch = 0;
    let cpu = cpu_us_per_run(|| {
        epoch += 1;
        std::hint::black_box(notify_targets(&names[0], &names, epoch));
    })?;
    let message_count = 2.0 * to_f64(targets as u64);
    Ok(vec![
        figure(
            "notices of one change, sent and received",
            "bytes",
            Driver::Fixed,
            message_count * bytes,
        ),
        figure(
            "choice of daemons to notify, CPU",
            "us",
            Driver::ZoneDaemons,
            cpu,
        ),
    ])
}

/// Measures the size of the platform's VM list.
pub fn measure_vm_list(size: &Size) -> Vec<Figure> {
    let entry = |n: usize| Vm {
        name: vm_name(n),
        zone: zone_name(n % size.zones),
        kind: VmKind::Entry,
        address: ([10, 0, 100, 200], 7_000).into(),
        state: VmState::Live,
    };
    let backend = |n: usize| Vm {
        name: VmName::new(&format!("server-0-0-{n:05}")).expect("valid"),
        kind: VmKind::Backend,
        ..entry(n)
    };
    let get_framing = GET_REQUEST_BYTES + GET_RESPONSE_BYTES;
    let list =
        |vms: Vec<Vm>| json_bytes(&VmList { version: 1, vms }, get_framing);
    let entries = list((0..size.vms).map(entry).collect());
    let backends = list((0..size.servers).map(backend).collect());
    vec![
        figure("VM list, daemons", "bytes", Driver::Daemons, entries),
        figure("VM list, backend servers", "bytes", Driver::Servers, backends),
    ]
}

fn report(sequence: u64) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(0x018b_cfe5_6800_0001),
        sequence,
        state: ServerState::Ready,
        slots_requests: 8,
        running_requests: 3,
        queued_requests: 0,
        epoch_seen: 18_000,
        model_versions: Vec::new(),
    }
}

/// The load polls of one daemon on simulated time, and what they cost.
struct LoadView {
    now: Instant,
    router: Router,
    sequence: u64,
    /// Time of the last report of each server. Responses to attempts carry
    /// reports too.
    last_report_at: SortedMap<ServerName, Instant>,
    /// Maximum time between a poll of a server and its previous report.
    longest_gap: Duration,
    /// Polls sent since the warm-up.
    polls: u64,
    /// Bytes of these polls and their responses, with framing.
    bytes: u64,
}

impl LoadView {
    fn new(snapshot: &Snapshot) -> LoadView {
        let now = Instant::now();
        let settings = Settings::new(vm_name(0), zone_name(0));
        let mut router = Router::new(settings);
        router.apply_snapshot(now, snapshot);
        LoadView {
            now,
            router,
            sequence: 0,
            last_report_at: SortedMap::new(),
            longest_gap: Duration::ZERO,
            polls: 0,
            bytes: 0,
        }
    }

    fn poll_round(&mut self) {
        self.now += POLL_INTERVAL;
        for poll in self.router.take_due_polls(self.now) {
            self.sequence += 1;
            let json = serde_json::to_vec(&report(self.sequence))
                .expect("serialisable");
            let framing = GET_REQUEST_BYTES + GET_RESPONSE_BYTES;
            self.bytes += (json.len() + framing) as u64;
            self.polls += 1;
            let name = &poll.server.name;
            let read =
                serde_json::from_slice(&json).expect("serialized above");
            self.router.apply_report(self.now, name, &read);
            if let Some(before) = self.last_report_at.get(name) {
                self.longest_gap = self.longest_gap.max(self.now - *before);
            }
            self.last_report_at.insert(name.clone(), self.now);
        }
    }

    /// Finishes the attempts that are due, two rounds after they were sent,
    /// and sends `count` new ones.
    fn run_attempts(
        &mut self,
        count: usize,
        in_flight: &mut Vec<(Instant, ServerName)>,
        rng: &mut SmallRng,
    ) {
        let due_count =
            in_flight.iter().take_while(|(at, _)| *at <= self.now).count();
        for (_, name) in in_flight.drain(..due_count) {
            let completed = AttemptResult::Completed;
            self.router.record_finished(
                self.now,
                &name,
                completed,
                ATTEMPT_TIME,
            );
            self.sequence += 1;
            let report = report(self.sequence);
            self.router.apply_report(self.now, &name, &report);
            self.last_report_at.insert(name, self.now);
        }
        for number in 0..count {
            let pool = PoolName::new(pool_name(number)).expect("a valid name");
            let query =
                Query::new(&pool, Duration::from_secs(5), ATTEMPT_TIME);
            let Ok(pick) = self.router.pick(self.now, &query, rng) else {
                continue;
            };
            self.router.record_sent(self.now, &pick);
            in_flight
                .push((self.now + ATTEMPT_TIME, pick.server.name.clone()));
        }
    }
}

fn snapshot(size: &Size) -> anyhow::Result<Snapshot> {
    Snapshot::resolve(1, &objects(size, 1)?)
        .context("the object set is not valid")
}

/// Measures load polls without requests and at the peak request rate.
pub fn measure_load_view(
    size: &Size,
    time: Duration,
) -> anyhow::Result<Vec<Figure>> {
    let snapshot = snapshot(size)?;
    let rounds = time.as_millis() / POLL_INTERVAL.as_millis();
    let time_s = time.as_secs_f64();
    let mut idle = LoadView::new(&snapshot);
    // Warm-up: at first no server has a report.
    (0..100).for_each(|_| idle.poll_round());
    (idle.polls, idle.bytes, idle.longest_gap) = (0, 0, Duration::ZERO);
    let cpu_before = thread_cpu_time()?;
    (0..rounds).for_each(|_| idle.poll_round());
    let cpu = thread_cpu_time()?.saturating_sub(cpu_before);

    let mut busy = LoadView::new(&snapshot);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut in_flight = Vec::new();
    let per_round =
        PEAK_REQUESTS_PER_S * MEAN_STAGES * POLL_INTERVAL.as_secs_f64();
    let mut owed_attempts = 0.0;
    for round in 0..100 + rounds {
        if round == 100 {
            (busy.polls, busy.bytes) = (0, 0);
        }
        owed_attempts += per_round;
        let mut count = 0;
        while owed_attempts >= 1.0 {
            (owed_attempts, count) = (owed_attempts - 1.0, count + 1);
        }
        busy.run_attempts(count, &mut in_flight, &mut rng);
        busy.poll_round();
    }
    let mut fresh = LoadView::new(&snapshot);
    let apply_us =
        cpu_us_per_run(|| fresh.router.apply_snapshot(fresh.now, &snapshot))?;
    let memory_bytes = bytes_per_copy(4, || LoadView::new(&snapshot))?;
    let by = Driver::Servers;
    let per_second = |count: u64| to_f64(count) / time_s;
    Ok(vec![
        figure(
            "load polls, no requests",
            "polls/s",
            by,
            per_second(idle.polls),
        ),
        figure(
            "load polls, no requests",
            "bytes/s",
            by,
            per_second(idle.bytes),
        ),
        figure("load polls, no requests, CPU", "us/s", by, {
            cpu.as_secs_f64() * 1e6 / time_s
        }),
        figure(
            "longest time between polls of a server",
            "s",
            Driver::Fixed,
            idle.longest_gap.as_secs_f64(),
        ),
        figure(
            "load polls at the peak",
            "polls/s",
            by,
            per_second(busy.polls),
        ),
        figure(
            "load polls at the peak",
            "bytes/s",
            by,
            per_second(busy.bytes),
        ),
        figure("snapshot applied to the router, CPU", "us", by, apply_us),
        figure("router memory", "bytes", by, memory_bytes),
    ])
}
