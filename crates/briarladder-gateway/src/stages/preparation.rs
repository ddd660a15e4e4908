//! Running the stages of one request.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::{
    config::{PieceSpec, ServiceWork},
    peers::Heartbeat,
    placement::Distance,
    stages::{Handle, StagePlan},
};
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::{
    context::Gateway,
    metrics::Metrics,
    peers::messages::{PIECES_PATH, PieceReply, PiecesReply, PiecesRequest},
    refusal::Refusal,
    request::{Ended, accept::Accepted, record::Record},
};

use super::collector::duty;

/// The time from the last stage to the first token: placing the request,
/// fetching its inputs and reading a prompt whose prefix is cached.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(200);

/// What it counts for to use servers of another region.
const FAR_COST: Duration = Duration::from_millis(80);

/// What it counts for to use servers of another zone of the region.
const REGION_COST: Duration = Duration::from_millis(20);

/// What it counts for that a megabyte of results crosses zones.
const CROSSING_COST_PER_MB: Duration = Duration::from_millis(15);

/// A collector that stops answering is replaced this often for one stage.
const MAX_COLLECTORS: usize = 2;

/// Beyond the time of the request, an answer of a collector may take this
/// much longer, so that its own judgement arrives first.
const COLLECTOR_SLACK: Duration = Duration::from_millis(50);

/// The results that a request holds; they are released when it is dropped.
pub struct Prepared {
    gateway: Rc<Gateway>,
    results: RefCell<Vec<Handle>>,
    last: Vec<Handle>,
}

impl Prepared {
    fn new(gateway: &Rc<Gateway>) -> Prepared {
        Prepared {
            gateway: Rc::clone(gateway),
            results: RefCell::default(),
            last: Vec::new(),
        }
    }

    /// Returns the results that the request itself needs.
    #[must_use]
    pub fn results(&self) -> &[Handle] {
        &self.last
    }

    /// Releases all results, once the request has used them.
    pub fn release(&self) {
        let results = self.results.take();
        self.gateway.collector.release_later(results);
    }

    fn hold(&self, results: &[Handle]) {
        self.results.borrow_mut().extend_from_slice(results);
    }

    fn release_spent(&self, spent: Vec<Handle>) {
        self.results.borrow_mut().retain(|held| !spent.contains(held));
        self.gateway.collector.release_later(spent);
    }
}

impl Drop for Prepared {
    fn drop(&mut self) {
        self.release();
    }
}

/// A stage that was run.
struct StageEnd {
    stage: usize,
    results: Result<Vec<Handle>, Ended>,
}

/// Runs all stages of a request.
///
/// # Errors
///
/// If a stage can't be done in time or fails. The request itself has not run
/// then.
pub async fn run(
    gateway: &Rc<Gateway>,
    accepted: &Accepted,
    record: &mut Record,
) -> Result<Prepared, Ended> {
    let mut prepared = Prepared::new(gateway);
    let specs = &accepted.route.stages;
    if specs.is_empty() {
        return Ok(prepared);
    }
    let started = gateway.board.now();
    let plan = StagePlan::new(specs, &accepted.caller.pieces);
    let mut plan = plan.map_err(|error| {
        record.cause = Some(error.to_string());
        Refusal::Malformed
    })?;
    let mut running = FuturesUnordered::new();
    while !plan.is_complete() {
        for stage in plan.startable() {
            plan.started(stage);
            let order = order(gateway, accepted, &plan, stage);
            running.push(run_stage(gateway, accepted, order));
        }
        let Some(StageEnd { stage, results }) = running.next().await else {
            record.cause = Some("the stages wait for each other".to_owned());
            return Err(Refusal::StageFailed.into());
        };
        let results = results.inspect_err(|ended| {
            record.cause = Some(format!("stage {stage}: {}", ended.refusal));
        })?;
        prepared.hold(&results);
        plan.finished(stage, results);
        prepared.release_spent(plan.take_spent());
    }
    record.stages = Some(gateway.board.now().duration_since(started));
    prepared.last = plan.last_results();
    Ok(prepared)
}

