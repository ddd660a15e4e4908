//! State and CPU time of the other parts: tickets, events, orders, limits,
//! suspects.

use std::{
    cell::Cell,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    ids::{Incarnation, RequestId},
    ledger::{Ledger, LedgerLimits},
    limits::{
        LeaseHolder, LeaseHome, LeaseRequest, LeaseResponse, LimitKey,
        OpenOutcome, RENEWAL_INTERVAL,
    },
    membership::{Identity, Members, Seed, SeedState},
    names::{
        ModelVersionName, PipelineName, ServerName, StageName, VmName,
        WorkspaceName,
    },
    orders::sender_order,
    poison::{ContentHash, MAX_SUSPECTS, Suspects},
    routing::Sharing,
    timeline::{
        EventBuffer, EventKind, EventSubject, HlcTimestamp, ProcessId,
    },
};
use briarladder_wire::backend::Order;
use rand::{SeedableRng, rngs::SmallRng};
use serde::Serialize;

use super::{
    meter::{
        Driver, Figure, GET_ANSWER_BYTES, GET_REQUEST_BYTES, RPC_ANSWER_BYTES,
        RPC_REQUEST_BYTES, copy_bytes, figure, run_us, to_f64,
    },
    size::Size,
    world::{identity, vm_name},
};

/// The events that a daemon keeps by default.
const EVENTS_KEPT: usize = 16_384;

/// A lease request in the form in which `limits_lease` is to carry it. The
/// daemons do not send it yet, so its length is an estimate.
#[derive(Serialize)]
struct LeaseMessage<'a> {
    home: &'a str,
    holder: &'a str,
    workspace: &'a str,
    limit_requests: u32,
    units_requests: u32,
    in_use_requests: u32,
}

fn json_bytes(value: &impl Serialize, framing: usize) -> f64 {
    let len = serde_json::to_vec(value).expect("serialisable").len();
    to_f64((len + framing) as u64)
}

fn workspace(number: usize) -> WorkspaceName {
    WorkspaceName::new(&format!("workspace-{number}")).expect("a valid name")
}

/// Measures the memory of a view of all daemons.
pub fn members(size: &Size) -> anyhow::Result<Vec<Figure>> {
    let now = Instant::now();
    let view = || {
        let mut rng = SmallRng::seed_from_u64(1);
        // Each copy makes its own names, as each process does.
        let all: Vec<Identity> = (0..size.vms)
            .map(|n| identity(n, n % size.zones, &mut rng))
            .collect();
        let mut members = Members::new(all[0].clone(), now);
        let seeds: Vec<Seed> = all
            .iter()
            .map(|identity| Seed {
                name: identity.name.clone(),
                address: identity.address,
                zone: identity.zone.clone(),
                state: SeedState::Live,
            })
            .collect();
        members.apply_seeds(now, 1, &seeds);
        members
    };
    let bytes = copy_bytes(40, view)?;
    let mut one = view();
    let zone = super::world::zone_name(0);
    let live = run_us(|| {
        std::hint::black_box(one.live_in_zone(&zone));
    })?;
    let tick = run_us(|| {
        std::hint::black_box(one.tick(now));
    })?;
    let by = Driver::Daemons;
    Ok(vec![
        figure("membership memory", "bytes", by, bytes),
        figure("list of live daemons of the zone, CPU", "us", by, live),
        figure("membership tick, CPU", "us", by, tick),
    ])
}

/// Measures tickets: the issuer's ledger.
pub fn tickets() -> anyhow::Result<Vec<Figure>> {
    let limits = LedgerLimits::default();
    let start = Instant::now();
    let full = || {
        let mut ledger = Ledger::<Arc<str>>::new(limits);
        while ledger.issue(start).is_ok() {}
        ledger
    };
    let memory = copy_bytes(8, full)?;
    let mut ledger = Ledger::<Arc<str>>::new(limits);
    let answer: Arc<str> = Arc::from("{}");
    let now = Cell::new(start);
    let call = run_us(|| {
        now.set(now.get() + Duration::from_millis(50));
        let now = now.get();
        if let Ok(ticket) = ledger.issue(now) {
            ledger.begin(now, ticket);
            let _ = ledger.dispatch(now, ticket);
            ledger.finish_completed(ticket, Arc::clone(&answer), 2);
        }
    })?;
    Ok(vec![
        figure("full ledger without answers", "bytes", Driver::Fixed, memory),
        figure("one ticketed call, CPU", "us", Driver::Fixed, call),
    ])
}

/// Measures events: the buffer of the timeline.
pub fn events() -> anyhow::Result<Vec<Figure>> {
    let process = ProcessId { vm: vm_name(1), incarnation: Incarnation(1) };
    let server = ServerName::new("server-0-0-0001")?;
    let stage = StageName::new("draft")?;
    let record = |buffer: &mut EventBuffer, number: u64| {
        let subject = EventSubject::default()
            .with_request(RequestId(u128::from(number)))
            .with_epoch(7)
            .with_stage(stage.clone())
            .with_server(server.clone());
        let stamp = HlcTimestamp { unix_ms: number, counter: 0 };
        buffer.record(stamp, subject, EventKind::Dispatched { attempt: 0 });
    };
    let full = || {
        let mut buffer = EventBuffer::new(process.clone(), EVENTS_KEPT);
        (0..EVENTS_KEPT as u64).for_each(|n| record(&mut buffer, n));
        buffer
    };
    let memory = copy_bytes(4, full)?;
    let mut buffer = full();
    let mut number = 0;
    let one = run_us(|| {
        number += 1;
        record(&mut buffer, number);
    })?;
    Ok(vec![
        figure("full event buffer", "bytes", Driver::Fixed, memory),
        figure("one event, CPU", "us", Driver::Fixed, one),
    ])
}

