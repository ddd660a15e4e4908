//! The path of one request: accept it, run its stages, send it to a server and
//! forward the response.

pub mod accept;
mod dispatch;
mod headers;
pub mod outgoing;
pub mod record;
mod resume;

use std::{rc::Rc, time::Duration};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::{
    body::ReplyBody, context::Gateway, refusal::Refusal, stages::preparation,
};

use self::{
    accept::{Accepted, accept, read_body},
    dispatch::dispatch,
    outgoing::Outgoing,
    record::Record,
};

/// The shortest `retry-after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The `retry-after` of a refusal is at most the request's timeout divided by
/// this, so that the caller's next attempt still has time to be served.
const RETRY_AFTER_DIVISOR: u32 = 2;

/// How long requests wait for the first configuration after the process has
/// started.
const FIRST_CONFIG_WAIT: Duration = Duration::from_secs(1);

/// A request that is refused instead of being run by a server.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// The refusal to send to the caller.
    pub refusal: Refusal,
    /// How long the caller should wait before it tries again.
    pub retry_after: Option<Duration>,
}

impl From<Refusal> for Ended {
    fn from(refusal: Refusal) -> Ended {
        Ended { refusal, retry_after: None }
    }
}

/// Serves a request of a caller.
pub async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    // Prevents request smuggling: bytes after a chunked body may have been
    // framed for a different parsing of the same bytes, so nothing more is
    // read from the connection.
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = respond(&gateway, request).await;
    if chunked || gateway.board.stop().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn respond(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let mut record = Record::new(&gateway.board, &gateway.metrics);
    let (head, body) = request.into_parts();
    gateway.check_suspension();
    wait_for_config(gateway).await;
    let accepted = match accept(gateway, &head, &mut record) {
        Ok(accepted) => accepted,
        Err(refusal) => return refuse(record, refusal.into(), None),
    };
    let board = &gateway.board;
    let taken = board
        .stop()
        .is_none_or(|stop| stop.accepts(board.now(), accepted.give_up));
    if !taken {
        return refuse(record, Refusal::Stopping.into(), Some(&accepted));
    }
    let limits = accepted.config.limits;
    let give_up = accepted.head_by.into();
    let read = timeout_at(give_up, read_body(body, &limits)).await;
    let body = match read.unwrap_or(Err(Refusal::TimeOutUnsent)) {
        Ok(body) => body,
        Err(refusal) => {
            return refuse(record, refusal.into(), Some(&accepted));
        }
    };
    let prepare = preparation::run(gateway, &accepted, &mut record);
    let prepared = tokio::select! {
        prepared = timeout_at(give_up, prepare) => prepared
            .unwrap_or_else(|_| Err(Refusal::TimeOutUnsent.into())),
        () = board.last_answers() => Err(Refusal::Stopping.into()),
    };
    let results = match prepared {
        Ok(results) => results,
        Err(ended) => return refuse(record, ended, Some(&accepted)),
    };
    let outgoing = Outgoing {
        gateway: Rc::clone(gateway),
        accepted: Rc::new(accepted),
        head: Rc::new(head),
        body,
        prepared: Rc::new(results),
        sent: Rc::default(),
    };
    let accepted = Rc::clone(&outgoing.accepted);
    let sent = Rc::clone(&outgoing.sent);
    tokio::select! {
        answer = dispatch(outgoing, record) => match answer {
            Ok(response) => response,
            Err((record, ended)) => refuse(*record, ended, Some(&accepted)),
        },
        () = board.last_answers() => {
            // Dropping the dispatch writes the request's log line.
            let may_have_run = sent.get();
            log::info!(
                "process: id={} outcome=cut_by_stop may_have_run={may_have_run}",
                accepted.caller.attempt
            );
            if may_have_run {
                Refusal::Unknown.response(None)
            } else {
                Refusal::Stopping.response(Some(MIN_RETRY_AFTER))
            }
        }
    }
}

/// Waits for the first configuration of a process that has just started. It
/// will arrive shortly, while a refusal would cost the caller one of its
/// attempts.
async fn wait_for_config(gateway: &Gateway) {
    let board = &gateway.board;
    let until = board.started_at + FIRST_CONFIG_WAIT;
    let configured = async {
        while !board.is_ready() {
            board.mirror_changed.notified().await;
        }
    };
    if board.config().is_none() {
        // If it has not arrived by then, the request is refused.
        let _ = timeout_at(until.into(), configured).await;
    }
}

/// Refuses a request.
fn refuse(
    mut record: Record,
    ended: Ended,
    accepted: Option<&Accepted>,
) -> Response<ReplyBody> {
    let Ended { refusal, retry_after } = ended;
    let longest = accepted.map_or(MIN_RETRY_AFTER, |accepted| {
        let patience = accepted.give_up.duration_since(record.started());
        patience / RETRY_AFTER_DIVISOR
    });
    let wait = retry_after
        .unwrap_or(MIN_RETRY_AFTER)
        .min(longest)
        .max(MIN_RETRY_AFTER);
    record.status = refusal.status().as_u16();
    if record.status == StatusCode::SERVICE_UNAVAILABLE.as_u16() {
        record.retry_after = Some(wait);
    }
    record.end(refusal.label());
    refusal.response(Some(wait))
}
