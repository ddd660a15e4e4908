//! Extracts the head and body of a request, within size and time limits.

use std::{str::FromStr, sync::Arc, time::Duration};

use briarladder_core::{
    ids::RequestId,
    names::{CallerName, PipelineName, WorkspaceName},
};
use briarladder_wire::{
    backend::IDEMPOTENCY_KEY_HEADER,
    callers::{
        CALLER_HEADER, DEADLINE_HEADER, RANK_HEADER, REQUEST_ID_HEADER,
        RequestHead, WORKSPACE_HEADER,
    },
};
use salvo::{Request, http::ParseError};
use serde_json::value::RawValue;

use crate::refusal::{Refusal, RefusalKind};

/// The caller of requests without a caller header.
const DEFAULT_CALLER: &str = "default";

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

/// Reads a JSON body.
///
/// # Errors
///
/// Returns a refusal when the body is larger than `max_bytes`, takes longer
/// than `timeout` or is not JSON.
pub(super) async fn body(
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Arc<RawValue>, Refusal> {
    let read = request.payload_with_max_size(max_bytes);
    let read = tokio::time::timeout(timeout, read).await;
    let bytes = match read {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ParseError::PayloadTooLarge)) => {
            return Err(Refusal::new(
                RefusalKind::TooLarge,
                format!(
                    "the body is larger than {max_bytes} bytes; send a \
                     smaller one"
                ),
            ));
        }
        Ok(Err(error)) => {
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
    let json: Box<RawValue> =
        serde_json::from_slice(bytes).map_err(|error| {
            invalid(format!(
                "the body is not JSON: {error}; send one JSON value"
            ))
        })?;
    Ok(Arc::from(json))
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