/// Measures the list of suspects and its notices.
pub fn suspects() -> anyhow::Result<Vec<Figure>> {
    let now = Instant::now();
    let pipeline = PipelineName::new("pipeline-1")?;
    let caller = workspace(1);
    let hash = |number: usize| {
        ContentHash::of(&pipeline, &caller, &number.to_le_bytes())
    };
    let full = || {
        let mut suspects = Suspects::new();
        for number in 0..MAX_SUSPECTS {
            suspects.record_crash(now, hash(number), Sharing::Shared);
        }
        suspects
    };
    let memory = copy_bytes(8, full)?;
    let mut suspects = full();
    let notice = suspects.record_crash(now, hash(1), Sharing::Exclusive);
    let bytes = json_bytes(&notice, RPC_REQUEST_BYTES + RPC_ANSWER_BYTES);
    let apply = run_us(|| suspects.apply_notice(now, &notice))?;
    Ok(vec![
        figure("full list of suspects", "bytes", Driver::Fixed, memory),
        figure("one notice of a suspect", "bytes", Driver::Fixed, bytes),
        figure("one notice of a suspect, CPU", "us", Driver::Fixed, apply),
    ])
}

/// Measures orders to engines.
pub fn orders(size: &Size) -> anyhow::Result<Vec<Figure>> {
    let order = Order {
        fencing_token: 18_000,
        model_versions: vec![ModelVersionName::new("fold-1")?],
    };
    let framing = GET_REQUEST_BYTES + GET_ANSWER_BYTES;
    let bytes = 2.0 * json_bytes(&order, framing);
    let daemons: Vec<VmName> =
        (0..size.vms / size.zones).map(vm_name).collect();
    let server = ServerName::new("server-0-0-0001")?;
    let choose = run_us(|| {
        std::hint::black_box(sender_order(&server, &daemons));
    })?;
    Ok(vec![
        figure("one order and its answer", "bytes", Driver::Fixed, bytes),
        figure("order of senders, CPU", "us", Driver::ZoneDaemons, choose),
    ])
}

fn lease_bytes(ask: &LeaseRequest, key: &WorkspaceName) -> f64 {
    let message = LeaseMessage {
        home: ask.home.as_str(),
        holder: ask.holder.as_str(),
        workspace: key.as_str(),
        limit_requests: ask.limit_requests,
        units_requests: ask.units_requests,
        in_use_requests: ask.in_use_requests,
    };
    json_bytes(&message, RPC_REQUEST_BYTES + RPC_ANSWER_BYTES)
}

/// Measures limit leases: every workspace has an open request at one of
/// the holders.
pub fn limits(size: &Size) -> anyhow::Result<Vec<Figure>> {
    const LIMIT: u32 = 40;
    let now = Instant::now();
    let members: Arc<[VmName]> =
        (0..size.vms / size.zones).map(vm_name).collect();
    let keys: Vec<LimitKey> = (0..size.workspaces)
        .map(|n| LimitKey::of_workspace(workspace(n)))
        .collect();
    let me = members[0].clone();
    let holder = || {
        let mut holder = LeaseHolder::new(me.clone(), Arc::clone(&members));
        let mut asked = Vec::new();
        for key in &keys {
            let OpenOutcome::RequestLease(ask) = holder.open(now, key, LIMIT)
            else {
                continue;
            };
            let granted = LeaseResponse::Granted { units_requests: 1 };
            holder.apply_response(now, &ask, granted);
            holder.open(now, key, LIMIT);
            asked.push(ask);
        }
        (holder, asked)
    };
    let memory = copy_bytes(2, holder)?;
    let (mut held, asked) = holder();
    let later = now + RENEWAL_INTERVAL;
    let renewals = held.renewals(later).len();
    let renew = run_us(|| {
        std::hint::black_box(held.renewals(later));
    })?;
    let mut home = LeaseHome::new(now, me.clone(), Arc::clone(&members));
    let mine: Vec<&LeaseRequest> =
        asked.iter().filter(|ask| ask.home == me).collect();
    let lease = if mine.is_empty() {
        0.0
    } else {
        run_us(|| {
            for ask in &mine {
                std::hint::black_box(home.lease(now, ask));
            }
        })? / to_f64(mine.len() as u64)
    };
    let bytes = asked.first().map_or(0.0, |a| lease_bytes(a, &workspace(0)));
    let per_key = to_f64(keys.len() as u64);
    let fixed = Driver::Fixed;
    Ok(vec![
        figure(
            "leases memory, all in use",
            "bytes",
            Driver::Workspaces,
            memory,
        ),
        figure(
            "renewals a second, all in use",
            "messages/s",
            Driver::Workspaces,
            to_f64(renewals as u64),
        ),
        figure("one lease and its answer", "bytes", fixed, bytes),
        figure("one renewal at the holder, CPU", "us", fixed, renew / per_key),
        figure("one lease at the home, CPU", "us", fixed, lease),
    ])
}
