//! Serves the calls of other daemons.

use std::{convert::Infallible, rc::Rc, time::Duration};

use briarladder_core::fleet::{
    crash_tracker::CrashSummary,
    peers::{Member, ZoneSummary},
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

use crate::{bounded_body::read_body, context::Gateway, relay::RELAY_PATH};

use super::{
    changes::{CHANGES_PATH, ChangesRequest, ChangesResponse},
    crashes,
    earlier_changes::{
        EVACUATIONLESS_CHANGES_PATH, EvacuationlessResponse,
        SLOTLESS_CHANGES_PATH, SlotlessResponse, VERSIONLESS_CHANGES_PATH,
        VersionlessResponse,
    },
    eraless_changes::{ERALESS_CHANGES_PATH, EralessRequest, EralessResponse},
    membership,
    messages::{
        Ack, CHECK_PATH, COMPARE_CRASHES_PATH, COMPARE_PATH,
        CRASHES_EXCHANGE_PATH, CRASHES_PATH, CrashList, CrashesEnvelope,
        EXCHANGE_PATH, GossipEnvelope, LIMITS_EXCHANGE_PATH, LimitsEnvelope,
        MEMBERS_PATH, MemberList, PING_PATH, PLACE_PATH, Ping, PlaceRequest,
        ProbeRequest, ProbeResponse, REGIONAL_STAGES_PATH, RELEASE_PATH,
        REQUEST_CRASHES_EXCHANGE_PATH, RegionalStagesRequest, ReleaseRequest,
        RequestCrashesEnvelope, STAGES_PATH, StagesRequest, StagesResponse,
        WAITS_EXCHANGE_PATH, WaitsEnvelope,
    },
    places,
    stream_origins::{
        FIND_ORIGIN_PATH, FindOrigin, FoundOrigin, ORIGINS_PATH, OriginList,
        VERSIONS_PATH, VersionsAnswer, VersionsRequest,
    },
};

/// The longest message of a peer. It fits the references of the largest
/// allowed stage.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// The longest long-poll timeout, which limits how many calls are pending.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of the ping of an indirect probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves one call.
///
/// # Errors
///
/// Never; a malformed message gets an error status.
pub async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    if path == RELAY_PATH {
        return Ok(gateway.relay_server.serve(request).await);
    }
    let body = request.into_body();
    let Ok(body) = read_body(body, MAX_MESSAGE_BYTES).await else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    Ok(match path.as_str() {
        EXCHANGE_PATH => respond(&body, |message: GossipEnvelope| {
            exchange_gossip(&gateway, &message)
        }),
        WAITS_EXCHANGE_PATH => respond(&body, |message: WaitsEnvelope| {
            exchange_waits(&gateway, message)
        }),
        LIMITS_EXCHANGE_PATH => respond(&body, |message: LimitsEnvelope| {
            LimitsEnvelope::from(exchange_waits(&gateway, message.into()))
        }),
        CRASHES_EXCHANGE_PATH => respond(&body, |message: CrashesEnvelope| {
            let message = LimitsEnvelope::from(message);
            let response = exchange_waits(&gateway, message.into());
            CrashesEnvelope::from(LimitsEnvelope::from(response))
        }),
        REQUEST_CRASHES_EXCHANGE_PATH => {
            respond(&body, |message: RequestCrashesEnvelope| {
                let message = CrashesEnvelope::from(message);
                let message = LimitsEnvelope::from(message);
                let response = exchange_waits(&gateway, message.into());
                let response = LimitsEnvelope::from(response);
                RequestCrashesEnvelope::from(CrashesEnvelope::from(response))
            })
        }
        COMPARE_CRASHES_PATH => respond(&body, |summary: CrashSummary| {
            let blackboard = &gateway.blackboard;
            let tracker = blackboard.crash_tracker.borrow();
            tracker.compare(blackboard.now(), &summary)
        }),
        CRASHES_PATH => respond(&body, |message: CrashList| {
            crashes::learn_compared(&gateway, &message.crashes);
            Ack {}
        }),
        COMPARE_PATH => respond(&body, |summary: ZoneSummary| {
            gateway.blackboard.peers.borrow().compare(&summary)
        }),
        MEMBERS_PATH => respond(&body, |message: MemberList| {
            merge_members(&gateway, &message.members);
            Ack {}
        }),
        CHECK_PATH => match postcard::from_bytes(&body) {
            Ok(message) => encode(&probe(&gateway, message).await),
            Err(error) => malformed(&error),
        },
        CHANGES_PATH
        | SLOTLESS_CHANGES_PATH
        | VERSIONLESS_CHANGES_PATH
        | EVACUATIONLESS_CHANGES_PATH
        | ERALESS_CHANGES_PATH => serve_changes(&gateway, &path, &body).await,
        ORIGINS_PATH => respond(&body, |message: OriginList| {
            gateway.blackboard.merge_streams(&message.origins);
            Ack {}
        }),
        FIND_ORIGIN_PATH => respond(&body, |message: FindOrigin| {
            let software =
                gateway.blackboard.stream_software(&message.attempt);
            FoundOrigin { software }
        }),
        VERSIONS_PATH => respond(&body, |VersionsRequest {}| VersionsAnswer {
            known: gateway.blackboard.mirror.borrow().version(),
            summary: gateway.blackboard.summarize_versions(),
        }),
        PLACE_PATH => respond(&body, |message: PlaceRequest| {
            places::grant_place(&gateway, &message)
        }),
        PING_PATH => respond(&body, |Ping {}| Ack {}),
        RELEASE_PATH => respond(&body, |message: ReleaseRequest| {
            gateway.coordinator.release_jobs(&message.jobs);
            Ack {}
        }),
        STAGES_PATH => match postcard::from_bytes(&body) {
            Ok(message) => encode(&run_stages(&gateway, message).await),
            Err(error) => malformed(&error),
        },
        REGIONAL_STAGES_PATH => match postcard::from_bytes(&body) {
            Ok(message) => {
                let message: RegionalStagesRequest = message;
                let request = message.into_request();
                encode(&run_stages(&gateway, request).await)
            }
            Err(error) => malformed(&error),
        },
        _ => status(StatusCode::NOT_FOUND),
    })
}

