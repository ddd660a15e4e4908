//! From the head of a caller's request to its route, workspace and times.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::config::{
    CallerLimits, FleetConfig, Route, Workspace,
};
use bytes::Bytes;
use http::request;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::{
    context::Gateway,
    dialect::{CallerRequest, FormatError},
    refusal::Refusal,
};

use super::record::{Phase, Record};

/// The ranks that are told apart.
const RANKS: u8 = 10;

/// A request that is allowed.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// What its head says.
    pub caller: CallerRequest,
    /// The configuration that it uses to its end.
    pub config: Rc<FleetConfig>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: Arc<str>,
    /// Its workspace, if callers have keys.
    pub workspace: Option<Workspace>,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Its place among requests that wait for the same servers; lower goes
    /// first.
    pub precedence: u8,
    /// When its answer should begin.
    pub target: Instant,
    /// When it is given up if the head of its answer has not come.
    pub head_by: Instant,
    /// When it is given up.
    pub give_up: Instant,
}

impl Accepted {
    /// Returns the time that is left for the whole answer.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.give_up.saturating_duration_since(now)
    }

    /// Returns the request of a caller that has part of its answer: the time
    /// until it leaves begins anew.
    #[must_use]
    pub fn continued(&self, now: Instant) -> Accepted {
        let head_by = now + self.route.response_head_timeout();
        Accepted { head_by: head_by.min(self.give_up), ..self.clone() }
    }

    /// Returns the time that is left until the head of the answer.
    #[must_use]
    pub fn time_to_head(&self, now: Instant) -> Duration {
        self.head_by.saturating_duration_since(now)
    }
}

/// Decides whether a request is allowed and where it goes.
///
/// # Errors
///
/// With the refusal for the caller.
pub fn accept(
    gateway: &Gateway,
    head: &request::Parts,
    record: &mut Record,
) -> Result<Accepted, Refusal> {
    let Some(config) = gateway.board.config() else {
        return Err(Refusal::NotConfigured);
    };
    record.config_version = config.version;
    let caller = decode(gateway, head, record)?;
    record.prompt = caller.prompt.as_ref().map(|prompt| {
        let shared = prompt.shared_prefix().map_or(0, |p| p.tokens);
        (shared, prompt.own_tokens())
    });
    let path = head.uri.path();
    let route = config.routes.find(&caller.host, path).cloned();
    let route = route.ok_or(Refusal::NoRoute)?;
    record.route = Some(Arc::clone(&route.name));
    let workspace = find_workspace(&config, &route, &caller)?;
    record.workspace = workspace.as_ref().map(|w| Arc::clone(&w.name));
    let service = route.select_service(rand::random()).cloned();
    let service = service.ok_or(Refusal::NoServer)?;
    let started = record.started();
    let patience = caller.patience.unwrap_or(route.timeout);
    record.limit = Some(patience.min(route.timeout));
    record.phase = Phase::Body;
    let rank = workspace.as_ref().and_then(|w| w.rank).unwrap_or(route.rank);
    Ok(Accepted {
        rank,
        precedence: precedence(rank, route.rank),
        target: started + route.target_latency,
        head_by: started + patience.min(route.response_head_timeout()),
        give_up: started + patience.min(route.timeout),
        caller,
        config,
        route,
        service,
        workspace,
    })
}

/// Returns the place of a request in a queue. The rank of its workspace goes
/// first; that of its route decides among workspaces of equal rank.
fn precedence(rank: u8, route_rank: u8) -> u8 {
    rank.saturating_mul(RANKS).saturating_add(route_rank.min(RANKS - 1))
}

fn decode(
    gateway: &Gateway,
    head: &request::Parts,
    record: &mut Record,
) -> Result<CallerRequest, Refusal> {
    match gateway.dialect.caller_request(head) {
        Ok(caller) => {
            record.attempt = Arc::clone(&caller.attempt);
            Ok(caller)
        }
        Err(FormatError { problem, .. }) => {
            record.cause = Some(problem);
            Err(Refusal::Malformed)
        }
    }
}

fn find_workspace(
    config: &FleetConfig,
    route: &Route,
    caller: &CallerRequest,
) -> Result<Option<Workspace>, Refusal> {
    let Some(keys) = &config.workspaces_by_key else { return Ok(None) };
    let found = caller.key.as_ref().and_then(|key| keys.get(key));
    match found {
        Some(workspace) => Ok(Some(workspace.clone())),
        None if route.allow_anonymous => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

/// Reads a caller's body whole, so that it can be sent more than once.
///
/// # Errors
///
/// With the refusal for the caller.
pub async fn read_body(
    body: Incoming,
    limits: &CallerLimits,
) -> Result<Bytes, Refusal> {
    match Limited::new(body, limits.max_body_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(Refusal::BodyTooLong)
        }
        Err(_) => Err(Refusal::BodyIncomplete),
    }
}
