//! Runs the stages of one request at a coordinator.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::{
    batching::ZoneAffinity,
    cells::{Cell, CellName},
    config::ServiceWork,
    placement::{Affinity, prefill_time},
    stages::{ResultHandle, StagePlan},
};

use crate::{
    context::Gateway,
    dialect::Prompt,
    peers::{
        client::PeerError,
        messages::{
            REGIONAL_STAGES_PATH, RegionalStagesRequest, STAGES_PATH,
            StagesOutcome, StagesRequest, StagesResponse,
        },
    },
    refusal::Refusal,
    request::{
        RequestRefusal,
        accept::AcceptedRequest,
        outgoing::choose_server,
        record::{Phase, RequestRecord},
        regions::no_server_in_regions,
    },
};

use super::{
    cells::{self, CellRequirements},
    plan_run::LARGE_RESULT_BYTES,
    prepared::{JobRef, PreparedInputs, StageOutput},
};

/// The expected time from the last stage to the first token, without the
/// prefill of the request's own prompt: placing the request, fetching its
/// inputs, and the prefill of the prompts before it.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(140);

/// The number of coordinators that one request tries, if they stop responding
/// or have handed their duty over.
const MAX_COORDINATORS: usize = 3;

/// A backlog takes this many times as long to clear as its own work, since new
/// requests arrive meanwhile.
const BACKLOG_CLEARING_FACTOR: u32 = 3;

/// A coordinator may respond this much after the request's deadline, so that
/// its own refusal arrives before the timeout.
const COORDINATOR_SLACK: Duration = Duration::from_millis(50);

/// Runs all stages of a request.
///
/// # Errors
///
/// If a stage cannot be completed in time or fails. The request itself has not
/// run in that case.
pub async fn run(
    gateway: &Rc<Gateway>,
    accepted: &AcceptedRequest,
    record: &mut RequestRecord,
) -> Result<PreparedInputs, RequestRefusal> {
    let stages = &accepted.route.stages;
    if stages.is_empty() {
        return Ok(PreparedInputs::empty(gateway));
    }
    let plan = StagePlan::new(stages, &accepted.caller.piece_counts);
    let plan = plan.map_err(|error| {
        record.cause = Some(error.to_string());
        Refusal::Malformed
    })?;
    let started_at = gateway.blackboard.now();
    record.phase = Phase::Stages;
    let affinity = zone_affinity(gateway, accepted);
    let (job, response) =
        request_stages(gateway, accepted, &plan, &affinity, record).await?;
    let wait =
        Duration::from_millis(response.wait_ms) * BACKLOG_CLEARING_FACTOR;
    let results: Vec<ResultHandle> = match response.outcome {
        StagesOutcome::Done { makers, results, .. } => results
            .into_iter()
            .filter_map(|result| {
                let producer = Arc::clone(makers.get(result.maker)?);
                Some(ResultHandle { reference: result.reference, producer })
            })
            .collect(),
        StagesOutcome::Late | StagesOutcome::Moved { .. } => {
            return Err(RequestRefusal {
                refusal: Refusal::StagesLate,
                retry_after: Some(wait),
            });
        }
        StagesOutcome::Failed { stage, inputs_gone } => {
            let cause = if inputs_gone {
                "an input no longer exists"
            } else {
                "failed"
            };
            record.cause = Some(format!("stage {stage}: {cause}"));
            return Err(RequestRefusal {
                refusal: Refusal::StageFailed,
                retry_after: Some(wait),
            });
        }
    };
    record.stages_time =
        Some(gateway.blackboard.now().duration_since(started_at));
    let zone = results_zone(gateway, accepted, &affinity, &results);
    let transfer_time = transfer_time(accepted, &plan);
    let output = StageOutput { job, results, transfer_time };
    Ok(PreparedInputs::new(gateway, output, zone))
}

