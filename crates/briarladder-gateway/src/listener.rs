//! Accept loops for callers, peers, readiness checks and metrics.

use std::{
    convert::Infallible, future::Future, rc::Rc, sync::Arc, time::Duration,
};

use briarladder_core::fleet::caller_memory::Activity;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    caller_memory::CallerConnection,
    caller_progress::{ConnectionProgress, Stage},
    caller_stream::{self, CallerStream},
    connection_end::{self, ConnectionEnd},
    context::Gateway,
    net, peers, request,
};

/// Pause after a failed accept, for example when no file descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Idle timeout of connections from peers and of readiness and metrics
/// clients.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long idle caller connections stay open after a graceful shutdown has
/// started. Most callers send their next request within this time; its
/// response then closes the connection.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(1500);

/// The smallest head buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8192;

/// Changes when a graceful shutdown starts.
pub type StopSignal = watch::Receiver<bool>;

/// Accepts connections and serves each in its own task.
async fn accept_loop<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        let stream = accept(&listener).await;
        tokio::task::spawn_local(serve(stream));
    }
}

/// Accepts the next connection.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match net::configure(&stream) {
                Ok(()) => return stream,
                Err(error) => {
                    log::debug!(
                        "listener: cannot configure new connection: {error}"
                    );
                }
            },
            Err(error) => {
                log::warn!("listener: accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts connections of callers, as many as there is room for. Never
/// returns.
pub async fn serve_callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    stop: StopSignal,
) {
    loop {
        let stream = accept(&listener).await;
        let connection = gateway.caller_memory.admit().await;
        tokio::task::spawn_local(serve_caller(
            Rc::clone(&gateway),
            connection,
            stream,
            stop.clone(),
        ));
    }
}

/// Serves a connection of a caller until it ends or has to make room.
async fn serve_caller(
    gateway: Rc<Gateway>,
    connection: Arc<CallerConnection>,
    mut stream: TcpStream,
    stop: StopSignal,
) {
    let progress = Rc::new(ConnectionProgress::new(gateway.blackboard.now()));
    let serving = async {
        let end = serve_requests(
            &gateway,
            &connection,
            &progress,
            &mut stream,
            stop,
        )
        .await;
        // A response before an unread body announces the end of its
        // connection. Behind any other end, nothing is discarded.
        let discards =
            connection.has_unread_body() && progress.stage() != Stage::Request;
        if !discards {
            return connection_end::report(&gateway, &progress, &end);
        }
        connection.set_activity(Activity::Closing);
        let mut discarded = caller_stream::discard_rest(&stream).await;
        // hyper has read a part of the rest of the body.
        discarded.bytes += progress.received_bytes();
        connection_end::report_discarded(&gateway, discarded);
    };
    let closed = async {
        connection.wait_closed().await;
        // Before the request that is being served is dropped.
        connection_end::report(&gateway, &progress, &ConnectionEnd::NoRoom);
    };
    tokio::select! {
        () = serving => {}
        () = closed => {}
    }
}

async fn serve_requests(
    gateway: &Rc<Gateway>,
    caller: &Arc<CallerConnection>,
    progress: &Rc<ConnectionProgress>,
    stream: &mut TcpStream,
    mut stop: StopSignal,
) -> ConnectionEnd {
    let limits =
        gateway.blackboard.config().map(|c| c.limits).unwrap_or_default();
    let serving = gateway.blackboard.shutdown().is_none();
    let service = service_fn(|request: Request<Incoming>| {
        let gateway = Rc::clone(gateway);
        let caller = Arc::clone(caller);
        let progress = Rc::clone(progress);
        async move {
            let response =
                request::serve(gateway, caller, progress, request).await;
            Ok::<_, Infallible>(response)
        }
    });
    let stream = CallerStream::new(stream, caller, progress);
    // hyper starts the header timeout when the connection becomes idle, so the
    // idle timeout covers both.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BYTES))
        .keep_alive(serving)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stop.changed() => {
            // The caller may have sent another request already. The response
            // to it closes the connection.
            let lingering = connection.as_mut();
            let result =
                tokio::time::timeout(SHUTDOWN_LINGER, lingering).await;
            if let Ok(result) = result {
                result
            } else {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    match result {
        Ok(()) if gateway.blackboard.shutdown().is_some() => {
            ConnectionEnd::Stop
        }
        Ok(()) => ConnectionEnd::Finished,
        Err(error) if error.is_timeout() => {
            ConnectionEnd::Timeout { limit: limits.idle_timeout }
        }
        Err(error) => ConnectionEnd::Error(error.to_string()),
    }
}

/// Accepts connections of other daemons. Never returns.
pub async fn serve_peers(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_loop(listener, move |stream| {
        let gateway = Rc::clone(&gateway);
        serve_http(stream, move |request| {
            peers::server::serve(Rc::clone(&gateway), request)
        })
    })
    .await;
}

/// Serves the readiness endpoint: 200 if callers may be sent here, else 503.
/// Never returns.
pub async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_loop(listener, move |stream| {
        let gateway = Rc::clone(&gateway);
        serve_http(stream, move |_| {
            let ready = gateway.blackboard.reports_ready();
            let mut response = Response::new(Full::default());
            if !ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            std::future::ready(Ok(response))
        })
    })
    .await;
}

/// Serves the metrics endpoint. Never returns.
pub async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_loop(listener, move |stream| {
        let gateway = Rc::clone(&gateway);
        serve_http(stream, move |_| {
            gateway.metrics.set_callers(gateway.caller_memory.status());
            let text = Bytes::from(gateway.metrics.text());
            std::future::ready(Ok(Response::new(Full::new(text))))
        })
    })
    .await;
}

async fn serve_http<F>(
    stream: TcpStream,
    respond: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Result<Response<Full<Bytes>>, Infallible>>,
{
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PEER_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service_fn(respond))
        .await;
    if let Err(error) = result {
        log::debug!("listener: connection closed: {error}");
    }
}
