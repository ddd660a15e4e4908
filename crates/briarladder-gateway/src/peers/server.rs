//! Answering other daemons.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

use crate::context::Gateway;

use super::messages::{
    Accepted, CHANGES_PATH, ChangesReply, ChangesRequest, HEARTBEATS_PATH,
    Heartbeats, ItemMessage, PING_PATH, Ping, RELEASE_PATH, Release,
    STAGES_PATH, StagesRequest,
};

/// The longest message of a peer. The references of the largest allowed
/// stage fit.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// The longest wait for a change. It bounds the calls that are kept waiting.
const MAX_CHANGES_WAIT: Duration = Duration::from_secs(5);

/// Answers one message.
///
/// # Errors
///
/// Never; a bad message gets an error status.
pub async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES);
    let Ok(body) = body.collect().await else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let body = body.to_bytes();
    Ok(match path.as_str() {
        HEARTBEATS_PATH => {
            answer(&body, |message: Heartbeats| heartbeats(&gateway, &message))
        }
        CHANGES_PATH => match serde_json::from_slice(&body) {
            Ok(message) => {
                let message: ChangesRequest = message;
                wait_for_change(&gateway, message).await;
                encode(&changes(&gateway, message))
            }
            Err(error) => malformed(&error),
        },
        PING_PATH => answer(&body, |Ping {}| Accepted {}),
        RELEASE_PATH => answer(&body, |message: Release| {
            gateway.coordinator.release(&message.jobs);
            Accepted {}
        }),
        STAGES_PATH => match serde_json::from_slice(&body) {
            Ok(message) => {
                let message: StagesRequest = message;
                encode(&gateway.coordinator.run_stages(message).await)
            }
            Err(error) => malformed(&error),
        },
        _ => status(StatusCode::NOT_FOUND),
    })
}

fn heartbeats(gateway: &Gateway, message: &Heartbeats) -> Heartbeats {
    let now = gateway.board.now();
    let mut peers = gateway.board.peers.borrow_mut();
    peers.merge(now, &message.beats);
    Heartbeats { beats: peers.exchange(now, rand::random_range(0..4096)) }
}

/// Waits until there is a change after the revision of the sender, for as
/// long as it wants to.
async fn wait_for_change(gateway: &Gateway, message: ChangesRequest) {
    let board = &gateway.board;
    let changed = async {
        while board.mirror.borrow().revision() <= message.after {
            board.mirror_changed.notified().await;
        }
    };
    let wait = Duration::from_millis(message.wait_ms).min(MAX_CHANGES_WAIT);
    // The answer tells whether there is a change.
    let _ = tokio::time::timeout(wait, changed).await;
}

fn changes(gateway: &Gateway, message: ChangesRequest) -> ChangesReply {
    let mirror = gateway.board.mirror.borrow();
    let since = mirror.since(message.after);
    let complete = since.is_none();
    let items = match &since {
        Some(items) => items.iter().map(ItemMessage::from).collect(),
        None => mirror.items().map(ItemMessage::from).collect(),
    };
    let revision = mirror.revision();
    let in_contact = gateway.board.store_lost_for().is_none();
    ChangesReply { complete, items, revision, in_contact }
}

fn answer<Q: DeserializeOwned, A: Serialize>(
    body: &[u8],
    decide: impl FnOnce(Q) -> A,
) -> Response<Full<Bytes>> {
    match serde_json::from_slice(body) {
        Ok(message) => encode(&decide(message)),
        Err(error) => malformed(&error),
    }
}

fn encode<A: Serialize>(answer: &A) -> Response<Full<Bytes>> {
    match serde_json::to_vec(answer) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(error) => {
            log::error!("peers: an answer can't be encoded: {error}");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn malformed(error: &serde_json::Error) -> Response<Full<Bytes>> {
    log::warn!("peers: a message can't be read: {error}");
    status(StatusCode::BAD_REQUEST)
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