/// Serves a call for items of the store, in the form of the caller's version.
async fn serve_changes(
    gateway: &Gateway,
    path: &str,
    body: &[u8],
) -> Response<Full<Bytes>> {
    let message = match path {
        ERALESS_CHANGES_PATH => {
            postcard::from_bytes(body).map(|message: EralessRequest| {
                message.in_era_of(&gateway.blackboard.mirror.borrow())
            })
        }
        _ => postcard::from_bytes(body),
    };
    let message: ChangesRequest = match message {
        Ok(message) => message,
        Err(error) => return malformed(&error),
    };
    let response = changes_response(gateway, &message).await;
    match path {
        ERALESS_CHANGES_PATH => encode(&EralessResponse::from(response)),
        EVACUATIONLESS_CHANGES_PATH => {
            encode(&EvacuationlessResponse::from(response))
        }
        SLOTLESS_CHANGES_PATH => encode(&SlotlessResponse::from(response)),
        VERSIONLESS_CHANGES_PATH => {
            encode(&VersionlessResponse::from(response))
        }
        _ => encode(&response),
    }
}

fn exchange_gossip(
    gateway: &Gateway,
    message: &GossipEnvelope,
) -> GossipEnvelope {
    membership::handle_gossip(gateway, message, "message");
    membership::gossip_message(gateway, Some(&message.exchange.from))
}

/// Exchanges gossip with a daemon that doesn't compare crashes.
fn exchange_waits(gateway: &Gateway, message: WaitsEnvelope) -> WaitsEnvelope {
    exchange_gossip(gateway, &message.into()).into()
}

async fn run_stages(
    gateway: &Gateway,
    request: StagesRequest,
) -> StagesResponse {
    merge_members(gateway, request.moved_by.as_slice());
    gateway.coordinator.run_stages_for_peer(request).await
}

fn merge_members(gateway: &Gateway, members: &[Member]) {
    let mut peers = gateway.blackboard.peers.borrow_mut();
    let changes = peers.merge(gateway.blackboard.now(), members);
    membership::log_changes(&changes, "members");
}

/// Pings a daemon on behalf of another one.
async fn probe(gateway: &Gateway, message: ProbeRequest) -> ProbeResponse {
    let ProbeRequest { address } = message;
    let response: Result<Ack, _> =
        gateway.peers.call(address, PING_PATH, &Ping {}, PROBE_TIMEOUT).await;
    ProbeResponse { reached: response.is_ok() }
}

/// Waits, for at most the requested long-poll timeout, until the sender lacks
/// something or this daemon can't tell it anything new: it no longer receives
/// changes, or the sender knows a later era of the store.
async fn changes_response(
    gateway: &Gateway,
    message: &ChangesRequest,
) -> ChangesResponse {
    let blackboard = &gateway.blackboard;
    let has_news = || {
        let mirror = blackboard.mirror.borrow();
        message.is_behind(&mirror) || message.is_ahead(&mirror)
    };
    let changed = async {
        while !has_news() && blackboard.receives_changes() {
            blackboard.mirror_changed.notified().await;
        }
    };
    let wait = Duration::from_millis(message.wait_ms).min(MAX_POLL_TIMEOUT);
    // On a timeout the response contains no changes.
    let _ = tokio::time::timeout(wait, changed).await;
    let in_contact = blackboard.receives_changes();
    ChangesResponse::new(&blackboard.mirror.borrow(), message, in_contact)
}

fn respond<Q: DeserializeOwned, A: Serialize>(
    body: &[u8],
    handle: impl FnOnce(Q) -> A,
) -> Response<Full<Bytes>> {
    match postcard::from_bytes(body) {
        Ok(message) => encode(&handle(message)),
        Err(error) => malformed(&error),
    }
}

fn encode<A: Serialize>(response: &A) -> Response<Full<Bytes>> {
    match postcard::to_stdvec(response) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(error) => {
            log::error!("peers: cannot encode response: {error}");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn malformed(error: &postcard::Error) -> Response<Full<Bytes>> {
    log::warn!("peers: malformed message: {error}");
    status(StatusCode::BAD_REQUEST)
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
