//! Running the stages of one request.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::{
    collect::Home,
    config::ServiceWork,
    fetching::Fetch,
    placement::{Affinity, reading_time},
    stages::{Handle, StageEstimate, StagePlan},
};
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::{
    context::Gateway,
    dialect::Prompt,
    metrics::Metrics,
    peers::messages::{PIECES_PATH, PieceReply, PiecesReply, PiecesRequest},
    refusal::Refusal,
    request::{
        Ended,
        accept::Accepted,
        outgoing::choose_server,
        record::{Phase, Record},
    },
};

use super::duty::{self, Duty};

/// The time from the last stage to the first token without the reading of
/// the prompt: placing the request, fetching its inputs, and the wait for
/// the prompts before it.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(140);

/// The part of its slack that a stage with large results waits, in
/// hundredths. The rest covers estimates that are too short.
const USED_SLACK_HUNDREDTHS: u32 = 70;

/// Results from this size on are made only when they are needed.
const LARGE_RESULT_BYTES: u64 = 500_000;

/// Stages whose inputs are gone are done again this often for a request.
const MAX_RESTARTS: u32 = 2;

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
    maker_zones: Vec<Arc<str>>,
    transfer: Duration,
    zone: Arc<str>,
}

impl Prepared {
    fn new(gateway: &Rc<Gateway>) -> Prepared {
        Prepared {
            gateway: Rc::clone(gateway),
            results: RefCell::default(),
            last: Vec::new(),
            maker_zones: Vec::new(),
            transfer: Duration::ZERO,
            zone: Arc::clone(&gateway.board.zone),
        }
    }

    /// Returns the results that the request itself needs.
    #[must_use]
    pub fn results(&self) -> &[Handle] {
        &self.last
    }

    /// Returns the zone where the request runs best.
    #[must_use]
    pub fn zone(&self) -> &Arc<str> {
        &self.zone
    }

    /// Returns what a server in a zone has to fetch before it runs the
    /// request; `None` if it needs no results.
    #[must_use]
    pub fn fetch<'a>(&'a self, server_zone: &'a str) -> Option<Fetch<'a>> {
        (!self.last.is_empty()).then_some(Fetch {
            server_zone,
            maker_zones: &self.maker_zones,
            transfer: self.transfer,
        })
    }

