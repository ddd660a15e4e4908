//! The request path of a backend server: parses a request, applies injected
//! faults, waits for a slot and runs the request.

use std::sync::{Arc, atomic::Ordering};

use briarladder_core::ids::RequestId;
use briarladder_wire::backend::{IDEMPOTENCY_KEY_HEADER, RunRequest};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{Method, StatusCode},
};
use tokio::sync::Notify;

use super::{Core, RequestContext, RoleHandler, RunDecision, lock};
use crate::{
    fault::Fault,
    journal::{ExecutionGuard, ExecutionStatus},
    response,
    slots::Slot,
};

/// A request that holds a slot. Dropping it releases the slot and records
/// the end of the execution.
pub(crate) struct Job {
    pub(crate) run: Arc<RunRequest>,
    /// The idempotency key.
    pub(crate) key: Option<Arc<str>>,
    pub(crate) execution: ExecutionGuard,
    registration: CancelRegistration,
    _slot: Slot,
}

impl Job {
    /// Waits until the deadline or until the request is cancelled. Returns
    /// whether it was cancelled.
    pub(crate) async fn cancelled_before(
        &self,
        deadline: tokio::time::Instant,
    ) -> bool {
        tokio::select! {
            biased;
            () = self.registration.cancel.notified() => true,
            () = tokio::time::sleep_until(deadline) => false,
        }
    }

    /// Waits until the request is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.registration.cancel.notified().await;
    }
}

/// The registration of a request for cancellation, removed when dropped.
struct CancelRegistration {
    core: Arc<Core>,
    cancel: Arc<Notify>,
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        let mut cancellations = lock(&self.core.cancellations);
        let index = cancellations
            .iter()
            .position(|(_, n)| Arc::ptr_eq(n, &self.cancel));
        if let Some(index) = index {
            cancellations.swap_remove(index);
        }
    }
}

/// The HTTP handler of a backend server.
pub(super) struct RequestHandler(pub(super) Arc<dyn RoleHandler>);

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let path = req.uri().path();
        if path == "/v1/run" && req.method() == Method::POST {
            return run(&*self.0, req, res).await;
        }
        if path == "/v1/load" {
            return match self.0.core().load_report() {
                Some(report) => response::json(res, &report),
                None => response::status(
                    res,
                    StatusCode::SERVICE_UNAVAILABLE,
                    "fault: no load reports",
                ),
            };
        }
        match path.strip_prefix("/v1/run/") {
            Some(id) if req.method() == Method::DELETE => {
                cancel(self.0.core(), id);
                res.status_code(StatusCode::NO_CONTENT);
            }
            _ => self.0.handle_other(req, res).await,
        }
    }
}

fn cancel(core: &Core, id: &str) {
    let Ok(id) = id.parse::<RequestId>() else { return };
    for (running, cancel) in lock(&core.cancellations).iter() {
        if *running == id {
            // `notify_one` stores a permit, so that it also reaches a
            // request that is not waiting at the moment.
            cancel.notify_one();
        }
    }
}

async fn run(
    role_handler: &dyn RoleHandler,
    req: &mut Request,
    res: &mut Response,
) {
    let core = role_handler.core();
    let key = response::header(req, IDEMPOTENCY_KEY_HEADER);
    let connection = response::connection(req);
    let Some(body) = response::read_body(req).await else {
        return response::status(
            res,
            StatusCode::BAD_REQUEST,
            "the request body is missing or too large",
        );
    };
    let run = match serde_json::from_slice::<RunRequest>(&body) {
        Ok(run) => Arc::new(run),
        Err(error) => {
            let cause = error.to_string();
            return response::status(res, StatusCode::BAD_REQUEST, &cause);
        }
    };
    core.epoch_seen.fetch_max(run.epoch, Ordering::AcqRel);
    let context = RequestContext {
        faults: core.faults.take_for_run(&run, &body),
        connection,
    };
    if context.faults.contains(Fault::NotRun) {
        return response::not_run(res, "fault: not run");
    }
    if let Some(code) = context.faults.status_code() {
        let status = StatusCode::from_u16(code)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return response::status(res, status, "fault: status");
    }
    if context.faults.contains(Fault::DropBeforeFirstByte { runs: false }) {
        context.disconnect().await;
    }
    match role_handler.decide(&run, key.as_deref()) {
        RunDecision::Run => {}
        RunDecision::NotRun(cause) => return response::not_run(res, &cause),
        RunDecision::Conflict(cause) => {
            return response::status(res, StatusCode::CONFLICT, &cause);
        }
        RunDecision::Recorded(output) => {
            return core.respond(&run, output, &context, res).await;
        }
    }
    let Some(mut job) = core.admit(run, key).await else {
        return response::not_run(res, "cancelled while queued");
    };
    role_handler.on_start(&job);
    if context.faults.contains(Fault::Crash) {
        core.crash();
        context.disconnect().await;
    }
    if context.faults.contains(Fault::Hang) {
        job.cancelled().await;
        job.execution.status = ExecutionStatus::Cancelled;
        return response::status(res, StatusCode::CONFLICT, "cancelled");
    }
    role_handler.execute(job, context, res).await;
}

impl Core {
    /// Waits for a slot. Returns `None` if the request is cancelled first.
    async fn admit(
        self: &Arc<Self>,
        run: Arc<RunRequest>,
        key: Option<Arc<str>>,
    ) -> Option<Job> {
        let cancel = Arc::new(Notify::new());
        lock(&self.cancellations).push((run.request_id, cancel.clone()));
        let registration = CancelRegistration { core: self.clone(), cancel };
        let slot = tokio::select! {
            biased;
            slot = self.slots.acquire(run.priority) => slot,
            () = registration.cancel.notified() => return None,
        };
        let leaving_for =
            lock(&self.leaving_since).map(|since| since.elapsed());
        let execution = self.journal.record_start(
            &run,
            key.clone(),
            &self.name,
            self.incarnation(),
            leaving_for,
        );
        Some(Job { run, key, execution, registration, _slot: slot })
    }
}