/// Asks the coordinator to run the stages. If it does not respond, asks the
/// next one, and finally runs them on this daemon. If a cell cannot run them in
/// time, asks another one that is expected to. Pieces may be produced more than
/// once.
async fn request_stages(
    gateway: &Rc<Gateway>,
    accepted: &AcceptedRequest,
    plan: &StagePlan<'_>,
    affinity: &ZoneAffinity,
    record: &mut RequestRecord,
) -> Result<(JobRef, StagesResponse), RequestRefusal> {
    let blackboard = &gateway.blackboard;
    let mut moved_by = None;
    let mut refusals = CellRefusals::default();
    for _ in 0..MAX_COORDINATORS {
        let cell = select_cell(gateway, accepted, plan, affinity, record)?;
        if let Some(refusal) = refusals.take_if_refused_by(&cell) {
            return Ok(refusal);
        }
        let Some(holder) = cells::coordinator_of(blackboard, &cell) else {
            break;
        };
        record_sent(gateway, accepted, plan, &cell);
        if holder.name == gateway.vm {
            let local =
                run_locally(gateway, accepted, cell.clone(), affinity, record)
                    .await;
            match local.1.outcome {
                StagesOutcome::Moved { by, .. } => moved_by = Some(by),
                StagesOutcome::Late => {
                    record_refused(gateway, accepted, plan, &cell, &local.1);
                    refusals.push(cell, local);
                }
                _ => return Ok(local),
            }
            continue;
        }
        // Logged as the cause if the caller disconnects meanwhile.
        record.cause = Some(format!(
            "waiting for stages of cell {} at {}",
            CellName(&cell),
            holder.name
        ));
        let mut request =
            stages_request(gateway, accepted, cell.clone(), affinity);
        request.moved_by = moved_by.take();
        let time_left = accepted.time_to_head_deadline(blackboard.now())
            + COORDINATOR_SLACK;
        let pending =
            call_coordinator(gateway, holder.address, &request, time_left);
        let response: Result<StagesResponse, String> = tokio::select! {
            response = pending => response.map_err(|error| error.to_string()),
            () = gateway
                .watchdog
                .wait_until_lost(&gateway.peers, holder.address) =>
            {
                Err("it does not respond to pings".to_owned())
            }
        };
        let mut peers = blackboard.peers.borrow_mut();
        let response = match response {
            Ok(response) => response,
            Err(cause) => {
                log::info!(
                    "stages: id={} coordinator={} failed: {cause}",
                    accepted.caller.attempt,
                    holder.name
                );
                peers.mark_unreachable(blackboard.now(), &holder.name);
                continue;
            }
        };
        if let StagesOutcome::Moved { holder, by } = response.outcome {
            peers.merge(blackboard.now(), std::slice::from_ref(&by));
            peers.mark_reachable(blackboard.now(), &holder);
            moved_by = Some(by);
            continue;
        }
        let wait_ms = u32::try_from(response.wait_ms).unwrap_or(u32::MAX);
        peers.record_stage_wait(blackboard.now(), &holder.name, wait_ms);
        drop(peers);
        record.cause = None;
        let job = job_ref(&response, Some(holder.address));
        if let StagesOutcome::Late = response.outcome {
            record_refused(gateway, accepted, plan, &cell, &response);
            refusals.push(cell, (job, response));
            continue;
        }
        return Ok((job, response));
    }
    if let Some(refusal) = refusals.take_last() {
        return Ok(refusal);
    }
    let cell = select_cell(gateway, accepted, plan, affinity, record)?;
    Ok(run_locally(gateway, accepted, cell, affinity, record).await)
}

/// The cells that cannot run the stages of a request in time, with the
/// responses of their coordinators.
#[derive(Default)]
struct CellRefusals(Vec<(Cell, (JobRef, StagesResponse))>);

impl CellRefusals {
    fn push(&mut self, cell: Cell, response: (JobRef, StagesResponse)) {
        self.0.push((cell, response));
    }

    /// Returns the response of a cell if it has refused the request: no other
    /// cell is expected to run the stages sooner.
    fn take_if_refused_by(
        &mut self,
        cell: &Cell,
    ) -> Option<(JobRef, StagesResponse)> {
        let at = self.0.iter().position(|(refused, _)| refused == cell)?;
        Some(self.0.swap_remove(at).1)
    }

    fn take_last(&mut self) -> Option<(JobRef, StagesResponse)> {
        self.0.pop().map(|(_, response)| response)
    }
}

