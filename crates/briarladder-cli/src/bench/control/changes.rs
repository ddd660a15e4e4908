//! The cost of a configuration change, and of the load view.

use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use briarladder_core::{
    config::{
        Announcement, Bundle, ConfigStore, OfferOutcome, notify_targets,
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
    meter::{
        Driver, Figure, GET_ANSWER_BYTES, GET_REQUEST_BYTES, RPC_ANSWER_BYTES,
        RPC_REQUEST_BYTES, copy_bytes, cpu_time, figure, run_us, to_f64,
    },
    size::{Size, objects, pool_of},
    world::{vm_name, zone_name},
};

/// The time between two rounds of load polls, as the daemon has it.
const POLL_ROUND: Duration = Duration::from_millis(100);

/// The requests a second of one daemon at the peak of the target scale.
const REQUESTS_PER_S: f64 = 54_000.0 / 2_500.0;

/// The stages of a request on average: pipelines have 3 to 6.
const STAGES: f64 = 4.5;

/// How long an attempt takes in the simulation of the load view.
const ATTEMPT: Duration = Duration::from_millis(200);

fn json_len(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).expect("serialisable").len()
}

fn json_bytes(value: &impl serde::Serialize, framing: usize) -> f64 {
    to_f64((json_len(value) + framing) as u64)
}

/// Two sets that differ by one change.
pub struct Sets {
    before: Bundle,
    after: Bundle,
}

impl Sets {
    /// Publishes both sets.
    pub fn new(size: &Size) -> anyhow::Result<Sets> {
        Ok(Sets {
            before: Bundle::new(1, &objects(size, 1)?)?,
            after: Bundle::new(2, &objects(size, 2)?)?,
        })
    }

    /// Returns a store with the first set in force.
    fn store(&self, now: Instant) -> ConfigStore {
        let mut store = ConfigStore::new();
        store.confirm_floor(now);
        offer(&mut store, &self.before, now);
        store
    }
}

fn offer(store: &mut ConfigStore, bundle: &Bundle, now: Instant) {
    let outcome = store.offer_manifest(bundle.manifest.clone(), now);
    let OfferOutcome::Missing(missing) = outcome else { return };
    for wanted in missing {
        let found = bundle.chunks.iter().find(|c| c.digest == wanted.digest);
        let bytes = &found.expect("listed chunks are there").bytes;
        store.offer_chunk(&wanted.digest, bytes, now);
    }
}

