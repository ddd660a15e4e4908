//! Says in a response that its connection ends, where the request's body was
//! not read: the HTTP server then reads no other request from it.

use briarladder_gateway::bounded_body::skip_arrived;
use salvo::{
    Depot, FlowCtrl, Request, Response, handler,
    http::{Body, HeaderValue, header},
};

/// Runs the handlers of a request. If none has read its body, the connection
/// is kept only if all of it has already arrived.
#[handler]
pub(super) async fn announce_end(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
    flow: &mut FlowCtrl,
) {
    flow.call_next(request, depot, response).await;
    if request.body().is_end_stream() {
        return;
    }
    // Reading would ask a caller that waits for permission for its body.
    let waits = request.headers().contains_key(header::EXPECT);
    if waits || !skip_arrived(request.take_body()).await {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
}
