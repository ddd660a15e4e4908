//! Memory, messages and CPU time of single components: the membership view,
//! tickets, events, suspects, orders and limit leases.

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
    platform_version::PlatformVersion,
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
    measurement::{
        Driver, Figure, GET_REQUEST_BYTES, GET_RESPONSE_BYTES,
        RPC_REQUEST_BYTES, RPC_RESPONSE_BYTES, bytes_per_copy, cpu_us_per_run,
        figure, to_f64,
    },
    membership::{identity, vm_name},
    size::Size,
};

/// Events that a daemon keeps by default.
const EVENTS_KEPT: usize = 16_384;

/// An approximation of the `limits_lease` request between daemons. The size
/// computed from it is therefore an estimate.
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

/// Measures the membership view of all daemons.
pub fn measure_membership(size: &Size) -> anyhow::Result<Vec<Figure>> {
    let now = Instant::now();
    let create = || {
        let mut rng = SmallRng::seed_from_u64(1);
        // Each copy allocates its own names, as each process does.
        let identities: Vec<Identity> = (0..size.vms)
            .map(|n| identity(n, n % size.zones, &mut rng))
            .collect();
        let mut members = Members::new(identities[0].clone(), now);
        let seeds: Vec<Seed> = identities
            .iter()
            .map(|identity| Seed {
                name: identity.name.clone(),
                address: identity.address,
                zone: identity.zone.clone(),
                state: SeedState::Live,
            })
            .collect();
        members.apply_seeds(
            now,
            PlatformVersion { era: 1, number: 1 },
            &seeds,
        );
        members
    };
    let memory_bytes = bytes_per_copy(40, create)?;
    let mut members = create();
    let zone = super::membership::zone_name(0);
    let live_us = cpu_us_per_run(|| {
        std::hint::black_box(members.live_in_zone(&zone));
    })?;
    let tick_us = cpu_us_per_run(|| {
        std::hint::black_box(members.tick(now));
    })?;
    let by = Driver::Daemons;
    Ok(vec![
        figure("membership memory", "bytes", by, memory_bytes),
        figure("list of live daemons of the zone, CPU", "us", by, live_us),
        figure("membership tick, CPU", "us", by, tick_us),
    ])
}

/// Measures the ledger of a ticket issuer.
pub fn measure_tickets() -> anyhow::Result<Vec<Figure>> {
    let limits = LedgerLimits::default();
    let start = Instant::now();
    let create_full = || {
        let mut ledger = Ledger::<Arc<str>>::new(limits);
        while ledger.issue(start).is_ok() {}
        ledger
    };
    let memory_bytes = bytes_per_copy(8, create_full)?;
    let mut ledger = Ledger::<Arc<str>>::new(limits);
    let output: Arc<str> = Arc::from("{}");
    let now = Cell::new(start);
    let call_us = cpu_us_per_run(|| {
        now.set(now.get() + Duration::from_millis(50));
        let now = now.get();
        if let Ok(ticket) = ledger.issue(now) {
            ledger.begin(now, ticket);
            let _ = ledger.dispatch(now, ticket);
            ledger.finish_completed(ticket, Arc::clone(&output), 2);
        }
    })?;
    Ok(vec![
        figure(
            "full ledger without responses",
            "bytes",
            Driver::Fixed,
            memory_bytes,
        ),
        figure("one ticketed call, CPU", "us", Driver::Fixed, call_us),
    ])
}

/// Measures the event buffer of the timeline.
pub fn measure_events() -> anyhow::Result<Vec<Figure>> {
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
    let create_full = || {
        let mut buffer = EventBuffer::new(process.clone(), EVENTS_KEPT);
        (0..EVENTS_KEPT as u64).for_each(|n| record(&mut buffer, n));
        buffer
    };
    let memory_bytes = bytes_per_copy(4, create_full)?;
    let mut buffer = create_full();
    let mut number = 0;
    let record_us = cpu_us_per_run(|| {
        number += 1;
        record(&mut buffer, number);
    })?;
    Ok(vec![
        figure("full event buffer", "bytes", Driver::Fixed, memory_bytes),
        figure("one event, CPU", "us", Driver::Fixed, record_us),
    ])
}

