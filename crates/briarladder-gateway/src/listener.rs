//! Accept loops for callers, peers, readiness checks and metrics.

use std::{
    convert::Infallible,
    future::{Future, pending, poll_fn},
    pin::{Pin, pin},
    rc::Rc,
    sync::Arc,
    task::Poll,
    time::Duration,
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
    time::sleep_until,
};

use crate::{
    caller_memory::CallerConnection,
    caller_progress::{ConnectionProgress, ReceiveLimit, Stage},
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

/// The smallest head buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8192;

/// How far the process is in its graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopPhase {
    /// No shutdown has begun.
    Serving,
    /// A shutdown has begun.
    Stopping,
    /// The process is about to exit.
    Exiting,
}

/// Tells connections of callers about a graceful shutdown.
pub type StopSignal = watch::Receiver<StopPhase>;

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
    let blackboard = &gateway.blackboard;
    let limits = blackboard.caller_limits();
    let progress = ConnectionProgress::new(blackboard.now(), &limits);
    let progress = Rc::new(progress);
    let exiting = report_at_exit(&gateway, &progress, stop.clone());
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
        let _awaited = AwaitedConnection::new(&gateway);
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
        // No request is read after the signal, which would be lost.
        biased;
        () = closed => {}
        () = serving => {}
        () = exiting => {}
    }
}

/// Reports what the exit of the process cuts off on a connection. Never
/// returns, since the exit ends what is still being served.
async fn report_at_exit(
    gateway: &Gateway,
    progress: &ConnectionProgress,
    mut stop: StopSignal,
) {
    let exiting = stop.wait_for(|phase| *phase == StopPhase::Exiting).await;
    if exiting.is_ok() {
        connection_end::report(gateway, progress, &ConnectionEnd::Stop);
    }
    pending::<()>().await;
}

async fn serve_requests(
    gateway: &Rc<Gateway>,
    caller: &Arc<CallerConnection>,
    progress: &Rc<ConnectionProgress>,
    stream: &mut TcpStream,
    mut stop: StopSignal,
) -> ConnectionEnd {
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
    let mut read_ahead = Bytes::new();
    // One turn for each limit of heads, which hyper can't change.
    loop {
        let limits = gateway.blackboard.caller_limits();
        let max_head_bytes = limits.max_header_bytes;
        let stream = CallerStream::new(stream, caller, progress, read_ahead);
        let mut connection = http1::Builder::new()
            .max_buf_size(max_head_bytes.max(MIN_HEAD_BYTES))
            .keep_alive(serving)
            .serve_connection(TokioIo::new(stream), service);
        let served = tokio::select! {
            served = serve_in_time(
                Pin::new(&mut connection),
                gateway,
                caller,
                progress,
                max_head_bytes,
            ) => served,
            _ = stop.changed() => {
                let _awaited = serving.then(|| AwaitedConnection::new(gateway));
                serve_in_time(
                    Pin::new(&mut connection),
                    gateway,
                    caller,
                    progress,
                    max_head_bytes,
                )
                .await
            }
        };
        match served {
            Served::Ended(end) => return end,
            Served::HeadLimitRaised => {
                let parts = connection.into_parts();
                let stream = parts.io.into_inner();
                read_ahead = stream.into_unread(parts.read_buf);
            }
        }
    }
}

/// A connection that the process must not cut off by its exit: no answer has
/// announced its end to the caller, or the caller still sends a body.
struct AwaitedConnection(Rc<Gateway>);

impl AwaitedConnection {
    fn new(gateway: &Rc<Gateway>) -> AwaitedConnection {
        let count = &gateway.blackboard.awaited_connections;
        count.set(count.get() + 1);
        AwaitedConnection(Rc::clone(gateway))
    }
}

impl Drop for AwaitedConnection {
    fn drop(&mut self) {
        let count = &self.0.blackboard.awaited_connections;
        count.set(count.get() - 1);
    }
}

/// Why a connection is no longer served with a limit of heads.
enum Served {
    /// It ends.
    Ended(ConnectionEnd),
    /// A higher limit is in force, and no request has begun.
    HeadLimitRaised,
}

/// Serves a connection until it ends, nothing more of a request arrives in
/// time, or the limit of heads is raised. The limits are those in force at
/// that moment, since callers go by them. hyper's own timeout is fixed when a
/// connection is accepted, and is one for idle connections and heads.
async fn serve_in_time(
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    gateway: &Gateway,
    caller: &CallerConnection,
    progress: &ConnectionProgress,
    max_head_bytes: usize,
) -> Served {
    let blackboard = &gateway.blackboard;
    let mut timer = pin!(sleep_until(blackboard.now().into()));
    poll_fn(|cx| {
        let limits = blackboard.caller_limits();
        // Before what has arrived is read.
        if limits.max_header_bytes > max_head_bytes
            && progress.is_between_requests()
            // hyper has yet to end the connection behind such a body.
            && !caller.has_unread_body()
            && blackboard.shutdown().is_none()
        {
            return Poll::Ready(Served::HeadLimitRaised);
        }
        // Before the timer, so that what has arrived by now is read.
        if let Poll::Ready(result) = connection.as_mut().poll(cx) {
            let end = match result {
                Ok(()) if blackboard.shutdown().is_some() => {
                    ConnectionEnd::Stop
                }
                Ok(()) => ConnectionEnd::Finished,
                Err(error) => ConnectionEnd::Error(error.to_string()),
            };
            return Poll::Ready(Served::Ended(end));
        }
        let Some(deadline) = progress.deadline(&limits, blackboard.shutdown())
        else {
            return Poll::Pending;
        };
        if timer.deadline() != deadline.at.into() {
            timer.as_mut().reset(deadline.at.into());
        }
        let end = match deadline.limit {
            ReceiveLimit::Configured(limit) => {
                ConnectionEnd::Timeout { limit }
            }
            ReceiveLimit::Shutdown => ConnectionEnd::Stop,
        };
        timer.as_mut().poll(cx).map(|()| Served::Ended(end))
    })
    .await
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

/// Serves HTTP on a connection, which a response may hand over to another
/// protocol.
pub(crate) async fn serve_http<F>(
    stream: TcpStream,
    respond: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Result<Response<Full<Bytes>>, Infallible>>,
{
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PEER_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service_fn(respond))
        .with_upgrades()
        .await;
    if let Err(error) = result {
        log::debug!("listener: connection closed: {error}");
    }
}