/// Records that a cell cannot run the stages of a request in time.
fn record_refused(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    plan: &StagePlan<'_>,
    cell: &Cell,
    response: &StagesResponse,
) {
    let now = gateway.blackboard.now();
    let wait = Duration::from_millis(response.wait_ms);
    log::info!(
        "stages: id={} cell={} outcome=refused_by_cell wait_ms={}",
        accepted.caller.attempt,
        CellName(cell),
        response.wait_ms,
    );
    let services = used_services(accepted, plan);
    let mut stage_waits = gateway.blackboard.stage_waits.borrow_mut();
    stage_waits.record_refused(now, cell, services, wait);
}

/// Records that the stages of a request are sent to a cell.
fn record_sent(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    plan: &StagePlan<'_>,
    cell: &Cell,
) {
    for (stage, spec) in accepted.route.stages.iter().enumerate() {
        let service = accepted.config.services.get(&spec.service);
        if let Some(ServiceWork::Pieces(work)) = service.map(|s| &s.work) {
            let pieces = plan.pieces(stage);
            let blackboard = &gateway.blackboard;
            cells::record_sent(blackboard, cell, &spec.service, pieces, work);
        }
    }
}

/// Iterates over the services that a request needs.
fn used_services<'a>(
    accepted: &'a AcceptedRequest,
    plan: &'a StagePlan<'_>,
) -> impl Iterator<Item = &'a Arc<str>> {
    let stages = accepted.route.stages.iter().enumerate();
    stages
        .filter(|&(stage, _)| plan.pieces(stage) > 0)
        .map(|(_, spec)| &spec.service)
}

async fn call_coordinator(
    gateway: &Gateway,
    address: SocketAddr,
    request: &StagesRequest,
    timeout: Duration,
) -> Result<StagesResponse, PeerError> {
    let peers = &gateway.peers;
    match RegionalStagesRequest::new(request) {
        Some(message) => {
            let path = REGIONAL_STAGES_PATH;
            peers.call(address, path, &message, timeout).await
        }
        None => peers.call(address, STAGES_PATH, request, timeout).await,
    }
}

/// Runs the stages with this daemon as their coordinator.
async fn run_locally(
    gateway: &Rc<Gateway>,
    accepted: &AcceptedRequest,
    cell: Cell,
    affinity: &ZoneAffinity,
    record: &mut RequestRecord,
) -> (JobRef, StagesResponse) {
    record.cause = Some(format!(
        "waiting for stages of cell {} at this daemon",
        CellName(&cell)
    ));
    let request = stages_request(gateway, accepted, cell, affinity);
    let response = gateway.coordinator.run_stages(request).await;
    record.cause = None;
    (job_ref(&response, None), response)
}

fn job_ref(
    response: &StagesResponse,
    coordinator: Option<SocketAddr>,
) -> JobRef {
    let number = match response.outcome {
        StagesOutcome::Done { job, .. } => job,
        _ => 0,
    };
    JobRef { coordinator, number }
}

/// Returns the cell that is to run the stages.
fn select_cell(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    plan: &StagePlan<'_>,
    affinity: &ZoneAffinity,
    record: &mut RequestRecord,
) -> Result<Cell, RequestRefusal> {
    let stages = &accepted.route.stages;
    let requirements = CellRequirements {
        services: used_services(accepted, plan).collect(),
        home_zone: affinity.zone(),
        result_bytes: plan
            .final_stages()
            .map(|stage| {
                stages[stage].result_bytes * u64::from(plan.pieces(stage))
            })
            .sum(),
        allowed_regions: &accepted.allowed_regions,
    };
    cells::choose_cell(gateway, &requirements).ok_or_else(|| {
        record.cause = Some(log_no_server(gateway, accepted));
        if accepted.allowed_regions.is_any() {
            return Refusal::NoServer.into();
        }
        no_server_in_regions(&gateway.blackboard, accepted)
    })
}

