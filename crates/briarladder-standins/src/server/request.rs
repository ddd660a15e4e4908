//! The request path of a backend server.

use std::sync::{Arc, atomic::Ordering};

use briarladder_core::ids::RequestId;
use briarladder_wire::backend::{IDEMPOTENCY_KEY_HEADER, RunRequest};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{Method, StatusCode},
};
use tokio::sync::Notify;

use super::{Check, Core, Link, Work, lock};
use crate::{
    fault::Fault,
    journal::{ExecutionStatus, Record},
    reply,
    slots::Slot,
};

/// A request that holds a slot. Dropping it frees the slot and records its
/// end.
pub(crate) struct Job {
    pub(crate) run: Arc<RunRequest>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) record: Record,
    active: Active,
    _slot: Slot,
}

impl Job {
    /// Waits for a time; returns whether the request was cancelled.
    pub(crate) async fn sleep_until(
        &self,
        time: tokio::time::Instant,
    ) -> bool {
        tokio::select! {
            biased;
            () = self.active.cancel.notified() => true,
            () = tokio::time::sleep_until(time) => false,
        }
    }

    /// Waits until the request is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.active.cancel.notified().await;
    }
}

/// The entry of a request in the list that cancellation searches.
struct Active {
    core: Arc<Core>,
    cancel: Arc<Notify>,
}

impl Drop for Active {
    fn drop(&mut self) {
        let mut active = lock(&self.core.active);
        let index =
            active.iter().position(|(_, n)| Arc::ptr_eq(n, &self.cancel));
        if let Some(index) = index {
            active.swap_remove(index);
        }
    }
}

/// The HTTP entry of a backend server.
pub(super) struct Entry(pub(super) Arc<dyn Work>);

#[async_trait]
impl Handler for Entry {
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
            return match self.0.core().report() {
                Some(report) => reply::json(res, &report),
                None => reply::status(
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
            _ => self.0.call(req, res).await,
        }
    }
}

fn cancel(core: &Core, id: &str) {
    let Ok(id) = id.parse::<RequestId>() else { return };
    for (active, cancel) in lock(&core.active).iter() {
        if *active == id {
            // Stores a permit, so that it also reaches a request that is
            // not waiting at this moment.
            cancel.notify_one();
        }
    }
}

async fn run(work: &dyn Work, req: &mut Request, res: &mut Response) {
    let core = work.core();
    let key = reply::header(req, IDEMPOTENCY_KEY_HEADER);
    let connection = reply::connection(req);
    let Some(body) = reply::body(req).await else {
        return reply::status(res, StatusCode::BAD_REQUEST, "no body");
    };
    let run = match serde_json::from_slice::<RunRequest>(&body) {
        Ok(run) => Arc::new(run),
        Err(error) => {
            let cause = error.to_string();
            return reply::status(res, StatusCode::BAD_REQUEST, &cause);
        }
    };
    core.epoch_seen.fetch_max(run.epoch, Ordering::AcqRel);
    let link = Link { plan: core.faults.take_run(&run, &body), connection };
    if link.plan.has(Fault::NotRun) {
        return reply::not_run(res, "fault: not run");
    }
    if let Some(code) = link.plan.status() {
        let status = StatusCode::from_u16(code)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return reply::status(res, status, "fault: status");
    }
    if link.plan.has(Fault::DropBeforeFirstByte { runs: false }) {
        link.cut().await;
    }
    match work.check(&run, key.as_deref()) {
        Check::Run => {}
        Check::NotRun(cause) => return reply::not_run(res, &cause),
        Check::Conflict(cause) => {
            return reply::status(res, StatusCode::CONFLICT, &cause);
        }
        Check::Recorded(output) => {
            return core.answer(&run, output, &link, res).await;
        }
    }
    let Some(mut job) = core.admit(run, key).await else {
        return reply::not_run(res, "cancelled while queued");
    };
    work.started(&job);
    if link.plan.has(Fault::Crash) {
        core.crash();
        link.cut().await;
    }
    if link.plan.has(Fault::Hang) {
        job.cancelled().await;
        job.record.end = ExecutionStatus::Cancelled;
        return reply::status(res, StatusCode::CONFLICT, "cancelled");
    }
    work.execute(job, link, res).await;
}

impl Core {
    /// Waits for a slot; `None` if the request is cancelled before.
    async fn admit(
        self: &Arc<Self>,
        run: Arc<RunRequest>,
        key: Option<Arc<str>>,
    ) -> Option<Job> {
        let cancel = Arc::new(Notify::new());
        lock(&self.active).push((run.request_id, cancel.clone()));
        let active = Active { core: self.clone(), cancel };
        let slot = tokio::select! {
            biased;
            slot = self.slots.acquire(run.priority) => slot,
            () = active.cancel.notified() => return None,
        };
        let leaving_for =
            lock(&self.leaving_since).map(|since| since.elapsed());
        let record = self.journal.start(
            &run,
            key.clone(),
            &self.name,
            self.incarnation(),
            leaving_for,
        );
        Some(Job { run, key, record, active, _slot: slot })
    }
}