    /// Returns whether results that the request needs were released.
    #[must_use]
    pub fn is_released(&self) -> bool {
        !self.last.is_empty() && self.results.borrow().is_empty()
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
    results: Result<Vec<Handle>, StageFailure>,
}

/// Why a stage brought no results.
struct StageFailure {
    /// An input was gone.
    inputs_gone: bool,
    /// How the request ends, unless the stage is done again.
    ended: Ended,
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
    let home = home(gateway, accepted);
    let mut running = FuturesUnordered::new();
    let mut restarts = 0;
    while !plan.is_complete() {
        for stage in plan.startable() {
            if !has_server(gateway, accepted, stage) {
                record.cause = Some(format!("stage {stage}: no server"));
                return Err(Refusal::NoServer.into());
            }
            if is_deferred(gateway, accepted, &plan, stage, &home) {
                continue;
            }
            plan.started(stage);
            record.phase = Phase::Stage(stage);
            let delay = start_delay(gateway, accepted, &plan, stage, &home);
            let (duty, order) = order(gateway, accepted, &plan, stage, &home);
            running.push(run_stage(gateway, accepted, delay, duty, order));
        }
        let Some(StageEnd { stage, results }) = running.next().await else {
            record.cause = Some("the stages wait for each other".to_owned());
            return Err(Refusal::StageFailed.into());
        };
        let results = match results {
            Ok(results) => results,
            Err(StageFailure { inputs_gone, ended }) => {
                restarts += 1;
                if inputs_gone && restarts <= MAX_RESTARTS {
                    prepared.release_spent(plan.restart(stage));
                    let again = is_on_time(gateway, accepted, &plan, &home);
                    log_inputs_gone(accepted, stage, again);
                    if again {
                        continue;
                    }
                }
                record.phase = Phase::Stage(stage);
                record.cause = Some(if inputs_gone {
                    format!("stage {stage}: an input is gone")
                } else {
                    format!("stage {stage}: {}", ended.refusal)
                });
                return Err(ended);
            }
        };
        prepared.hold(&results);
        plan.finished(stage, results);
        prepared.release_spent(plan.take_spent());
    }
    record.stages = Some(gateway.board.now().duration_since(started));
    prepared.last = plan.last_results();
    prepared.maker_zones = maker_zones(gateway, &prepared.last);
    prepared.transfer = transfer_time(accepted, &plan);
    prepared.zone = results_zone(gateway, accepted, &home, &prepared.last);
    Ok(prepared)
}

fn maker_zones(gateway: &Gateway, results: &[Handle]) -> Vec<Arc<str>> {
    let servers = gateway.board.servers.borrow();
    let mut zones: Vec<Arc<str>> = results
        .iter()
        .filter_map(|result| servers.get(&result.maker))
        .map(|maker| Arc::clone(&maker.zone))
        .collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// Returns how long the results for the request take on the links.
fn transfer_time(accepted: &Accepted, plan: &StagePlan<'_>) -> Duration {
    let time = |stage: usize| {
        let spec = &accepted.route.stages[stage];
        let service = accepted.config.services.get(&spec.service)?;
        let ServiceWork::Pieces(work) = &service.work else { return None };
        let bytes = spec.result_bytes * u64::from(plan.pieces(stage));
        Some(Duration::from_millis(bytes / work.link_bytes_per_ms.max(1)))
    };
    plan.last_stages().filter_map(time).sum()
}

/// Returns where the results are needed: in the zone of the server that has
/// read a long prefix, else best in this daemon's zone.
fn home(gateway: &Gateway, accepted: &Accepted) -> Home {
    let own = &gateway.board.zone;
    let prompt = accepted.caller.prompt.as_ref();
    let bound = prompt
        .and_then(Prompt::shared_prefix)
        .is_some_and(Affinity::outweighs_distance);
    let server = choose_server(gateway, accepted, own, &[]);
    match server {
        Some(server) if bound => Home::Fixed(Arc::clone(&server.zone)),
        Some(server) => Home::Preferred(Arc::clone(&server.zone)),
        None => Home::Preferred(Arc::clone(own)),
    }
}

/// Returns the zone where the request runs best: where large results lie, if
/// it can run anywhere.
fn results_zone(
    gateway: &Gateway,
    accepted: &Accepted,
    home: &Home,
    results: &[Handle],
) -> Arc<str> {
    let large = accepted
        .route
        .stages
        .iter()
        .any(|stage| stage.result_bytes >= LARGE_RESULT_BYTES);
    if matches!(home, Home::Fixed(_)) || !large {
        return Arc::clone(home.zone());
    }
    let servers = gateway.board.servers.borrow();
    results.first().and_then(|result| servers.get(&result.maker)).map_or_else(
        || Arc::clone(home.zone()),
        |maker| Arc::clone(&maker.zone),
    )
}

fn log_inputs_gone(accepted: &Accepted, stage: usize, again: bool) {
    log::info!(
        "stages: id={} stage={stage} outcome=inputs_gone again={again}",
        accepted.caller.attempt
    );
}

/// Returns whether a server is listed that can do a stage.
fn has_server(gateway: &Gateway, accepted: &Accepted, stage: usize) -> bool {
    let service = &accepted.route.stages[stage].service;
    let servers = gateway.board.servers.borrow();
    let listed = servers.ready(service).next().is_some();
    if !listed {
        log::info!(
            "stages: id={} stage={stage} service={service} outcome=no_server",
            accepted.caller.attempt,
        );
    }
    listed
}

/// Returns whether a request can still meet its target.
fn is_on_time(
    gateway: &Gateway,
    accepted: &Accepted,
    plan: &StagePlan<'_>,
    home: &Home,
) -> bool {
    let remaining = plan
        .remaining(&|service| estimate(gateway, accepted, service, home))
        + first_token_time(accepted);
    gateway.board.now() + remaining <= accepted.target
}

/// Decides whether a stage waits until all others are done. A request that
/// misses its target would hold large results, and the room that newer
/// requests need, for as long as its other stages wait.
fn is_deferred(
    gateway: &Gateway,
    accepted: &Accepted,
    plan: &StagePlan<'_>,
    stage: usize,
    home: &Home,
) -> bool {
    let estimate =
        |service: &Arc<str>| estimate(gateway, accepted, service, home);
    let large =
        accepted.route.stages[stage].result_bytes >= LARGE_RESULT_BYTES;
    large
        && !is_on_time(gateway, accepted, plan, home)
        && plan.waits_for_others(stage)
        && !plan.slack(stage, &estimate).is_zero()
}

/// Returns how long a stage waits before it starts, so that large results
/// are ready just when the other stages are.
fn start_delay(
    gateway: &Gateway,
    accepted: &Accepted,
    plan: &StagePlan<'_>,
    stage: usize,
    home: &Home,
) -> Duration {
    if accepted.route.stages[stage].result_bytes < LARGE_RESULT_BYTES {
        return Duration::ZERO;
    }
    let slack = plan
        .slack(stage, &|service| estimate(gateway, accepted, service, home));
    slack * USED_SLACK_HUNDREDTHS / 100
}

fn order(
    gateway: &Gateway,
    accepted: &Accepted,
    plan: &StagePlan<'_>,
    stage: usize,
    home: &Home,
) -> (Duty, PiecesRequest) {
    let now = gateway.board.now();
    let spec = &accepted.route.stages[stage];
    let after = plan.time_after(stage, &|service| {
        estimate(gateway, accepted, service, home)
    });
    let due = accepted.target.checked_sub(after + first_token_time(accepted));
    let due_ms = due.map_or(0, |due| match due.checked_duration_since(now) {
        Some(ahead) => millis(ahead),
        None => -millis(now.duration_since(due)),
    });
    let left = accepted
        .time_to_head(now)
        .saturating_sub(after + first_token_time(accepted));
    let inputs: Vec<Arc<str>> = plan
        .inputs(stage)
        .into_iter()
        .map(|handle| handle.reference)
        .collect();
    let first = spec.after.is_empty();
    let (home, crossing_bytes) =
        best_home(gateway, accepted, plan, stage, home);
    let home = &home;
    let bytes = spec.result_bytes * u64::from(plan.pieces(stage));
    let duty = duty::for_pieces(gateway, &spec.service, home.zone(), bytes);
    let request = PiecesRequest {
        service: Arc::clone(&spec.service),
        zone: duty.zone.clone(),
        home: Arc::clone(home.zone()),
        movable: matches!(home, Home::Preferred(_)),
        crossing_bytes,
        attempt: Arc::clone(&accepted.caller.attempt),
        stage,
        pieces: plan.pieces(stage),
        key: accepted.caller.piece_key.clone().filter(|_| first),
        inputs,
        due_ms,
        left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        progress: plan.pieces_made(),
        rank: accepted.rank,
        result_bytes: spec.result_bytes,
    };
    (duty, request)
}

/// Returns where the pieces of a stage are best made, and how many bytes of
/// each cross zones otherwise: where their inputs lie if these are larger than
/// the result, else where the request runs.
fn best_home(
    gateway: &Gateway,
    accepted: &Accepted,
    plan: &StagePlan<'_>,
    stage: usize,
    home: &Home,
) -> (Home, u64) {
    let specs = &accepted.route.stages;
    let spec = &specs[stage];
    let input_bytes: u64 = spec
        .after
        .iter()
        .map(|&before| {
            specs[before].result_bytes * u64::from(plan.pieces(before))
        })
        .sum();
    let servers = gateway.board.servers.borrow();
    let maker = plan
        .inputs(stage)
        .first()
        .and_then(|input| servers.get(&input.maker).cloned());
    match maker {
        Some(maker) if input_bytes > spec.result_bytes => {
            (Home::Fixed(Arc::clone(&maker.zone)), input_bytes)
        }
        _ => (home.clone(), spec.result_bytes),
    }
}

/// Returns the time from the last stage to the first token, if the shared
/// prefix of the prompt is cached.
fn first_token_time(accepted: &Accepted) -> Duration {
    let prompt = accepted.caller.prompt.as_ref();
    let own_tokens = prompt.map_or(0, Prompt::own_tokens);
    FIRST_TOKEN_TIME + reading_time(own_tokens)
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Estimates a stage from its published cost and the last wait that its
/// collector has told.
fn estimate(
    gateway: &Gateway,
    accepted: &Accepted,
    service: &Arc<str>,
    home: &Home,
) -> StageEstimate {
    let work = accepted.config.services.get(service).map(|s| &s.work);
    let Some(ServiceWork::Pieces(spec)) = work else {
        return StageEstimate::default();
    };
    let duty = duty::for_pieces(gateway, service, home.zone(), 0);
    let now = gateway.board.now();
    let waits = gateway.board.waits.borrow();
    let wait = waits.wait(now, service, &duty.wait_zone());
    StageEstimate { wait, call: spec.call, item: spec.item }
}

async fn run_stage(
    gateway: &Rc<Gateway>,
    accepted: &Accepted,
    delay: Duration,
    duty: Duty,
    mut order: PiecesRequest,
) -> StageEnd {
    let stage = order.stage;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
        order.due_ms -= millis(delay);
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        order.left_ms = order.left_ms.saturating_sub(delay_ms);
    }
    let reply = ask(gateway, accepted, &duty, &order).await;
    let wait = Duration::from_millis(reply.wait_ms);
    let now = gateway.board.now();
    gateway.board.waits.borrow_mut().heard(
        now,
        &order.service,
        &duty.wait_zone(),
        wait,
    );
    StageEnd { stage, results: results_of(gateway, &order, reply, wait) }
}

fn results_of(
    gateway: &Gateway,
    order: &PiecesRequest,
    reply: PiecesReply,
    wait: Duration,
) -> Result<Vec<Handle>, StageFailure> {
    let wanted = usize::try_from(order.pieces).unwrap_or(usize::MAX);
    let mut made = Vec::new();
    let inputs_gone = reply.pieces.contains(&PieceReply::InputGone);
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
            log::info!(
                "stages: id={} stage={} service={} pieces={} outcome={} \
                 wait_ms={} due_ms={} left_ms={} rank={}",
                order.attempt,
                order.stage,
                order.service,
                order.pieces,
                refusal.label(),
                wait.as_millis(),
                order.due_ms,
                order.left_ms,
                order.rank,
            );
            gateway.collector.release_later(made);
            let ended = Ended { refusal, retry_after: Some(wait) };
            Err(StageFailure { inputs_gone, ended })
        }
    }
}

/// Asks the collector; if it does not answer, the next one, and at last this
/// daemon itself. Pieces may be made again.
async fn ask(
    gateway: &Rc<Gateway>,
    accepted: &Accepted,
    duty: &Duty,
    order: &PiecesRequest,
) -> PiecesReply {
    for _ in 0..MAX_COLLECTORS {
        let Some(holder) = duty.other_holder(gateway) else { break };
        let left = accepted.time_to_head(gateway.board.now());
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
