//! Describes errors that no call of the interface raised, such as an unknown
//! path, as problem details.

use briarladder_wire::callers::{Outcome, Problem};
use salvo::{Response, handler, http::StatusCode};

use super::respond;

/// Writes problem details for a response that has only a status.
#[handler]
pub(super) fn write_problem(response: &mut Response) {
    let status = response.status_code.unwrap_or(StatusCode::NOT_FOUND);
    let (title, detail) = match status {
        StatusCode::NOT_FOUND => (
            "There is no such call",
            "the path is not part of the interface; docs/callers.md lists \
             the calls",
        ),
        StatusCode::METHOD_NOT_ALLOWED => (
            "The method is not allowed",
            "the call exists with another method; docs/callers.md lists the \
             calls",
        ),
        _ => (
            "The request can't be processed",
            "the request was not understood; docs/callers.md describes the \
             calls",
        ),
    };
    let problem = Problem {
        kind: "/problems/unknown-call".into(),
        title: title.into(),
        status: status.as_u16(),
        detail: detail.into(),
        outcome: Outcome::NotRun,
        request_id: None,
        retry_after_ms: None,
    };
    respond::problem(response, &problem);
}
