//! Sends a request to backend servers until one responds, and forwards the
//! response.

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::{
    attempt::{AttemptTracker, RetryDecision},
    server::ListedServer,
};
use http::Response;
use tokio::time::timeout_at;

use crate::{
    board::RunningGuard,
    body::{Relay, ReplyBody},
    context::Gateway,
    refusal::Refusal,
};

use super::{
    Ended,
    accept::Accepted,
    headers::copy_head,
    outgoing::{
        Outgoing, Usable, WholeAnswer, choose_server, count, note_failure,
    },
    record::{Phase, Record},
    resume,
};

/// A retry needs at least this much time to be useful.
const MIN_RETRY_TIME: Duration = Duration::from_millis(40);

/// Sends a request until a server has responded or no retry is allowed.
///
/// # Errors
///
/// With the refusal to send to the caller, and the record of the request.
pub async fn dispatch(
    mut outgoing: Outgoing,
    mut record: Record,
) -> Result<Response<ReplyBody>, (Box<Record>, Ended)> {
    let gateway = Rc::clone(&outgoing.gateway);
    let accepted = Rc::clone(&outgoing.accepted);
    let board = &gateway.board;
    let route = &accepted.route;
    let mut sends = AttemptTracker::new(route.kind, route.max_attempts);
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut last_failure = None;
    let refusal = loop {
        if let Some(wait) = outgoing.refused_for() {
            record.cause = Some("servers crash while they run it".to_owned());
            if sends.may_have_run_count() > 0 {
                break Refusal::Unknown;
            }
            let refusal = Refusal::CrashesServers;
            let ended = Ended { refusal, retry_after: Some(wait) };
            return Err((Box::new(record), ended));
        }
        if outgoing.prepared.is_released()
            && let Err(ended) = outgoing.prepare_again(&mut record).await
        {
            if sends.may_have_run_count() > 0 {
                break Refusal::Unknown;
            }
            return Err((Box::new(record), ended));
        }
        let zone = outgoing.prepared.zone();
        let Some(server) = choose_server(&gateway, &accepted, zone, &tried)
        else {
            record
                .cause
                .get_or_insert_with(|| "no server left to try".to_owned());
            if sends.may_have_run_count() == 0 {
                let retry_after = first_opens_in(&gateway, &accepted);
                let refusal = Refusal::NoServer;
                let ended = Ended { refusal, retry_after };
                return Err((Box::new(record), ended));
            }
            break Refusal::Unknown;
        };
        record.server = Some(Arc::clone(&server.name));
        record.sends += 1;
        record.phase = Phase::Server;
        if tried.is_empty() {
            board.first_sent(&accepted.service);
        }
        let running = board.start_running(&server.name);
        let sent = outgoing.send_and_learn(&server, None);
        let sent = timeout_at(accepted.give_up.into(), sent).await;
        let failed = match sent {
            Ok(Ok(answer)) => {
                count(&gateway, &accepted, "answered");
                board.placement.borrow_mut().record_success(&server.name);
                return Ok(pass_on(
                    &outgoing, &server, answer, record, running, sends,
                ));
            }
            Ok(Err(failed)) => failed,
            Err(_) => {
                count(&gateway, &accepted, "time_out");
                record.cause = Some("no response in time".to_owned());
                break Refusal::TimeOutSent;
            }
        };
        drop(running);
        note_failure(&outgoing, &server, &failed);
        if failed.inputs_gone {
            outgoing.prepared.release();
        } else {
            tried.push(Arc::clone(&server.name));
        }
        record.cause = Some(failed.cause);
        last_failure = failed.own_failure.or(last_failure);
        let in_time = accepted.time_to_head(board.now()) > MIN_RETRY_TIME;
        let pay = || board.try_repeat(&accepted.service);
        match sends.record_failure(failed.failure, in_time, pay) {
            RetryDecision::Retry => {}
            RetryDecision::FailNotRun => break Refusal::NoServer,
            RetryDecision::FailUnknown => break Refusal::Unknown,
        }
    };
    if refusal == Refusal::Unknown
        && let Some(answer) = last_failure
    {
        record.status = answer.head.status.as_u16();
        record.end("server_failed");
        return Ok(whole_response(*answer));
    }
    Err((Box::new(record), refusal.into()))
}

/// Returns the time until the first server accepts requests again, if all of
/// them have asked for a pause.
fn first_opens_in(gateway: &Gateway, accepted: &Accepted) -> Option<Duration> {
    let board = &gateway.board;
    let servers = board.servers.borrow();
    let ready =
        servers.ready_in_service(&accepted.service).map(|server| &**server);
    board.bars.borrow().first_available_in(board.now(), ready)
}

fn pass_on(
    outgoing: &Outgoing,
    server: &Arc<ListedServer>,
    answer: Usable,
    mut record: Record,
    running: RunningGuard,
    sends: AttemptTracker,
) -> Response<ReplyBody> {
    record.head_arrived();
    outgoing.prepared.release();
    // A plain response has no events after which another server could resume.
    let resumable = outgoing.accepted.route.kind.is_resumable();
    match answer {
        Usable::Whole(answer) => {
            record.status = answer.head.status.as_u16();
            record.relayed(answer.body.len());
            record.end("answered");
            outgoing.succeeded();
            whole_response(*answer)
        }
        Usable::Flowing(answer) if resumable => {
            record.status = answer.head.status.as_u16();
            let head = answer.head.clone();
            let body = resume::start(
                outgoing.clone(),
                *answer,
                record,
                running,
                sends,
            );
            let mut response = Response::new(ReplyBody::Resumed(body));
            copy_head(&head, &mut response);
            response
        }
        Usable::Flowing(answer) => {
            record.status = answer.head.status.as_u16();
            let head = answer.head.clone();
            let relay = Relay::new(
                outgoing.clone(),
                Arc::clone(server),
                *answer,
                record,
                running,
            );
            let mut response =
                Response::new(ReplyBody::Relay(Box::new(relay)));
            copy_head(&head, &mut response);
            response
        }
    }
}

fn whole_response(answer: WholeAnswer) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::full(answer.body));
    copy_head(&answer.head, &mut response);
    response
}