/// Measures the messages, CPU time and memory of the configuration.
pub fn configuration(size: &Size) -> anyhow::Result<Vec<Figure>> {
    let now = Instant::now();
    let sets = Sets::new(size)?;
    let store_bytes = copy_bytes(3, || sets.store(now))?;
    let changing_bytes = copy_bytes(3, || {
        let mut store = sets.store(now);
        let pinned = store.in_force().cloned();
        offer(&mut store, &sets.after, now);
        (store, pinned)
    })?;
    let mut stores: Vec<ConfigStore> =
        (0..4).map(|_| sets.store(now)).collect();
    let cpu = cpu_time()?;
    for store in &mut stores {
        offer(store, &sets.after, now);
    }
    let adopt = cpu_time()?.saturating_sub(cpu) / 4;
    let adopted = stores[0].in_force().context("no set is in force")?;
    ensure!(adopted.epoch == 2, "the change was not adopted");

    let delta = sets.after.manifest.delta_since(&sets.before.manifest);
    let moved: Vec<String> = sets
        .after
        .chunks
        .iter()
        .filter(|c| delta.changed.iter().any(|d| d.digest == c.digest))
        .map(|c| String::from_utf8_lossy(&c.bytes).into_owned())
        .collect();
    let query = ManifestQuery {
        which: briarladder_core::config::ManifestSelector::Newest,
        have: Some(sets.before.manifest.id()),
    };
    let reply = stores[0].manifest_for(query.which, query.have);
    let chunk_asked: f64 = delta
        .changed
        .iter()
        .map(|c| json_bytes(&c.digest, RPC_REQUEST_BYTES))
        .sum();
    let chunk_told: f64 = moved
        .iter()
        .map(|text| {
            let reply = ChunkResponse { text: Some(text.clone()) };
            json_bytes(&reply, RPC_ANSWER_BYTES)
        })
        .sum();
    let pull = json_bytes(&query, RPC_REQUEST_BYTES)
        + json_bytes(&reply, RPC_ANSWER_BYTES)
        + chunk_asked
        + chunk_told;
    let set: u64 =
        sets.after.chunks.iter().map(|c| c.bytes.len() as u64).sum();
    let get = GET_REQUEST_BYTES + GET_ANSWER_BYTES;
    let manifest = json_bytes(&sets.after.manifest, get);
    let moved_bytes: usize = moved.iter().map(|t| t.len() + get).sum();
    let reader = manifest + to_f64(moved_bytes as u64);
    let by = Driver::Objects;
    Ok(vec![
        figure("object set", "bytes", by, to_f64(set)),
        figure(
            "object set",
            "chunks",
            by,
            to_f64(sets.after.chunks.len() as u64),
        ),
        figure("manifest from the platform", "bytes", by, manifest),
        figure("one change pulled from a peer", "bytes", by, pull),
        figure("one change read from the platform", "bytes", by, reader),
        figure("one change adopted, CPU", "us", by, adopt.as_secs_f64() * 1e6),
        figure("configuration memory", "bytes", by, store_bytes),
        figure(
            "configuration memory during a change",
            "bytes",
            by,
            changing_bytes,
        ),
    ])
}

/// Measures what a notice to zone peers costs.
pub fn notices(size: &Size) -> anyhow::Result<Vec<Figure>> {
    let names: Vec<VmName> = (0..size.vms / size.zones).map(vm_name).collect();
    let targets = notify_targets(&names[0], &names, 2).len();
    let notice = ConfigNotice {
        address: ([10, 0, 0, 1], 7_000).into(),
        announcement: Announcement { in_force: 18_000, known: 18_000 },
    };
    let bytes = json_bytes(&notice, RPC_REQUEST_BYTES + RPC_ANSWER_BYTES);
    let mut epoch = 0;
    let cpu = run_us(|| {
        epoch += 1;
        std::hint::black_box(notify_targets(&names[0], &names, epoch));
    })?;
    let both = 2.0 * to_f64(targets as u64);
    Ok(vec![
        figure(
            "notices of one change, sent and received",
            "bytes",
            Driver::Fixed,
            both * bytes,
        ),
        figure(
            "choice of whom to notify, CPU",
            "us",
            Driver::ZoneDaemons,
            cpu,
        ),
    ])
}