fn order(
    gateway: &Gateway,
    accepted: &Accepted,
    plan: &StagePlan<'_>,
    stage: usize,
) -> PiecesRequest {
    let now = gateway.board.now();
    let spec = &accepted.route.stages[stage];
    let after =
        plan.time_after(stage, &|service| piece_spec(accepted, service));
    let due = accepted.target.checked_sub(after + FIRST_TOKEN_TIME);
    let due_ms = due.map_or(0, |due| match due.checked_duration_since(now) {
        Some(ahead) => millis(ahead),
        None => -millis(now.duration_since(due)),
    });
    let left = accepted.time_left(now).saturating_sub(after);
    let inputs: Vec<Arc<str>> = plan
        .inputs(stage)
        .into_iter()
        .map(|handle| handle.reference)
        .collect();
    let first = spec.after.is_empty();
    PiecesRequest {
        service: Arc::clone(&spec.service),
        zone: choose_zone(
            gateway,
            spec.result_bytes,
            plan.pieces(stage),
            &spec.service,
        ),
        attempt: Arc::clone(&accepted.caller.attempt),
        stage,
        pieces: plan.pieces(stage),
        key: accepted.caller.piece_key.clone().filter(|_| first),
        inputs,
        due_ms,
        left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        rank: accepted.rank,
        result_bytes: spec.result_bytes,
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

fn piece_spec(accepted: &Accepted, service: &str) -> Option<PieceSpec> {
    match accepted.config.services.get(service)?.work {
        ServiceWork::Pieces(spec) => Some(spec),
        _ => None,
    }
}

/// Chooses the zone whose servers make the pieces: this daemon's own, where
/// the request itself will run, unless another is clearly less loaded.
fn choose_zone(
    gateway: &Gateway,
    result_bytes: u64,
    pieces: u32,
    service: &Arc<str>,
) -> Arc<str> {
    let board = &gateway.board;
    let now = board.now();
    let servers = board.servers.borrow();
    let waits = board.waits.borrow();
    let placement = board.placement.borrow();
    let megabytes = result_bytes * u64::from(pieces) / 1_000_000;
    let crossing =
        CROSSING_COST_PER_MB * u32::try_from(megabytes).unwrap_or(u32::MAX);
    servers
        .ready(service)
        .map(|server| &server.zone)
        .min_by_key(|zone| {
            let distance = match placement.distance(&board.zone, zone) {
                Distance::Zone => Duration::ZERO,
                Distance::Region => REGION_COST + crossing,
                Distance::Far => FAR_COST + crossing,
            };
            waits.wait(now, service, zone) + distance
        })
        .map_or_else(|| Arc::clone(&board.zone), Arc::clone)
}

async fn run_stage(
    gateway: &Rc<Gateway>,
    accepted: &Accepted,
    order: PiecesRequest,
) -> StageEnd {
    let stage = order.stage;
    let reply = ask(gateway, accepted, &order).await;
    let wait = Duration::from_millis(reply.wait_ms);
    let now = gateway.board.now();
    gateway.board.waits.borrow_mut().heard(
        now,
        &order.service,
        &order.zone,
        wait,
    );
    StageEnd { stage, results: results_of(gateway, &order, reply, wait) }
}

fn results_of(
    gateway: &Gateway,
    order: &PiecesRequest,
    reply: PiecesReply,
    wait: Duration,
) -> Result<Vec<Handle>, Ended> {
    let wanted = usize::try_from(order.pieces).unwrap_or(usize::MAX);
    let mut made = Vec::new();
    let mut refusal =
        (reply.pieces.len() != wanted).then_some(Refusal::StageFailed);
    for piece in reply.pieces {
        match piece {
            PieceReply::Made { reference, maker } => {
                made.push(Handle { reference, maker });
            }
            PieceReply::Late => refusal = Some(Refusal::StagesLate),
            PieceReply::InputGone | PieceReply::Failed => {
                refusal.get_or_insert(Refusal::StageFailed);
            }
        }
    }
    match refusal {
        None => Ok(made),
        Some(refusal) => {
            Metrics::count(
                &gateway.metrics.pieces,
                &order.service,
                refusal.label(),
            );
            gateway.collector.release_later(made);
            Err(Ended { refusal, retry_after: Some(wait) })
        }
    }
}

/// Asks the collector of the zone; if it does not answer, the next one, and
/// at last this daemon itself. Pieces may be made again.
async fn ask(
    gateway: &Rc<Gateway>,
    accepted: &Accepted,
    order: &PiecesRequest,
) -> PiecesReply {
    for _ in 0..MAX_COLLECTORS {
        let Some(holder) = collector_of(gateway, order) else { break };
        let left = accepted.time_left(gateway.board.now());
        let reply = gateway
            .peers
            .call(holder.address, PIECES_PATH, order, left + COLLECTOR_SLACK)
            .await;
        match reply {
            Ok(reply) => return reply,
            Err(error) => {
                log::info!(
                    "stages: id={} stage={} collector={} failed: {error}",
                    order.attempt,
                    order.stage,
                    holder.name
                );
                let now = gateway.board.now();
                let mut peers = gateway.board.peers.borrow_mut();
                peers.unreachable(now, &holder.name);
            }
        }
    }
    gateway.collector.collect(order.clone()).await
}

/// Returns the daemon that collects for a zone, unless it is this one.
fn collector_of(
    gateway: &Gateway,
    order: &PiecesRequest,
) -> Option<Heartbeat> {
    let now = gateway.board.now();
    let peers = gateway.board.peers.borrow();
    let duty = duty(&order.service, &order.zone);
    let holder = peers.duty_holder(now, &duty, &order.zone)?;
    (holder.name != gateway.vm).then(|| holder.clone())
}
