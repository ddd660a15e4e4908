//! Accepting a request: from its head to its route, workspace and deadlines.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::{
    config::{CallerLimits, FleetConfig, Route, Workspace},
    residency::AllowedRegions,
    server::ListedServer,
    stream_versions::Software,
};
use bytes::Bytes;
use http::request;
use hyper::body::Incoming;

use crate::{
    bounded_body::{self, ReadError},
    caller_memory::CallerConnection,
    context::Gateway,
    dialect::{CallerRequest, FormatError},
    refusal::Refusal,
};

use super::record::{Phase, RequestRecord};

/// The number of distinct ranks.
const RANK_COUNT: u8 = 10;

/// An accepted request.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The decoded head.
    pub caller: CallerRequest,
    /// The caller's connection, to which what is held for it is charged.
    pub connection: Arc<CallerConnection>,
    /// The configuration that was in force on arrival, which the request uses
    /// to its end.
    pub config: Rc<FleetConfig>,
    /// The matching route.
    pub route: Arc<Route>,
    /// The service that runs the request.
    pub service: Arc<str>,
    /// The software version at which it must run, because it goes on with a
    /// stream.
    pub software: Option<Software>,
    /// The workspace of the caller's API key; `None` for anonymous callers or
    /// if no keys are configured.
    pub workspace: Option<Workspace>,
    /// The regions in which it may be served: those that both the route and
    /// the workspace allow.
    pub allowed_regions: AllowedRegions,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The priority among requests that wait for the same servers; lower goes
    /// first.
    pub queue_priority: u8,
    /// When the response should begin.
    pub target_at: Instant,
    /// The deadline of the response head.
    pub head_deadline: Instant,
    /// The deadline of the whole response.
    pub deadline: Instant,
}

impl AcceptedRequest {
    /// Returns the time until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns a copy for resuming a stream: a caller that has received part
    /// of the response waits anew for the response head timeout.
    #[must_use]
    pub fn renew_head_deadline(&self, now: Instant) -> AcceptedRequest {
        let head_deadline = now + self.route.response_head_timeout();
        AcceptedRequest {
            head_deadline: head_deadline.min(self.deadline),
            ..self.clone()
        }
    }

    /// Returns whether a server has the software version at which the request
    /// must run.
    #[must_use]
    pub fn may_run_at(&self, server: &ListedServer) -> bool {
        self.software.as_ref().is_none_or(|software| software.runs_at(server))
    }

    /// Returns the attempt that brought the first event of the stream, or will
    /// bring it.
    #[must_use]
    pub fn first_attempt(&self) -> &Arc<str> {
        let take_up = self.caller.take_up.as_ref();
        let named = take_up.and_then(|stream| stream.first_attempt.as_ref());
        named.unwrap_or(&self.caller.attempt)
    }

    /// Returns the time until the deadline of the response head.
    #[must_use]
    pub fn time_to_head_deadline(&self, now: Instant) -> Duration {
        self.head_deadline.saturating_duration_since(now)
    }
}

/// Checks whether a request is allowed, and selects its route and service.
///
/// # Errors
///
/// With the refusal to send to the caller.
pub fn accept(
    gateway: &Gateway,
    connection: &Arc<CallerConnection>,
    head: &request::Parts,
    record: &mut RequestRecord,
) -> Result<AcceptedRequest, Refusal> {
    let Some(config) = gateway.blackboard.config() else {
        return Err(Refusal::NotConfigured);
    };
    record.config_version = config.version;
    let caller = decode(gateway, head, record)?;
    record.take_up.clone_from(&caller.take_up);
    record.prompt = caller.prompt.as_ref().map(|prompt| {
        let shared = prompt.shared_prefix().map_or(0, |p| p.tokens);
        (shared, prompt.suffix_tokens())
    });
    let path = head.uri.path();
    let route = config.routes.find(&caller.host, path).cloned();
    let route = route.ok_or(Refusal::NoRoute)?;
    record.route = Some(Arc::clone(&route.name));
    let workspace = find_workspace(&config, &route, &caller)?;
    record.workspace = workspace.as_ref().map(|w| Arc::clone(&w.name));
    let service = route.select_service(rand::random()).cloned();
    let service = service.ok_or(Refusal::NoServer)?;
    let arrived_at = record.arrived_at();
    let timeout = caller.timeout.unwrap_or(route.timeout);
    record.timeout = Some(timeout.min(route.timeout));
    record.phase = Phase::Body;
    let rank = workspace.as_ref().and_then(|w| w.rank).unwrap_or(route.rank);
    Ok(AcceptedRequest {
        rank,
        queue_priority: queue_priority(rank, route.rank),
        target_at: arrived_at + route.target_latency,
        head_deadline: arrived_at + timeout.min(route.response_head_timeout()),
        deadline: arrived_at + timeout.min(route.timeout),
        caller,
        connection: Arc::clone(connection),
        config,
        service,
        software: None,
        allowed_regions: allowed_regions(&route, workspace.as_ref()),
        route,
        workspace,
    })
}

/// Returns the queue priority of a request. It is ordered by the rank of the
/// workspace first; the rank of the route decides between workspaces of equal
/// rank.
fn queue_priority(rank: u8, route_rank: u8) -> u8 {
    rank.saturating_mul(RANK_COUNT)
        .saturating_add(route_rank.min(RANK_COUNT - 1))
}

/// Returns the regions in which a request may be served. That of an anonymous
/// caller is bound to those of the route alone.
fn allowed_regions(
    route: &Route,
    workspace: Option<&Workspace>,
) -> AllowedRegions {
    let allowed = &route.allowed_regions;
    workspace.map_or_else(
        || allowed.clone(),
        |workspace| allowed.intersection(&workspace.allowed_regions),
    )
}

fn decode(
    gateway: &Gateway,
    head: &request::Parts,
    record: &mut RequestRecord,
) -> Result<CallerRequest, Refusal> {
    match gateway.dialect.decode_caller_request(head) {
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
    let found = caller.api_key.as_ref().and_then(|key| keys.get(key));
    match found {
        Some(workspace) => Ok(Some(workspace.clone())),
        None if route.allow_anonymous => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

/// Reads the whole body of a request, so that it can be sent more than once.
///
/// # Errors
///
/// With the refusal to send to the caller.
pub async fn read_body(
    body: Incoming,
    limits: &CallerLimits,
    connection: &CallerConnection,
) -> Result<Bytes, Refusal> {
    let limit_bytes = limits.max_body_bytes;
    let read = bounded_body::read_caller_body(body, limit_bytes, connection);
    read.await.map_err(|error| match error {
        ReadError::TooLong { .. } => Refusal::BodyTooLong,
        ReadError::Incomplete(_) => Refusal::BodyIncomplete,
        ReadError::MemoryUsedUp(_) => Refusal::MemoryUsedUp,
    })
}