/// Logs the first stage whose service has no available server, and returns a
/// description of it.
fn log_no_server(gateway: &Gateway, accepted: &AcceptedRequest) -> String {
    let blackboard = &gateway.blackboard;
    let servers = blackboard.servers.borrow();
    let mut stages = accepted.route.stages.iter().enumerate();
    let unavailable = stages.find(|(_, spec)| {
        let mut ready = servers.ready_in_service(&spec.service);
        ready.all(|server| blackboard.is_evacuated(server))
    });
    let Some((stage, spec)) = unavailable else {
        return "no cell has a server for each stage".to_owned();
    };
    log::info!(
        "stages: id={} stage={stage} service={} outcome=no_server",
        accepted.caller.attempt,
        spec.service,
    );
    format!("stage {stage}: no available server")
}

fn stages_request(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    cell: Cell,
    affinity: &ZoneAffinity,
) -> StagesRequest {
    let now = gateway.blackboard.now();
    let first_token_time = first_token_time(accepted);
    let target =
        accepted.target_at.checked_sub(first_token_time).unwrap_or(now);
    let time_left =
        accepted.time_to_head_deadline(now).saturating_sub(first_token_time);
    StagesRequest {
        cell,
        moved_by: None,
        attempt: Arc::clone(&accepted.caller.attempt),
        stages: accepted.route.stages.clone(),
        pieces: accepted.caller.piece_counts.clone(),
        key: accepted.caller.piece_key.clone(),
        home: Arc::clone(affinity.zone()),
        movable: matches!(affinity, ZoneAffinity::Weak(_)),
        rank: accepted.queue_priority,
        target_ms: match target.checked_duration_since(now) {
            Some(ahead) => millis(ahead),
            None => -millis(now.duration_since(target)),
        },
        left_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the transfer time on the network links of the results that the
/// request needs.
fn transfer_time(
    accepted: &AcceptedRequest,
    plan: &StagePlan<'_>,
) -> Duration {
    let time = |stage: usize| {
        let spec = &accepted.route.stages[stage];
        let service = accepted.config.services.get(&spec.service)?;
        let ServiceWork::Pieces(work) = &service.work else { return None };
        let bytes = spec.result_bytes * u64::from(plan.pieces(stage));
        Some(Duration::from_millis(bytes / work.link_bytes_per_ms.max(1)))
    };
    plan.final_stages().filter_map(time).sum()
}

/// Returns where the results are needed: in the zone of the server that has a
/// long prefix of the prompt cached, else preferably in this daemon's zone.
fn zone_affinity(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
) -> ZoneAffinity {
    let own_zone = &gateway.blackboard.zone;
    let prompt = accepted.caller.prompt.as_ref();
    let has_long_prefix = prompt
        .and_then(Prompt::shared_prefix)
        .is_some_and(Affinity::outweighs_distance);
    let server = choose_server(gateway, accepted, own_zone, &[]);
    match server {
        Some(server) if has_long_prefix => {
            ZoneAffinity::Strong(Arc::clone(&server.zone))
        }
        Some(server) => ZoneAffinity::Weak(Arc::clone(&server.zone)),
        None => ZoneAffinity::Weak(Arc::clone(own_zone)),
    }
}

/// Returns the zone where the request runs best. A request that can run
/// anywhere goes where its large results are held.
fn results_zone(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    affinity: &ZoneAffinity,
    results: &[ResultHandle],
) -> Arc<str> {
    let stages = &accepted.route.stages;
    let has_large_results =
        stages.iter().any(|stage| stage.result_bytes >= LARGE_RESULT_BYTES);
    if matches!(affinity, ZoneAffinity::Strong(_)) || !has_large_results {
        return Arc::clone(affinity.zone());
    }
    let servers = gateway.blackboard.servers.borrow();
    results
        .first()
        .and_then(|result| servers.get(&result.producer))
        .map_or_else(
            || Arc::clone(affinity.zone()),
            |producer| Arc::clone(&producer.zone),
        )
}

/// Returns the expected time from the last stage to the first token, if the
/// shared prefix of the prompt is cached.
fn first_token_time(accepted: &AcceptedRequest) -> Duration {
    let prompt = accepted.caller.prompt.as_ref();
    let own_tokens = prompt.map_or(0, Prompt::suffix_tokens);
    FIRST_TOKEN_TIME + prefill_time(own_tokens)
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
