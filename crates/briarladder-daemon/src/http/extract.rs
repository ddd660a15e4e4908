//! Extracts the head and body of a request, within size and time limits.

use std::{str::FromStr, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::caller_memory::Activity,
    ids::RequestId,
    names::{CallerName, PipelineName, WorkspaceName},
};
use briarladder_gateway::{
    bounded_body::{ReadError, read_caller_body},
    caller_memory::{CallerConnection, Charge},
};
use briarladder_wire::{
    backend::IDEMPOTENCY_KEY_HEADER,
    callers::{
        CALLER_HEADER, DEADLINE_HEADER, RANK_HEADER, REQUEST_ID_HEADER,
        RequestHead, WORKSPACE_HEADER,
    },
};
use salvo::Request;
use serde_json::value::RawValue;

use crate::{
    daemon::Daemon,
    refusal::{Refusal, RefusalKind},
};

/// The caller of requests without a caller header.
const DEFAULT_CALLER: &str = "default";

/// When a caller should try again for whose request there is no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Reads the headers that describe a request.
///
/// # Errors
///
/// Returns a refusal for the first header that is missing or not valid.
pub(super) fn head(
    request: &Request,
    pipeline: &str,
) -> Result<RequestHead, Refusal> {
    let pipeline = PipelineName::new(pipeline)
        .map_err(|error| invalid(error.to_string()))?;
    let key = header_text(request, IDEMPOTENCY_KEY_HEADER)?;
    if key.is_some_and(|key| key.len() > MAX_KEY_BYTES) {
        return Err(invalid(format!(
            "header {IDEMPOTENCY_KEY_HEADER} is longer than {MAX_KEY_BYTES} \
             bytes; use a shorter key"
        )));
    }
    Ok(RequestHead {
        request_id: request_id(request)?.unwrap_or_else(RequestId::random),
        pipeline,
        workspace: workspace(request)?,
        caller: match parsed(request, CALLER_HEADER)? {
            Some(caller) => caller,
            // OK because the default is a valid name.
            None => CallerName::new(DEFAULT_CALLER).unwrap(),
        },
        rank: parsed(request, RANK_HEADER)?,
        deadline_ms: parsed(request, DEADLINE_HEADER)?,
        idempotency_key: key.map(Arc::from),
    })
}

/// Reads the request identifier, if the caller chose one.
///
/// # Errors
///
/// Returns a refusal when the identifier is not valid.
pub(super) fn request_id(
    request: &Request,
) -> Result<Option<RequestId>, Refusal> {
    parsed(request, REQUEST_ID_HEADER)
}

/// Reads the workspace, which every request must name.
///
/// # Errors
///
/// Returns a refusal when the header is missing or not valid.
pub(super) fn workspace(request: &Request) -> Result<WorkspaceName, Refusal> {
    parsed(request, WORKSPACE_HEADER)?.ok_or_else(|| {
        invalid(format!(
            "header {WORKSPACE_HEADER} is missing; set it to the name of \
             your workspace"
        ))
    })
}

/// The memory of a request's body, which is released when dropped.
#[derive(Debug)]
pub(super) struct HeldBody {
    _charge: Charge,
    _connection: Arc<CallerConnection>,
}

/// Reads a JSON body, whose memory is charged to its caller.
///
/// # Errors
///
/// Returns a refusal when the body is larger than the limit, takes longer
/// than the receive timeout, is not JSON, or there is no memory for it.
pub(super) async fn body(
    request: &mut Request,
    daemon: &Daemon,
) -> Result<(Arc<RawValue>, HeldBody), Refusal> {
    let settings = &daemon.settings;
    let max_bytes = settings.max_body_bytes;
    let timeout = settings.receive_timeout();
    let connection = daemon.caller_memory.open();
    connection.set_activity(Activity::Receiving);
    let body = request.take_body();
    let read = read_caller_body(body, max_bytes, &connection);
    let read = tokio::time::timeout(timeout, read).await;
    let bytes = match read {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ReadError::TooLong { .. })) => {
            return Err(Refusal::new(
                RefusalKind::TooLarge,
                format!(
                    "the body is larger than {max_bytes} bytes; send a \
                     smaller one"
                ),
            ));
        }
        Ok(Err(ReadError::MemoryUsedUp(_))) => return Err(memory_used_up()),
        Ok(Err(ReadError::Incomplete(error))) => {
            return Err(invalid(format!("the body can't be read: {error}")));
        }
        Err(_) => {
            return Err(Refusal::new(
                RefusalKind::TooSlow,
                format!(
                    "the body took longer than {} ms; send it faster",
                    timeout.as_millis()
                ),
            ));
        }
    };
    connection.set_activity(Activity::Running);
    // The value is copied when it becomes shared.
    let mut charge =
        connection.charge(bytes.len() * 2).map_err(|_| memory_used_up())?;
    let json: Box<RawValue> =
        serde_json::from_slice(&bytes).map_err(|error| {
            invalid(format!(
                "the body is not JSON: {error}; send one JSON value"
            ))
        })?;
    let json = Arc::from(json);
    // Fewer bytes always fit.
    let _ = charge.resize(bytes.len());
    let held = HeldBody { _charge: charge, _connection: connection };
    Ok((json, held))
}

fn memory_used_up() -> Refusal {
    Refusal::new(
        RefusalKind::Overloaded,
        "the memory for requests is used up; try again later",
    )
    .with_retry_after(MEMORY_RETRY_AFTER)
}

/// Returns the value of a header, if it is present.
///
/// # Errors
///
/// Returns a refusal when the value is not ASCII.
pub(super) fn header_text<'a>(
    request: &'a Request,
    name: &str,
) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = request.headers().get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| {
        invalid(format!("header {name} has characters that are not ASCII"))
    })?;
    Ok(Some(text))
}

fn parsed<T: FromStr<Err: std::fmt::Display>>(
    request: &Request,
    name: &str,
) -> Result<Option<T>, Refusal> {
    let Some(text) = header_text(request, name)? else { return Ok(None) };
    text.parse()
        .map(Some)
        .map_err(|error| invalid(format!("header {name}: {error}")))
}

fn invalid(detail: String) -> Refusal {
    Refusal::new(RefusalKind::InvalidRequest, detail)
}