/// Measures the list of suspected poison requests and its notices.
pub fn measure_suspects() -> anyhow::Result<Vec<Figure>> {
    let now = Instant::now();
    let pipeline = PipelineName::new("pipeline-1")?;
    let caller = workspace(1);
    let hash = |number: usize| {
        ContentHash::of(&pipeline, &caller, &number.to_le_bytes())
    };
    let create_full = || {
        let mut suspects = Suspects::new();
        for number in 0..MAX_SUSPECTS {
            suspects.record_crash(now, hash(number), Sharing::Shared);
        }
        suspects
    };
    let memory_bytes = bytes_per_copy(8, create_full)?;
    let mut suspects = create_full();
    let notice = suspects.record_crash(now, hash(1), Sharing::Exclusive);
    let notice_bytes =
        json_bytes(&notice, RPC_REQUEST_BYTES + RPC_RESPONSE_BYTES);
    let apply_us = cpu_us_per_run(|| suspects.apply_notice(now, &notice))?;
    Ok(vec![
        figure("full list of suspects", "bytes", Driver::Fixed, memory_bytes),
        figure(
            "one notice of a suspect",
            "bytes",
            Driver::Fixed,
            notice_bytes,
        ),
        figure("one notice of a suspect, CPU", "us", Driver::Fixed, apply_us),
    ])
}

/// Measures orders of model versions to engines.
pub fn measure_orders(size: &Size) -> anyhow::Result<Vec<Figure>> {
    let order = Order {
        fencing_token: 18_000,
        model_versions: vec![ModelVersionName::new("fold-1")?],
    };
    let framing = GET_REQUEST_BYTES + GET_RESPONSE_BYTES;
    let bytes = 2.0 * json_bytes(&order, framing);
    let daemons: Vec<VmName> =
        (0..size.vms / size.zones).map(vm_name).collect();
    let server = ServerName::new("server-0-0-0001")?;
    let choose_us = cpu_us_per_run(|| {
        std::hint::black_box(sender_order(&server, &daemons));
    })?;
    Ok(vec![
        figure("one order and its response", "bytes", Driver::Fixed, bytes),
        figure(
            "ranking of order senders, CPU",
            "us",
            Driver::ZoneDaemons,
            choose_us,
        ),
    ])
}

fn lease_bytes(request: &LeaseRequest, key: &WorkspaceName) -> f64 {
    let message = LeaseMessage {
        home: request.home.as_str(),
        holder: request.holder.as_str(),
        workspace: key.as_str(),
        limit_requests: request.limit_requests,
        units_requests: request.units_requests,
        in_use_requests: request.in_use_requests,
    };
    json_bytes(&message, RPC_REQUEST_BYTES + RPC_RESPONSE_BYTES)
}

/// Measures limit leases, which grant a daemon (the holder) part of a
/// workspace's limit of open requests from the daemon that keeps the limit (the
/// home), when every workspace has an open request at the
/// lease holder.
pub fn measure_limits(size: &Size) -> anyhow::Result<Vec<Figure>> {
    const LIMIT: u32 = 40;
    let now = Instant::now();
    let members: Arc<[VmName]> =
        (0..size.vms / size.zones).map(vm_name).collect();
    let keys: Vec<LimitKey> = (0..size.workspaces)
        .map(|n| LimitKey::of_workspace(workspace(n)))
        .collect();
    let local_name = members[0].clone();
    let create_holder = || {
        let mut holder =
            LeaseHolder::new(local_name.clone(), Arc::clone(&members));
        let mut requests = Vec::new();
        for key in &keys {
            let OpenOutcome::RequestLease(request) =
                holder.open(now, key, LIMIT)
            else {
                continue;
            };
            let granted = LeaseResponse::Granted { units_requests: 1 };
            holder.apply_response(now, &request, granted);
            holder.open(now, key, LIMIT);
            requests.push(request);
        }
        (holder, requests)
    };
    let memory_bytes = bytes_per_copy(2, create_holder)?;
    let (mut holder, requests) = create_holder();
    let later = now + RENEWAL_INTERVAL;
    let renewals = holder.renewals(later).len();
    let renewals_us = cpu_us_per_run(|| {
        std::hint::black_box(holder.renewals(later));
    })?;
    let mut home =
        LeaseHome::new(now, local_name.clone(), Arc::clone(&members));
    let own_requests: Vec<&LeaseRequest> =
        requests.iter().filter(|request| request.home == local_name).collect();
    let lease_us = if own_requests.is_empty() {
        0.0
    } else {
        cpu_us_per_run(|| {
            for request in &own_requests {
                std::hint::black_box(home.lease(now, request));
            }
        })? / to_f64(own_requests.len() as u64)
    };
    let bytes =
        requests.first().map_or(0.0, |a| lease_bytes(a, &workspace(0)));
    let key_count = to_f64(keys.len() as u64);
    let fixed = Driver::Fixed;
    Ok(vec![
        figure(
            "lease memory, all in use",
            "bytes",
            Driver::Workspaces,
            memory_bytes,
        ),
        figure(
            "renewals per second, all in use",
            "messages/s",
            Driver::Workspaces,
            to_f64(renewals as u64),
        ),
        figure("one lease request and its response", "bytes", fixed, bytes),
        figure(
            "one renewal at the holder, CPU",
            "us",
            fixed,
            renewals_us / key_count,
        ),
        figure("one lease at the home, CPU", "us", fixed, lease_us),
    ])
}