/// Measures the platform's list of VMs.
pub fn vm_list(size: &Size) -> Vec<Figure> {
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
    let get = GET_REQUEST_BYTES + GET_ANSWER_BYTES;
    let list = |vms: Vec<Vm>| json_bytes(&VmList { version: 1, vms }, get);
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

struct LoadView {
    now: Instant,
    router: Router,
    sequence: u64,
    /// When each server was last polled, and the longest time between.
    polled: SortedMap<ServerName, Instant>,
    longest_gap: Duration,
    polls: u64,
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
            polled: SortedMap::new(),
            longest_gap: Duration::ZERO,
            polls: 0,
            bytes: 0,
        }
    }

    fn poll_round(&mut self) {
        self.now += POLL_ROUND;
        for poll in self.router.take_due_polls(self.now) {
            self.sequence += 1;
            let json = serde_json::to_vec(&report(self.sequence))
                .expect("serialisable");
            let framing = GET_REQUEST_BYTES + GET_ANSWER_BYTES;
            self.bytes += (json.len() + framing) as u64;
            self.polls += 1;
            let name = &poll.server.name;
            let read = serde_json::from_slice(&json).expect("written by this");
            self.router.apply_report(self.now, name, &read);
            if let Some(before) = self.polled.get(name) {
                self.longest_gap = self.longest_gap.max(self.now - *before);
            }
            self.polled.insert(name.clone(), self.now);
        }
    }

    /// Sends the attempts of one round, and ends those of two rounds before.
    fn attempts(
        &mut self,
        count: usize,
        open: &mut Vec<(Instant, ServerName)>,
        rng: &mut SmallRng,
    ) {
        let due = open.iter().take_while(|(at, _)| *at <= self.now).count();
        for (_, name) in open.drain(..due) {
            let answered = AttemptResult::Completed;
            self.router.record_finished(self.now, &name, answered, ATTEMPT);
            self.sequence += 1;
            let report = report(self.sequence);
            self.router.apply_report(self.now, &name, &report);
            self.polled.insert(name, self.now);
        }
        for number in 0..count {
            let pool = PoolName::new(pool_of(number)).expect("a valid name");
            let query = Query::new(&pool, Duration::from_secs(5), ATTEMPT);
            let Ok(pick) = self.router.pick(self.now, &query, rng) else {
                continue;
            };
            self.router.record_sent(self.now, &pick);
            open.push((self.now + ATTEMPT, pick.server.name.clone()));
        }
    }
}

fn snapshot(size: &Size) -> anyhow::Result<Snapshot> {
    Snapshot::resolve(1, &objects(size, 1)?).context("the set has faults")
}

/// Measures load polls, with no requests and with the requests of the peak.
pub fn load_view(size: &Size, time: Duration) -> anyhow::Result<Vec<Figure>> {
    let snapshot = snapshot(size)?;
    let rounds = time.as_millis() / POLL_ROUND.as_millis();
    let time_s = time.as_secs_f64();
    let mut idle = LoadView::new(&snapshot);
    // The first polls find every server without a report.
    (0..100).for_each(|_| idle.poll_round());
    (idle.polls, idle.bytes, idle.longest_gap) = (0, 0, Duration::ZERO);
    let cpu = cpu_time()?;
    (0..rounds).for_each(|_| idle.poll_round());
    let cpu = cpu_time()?.saturating_sub(cpu);

    let mut busy = LoadView::new(&snapshot);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut open = Vec::new();
    let per_round = REQUESTS_PER_S * STAGES * POLL_ROUND.as_secs_f64();
    let mut owed = 0.0;
    for round in 0..100 + rounds {
        if round == 100 {
            (busy.polls, busy.bytes) = (0, 0);
        }
        owed += per_round;
        let mut count = 0;
        while owed >= 1.0 {
            (owed, count) = (owed - 1.0, count + 1);
        }
        busy.attempts(count, &mut open, &mut rng);
        busy.poll_round();
    }
    let mut other = LoadView::new(&snapshot);
    let apply = run_us(|| other.router.apply_snapshot(other.now, &snapshot))?;
    let memory = copy_bytes(4, || LoadView::new(&snapshot))?;
    let by = Driver::Servers;
    let second = |count: u64| to_f64(count) / time_s;
    Ok(vec![
        figure("load polls, no requests", "polls/s", by, second(idle.polls)),
        figure("load polls, no requests", "bytes/s", by, second(idle.bytes)),
        figure("load polls, no requests, CPU", "us/s", by, {
            cpu.as_secs_f64() * 1e6 / time_s
        }),
        figure(
            "longest time between polls of a server",
            "s",
            Driver::Fixed,
            idle.longest_gap.as_secs_f64(),
        ),
        figure("load polls at the peak", "polls/s", by, second(busy.polls)),
        figure("load polls at the peak", "bytes/s", by, second(busy.bytes)),
        figure("router takes a snapshot, CPU", "us", by, apply),
        figure("router memory", "bytes", by, memory),
    ])
}
