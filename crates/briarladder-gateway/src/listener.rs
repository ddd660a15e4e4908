//! Accepting connections of callers, peers and the platform's checks.

use std::{convert::Infallible, future::Future, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{context::Gateway, net, peers, request};

/// The wait after a failed accept, for example without free descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// A peer that sends no request for this long is disconnected.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A kept connection of a caller stays open for this long after a planned
/// stop has begun. Within it the next request of most callers comes.
const STOP_LINGER: Duration = Duration::from_millis(1500);

/// The smallest buffer that the HTTP library accepts for a head.
const MIN_HEAD_BYTES: usize = 8192;

/// Told when a planned stop begins.
pub type StopSignal = watch::Receiver<bool>;

/// Accepts connections and serves each in a task of its own.
async fn accept_all<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match net::configure(&stream) {
                Ok(()) => {
                    tokio::task::spawn_local(serve(stream));
                }
                Err(error) => {
                    log::debug!("listener: a new connection ended: {error}");
                }
            },
            Err(error) => {
                log::warn!("listener: accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Serves callers for as long as the process runs.
pub async fn callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    stop: StopSignal,
) {
    accept_all(listener, move |stream| {
        serve_caller(Rc::clone(&gateway), stream, stop.clone())
    })
    .await;
}

async fn serve_caller(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    mut stop: StopSignal,
) {
    let limits = gateway.board.config().map(|c| c.limits).unwrap_or_default();
    let serving = gateway.board.stop().is_none();
    let service = service_fn(|request: Request<Incoming>| {
        let gateway = Rc::clone(&gateway);
        async move { Ok::<_, Infallible>(request::serve(gateway, request).await) }
    });
    // The library counts idle time before a head as time of the head.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BYTES))
        .keep_alive(serving)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stop.changed() => {
            // A request may be on its way. Its answer closes the connection.
            let lingering = connection.as_mut();
            let ended = tokio::time::timeout(STOP_LINGER, lingering).await;
            if let Ok(ended) = ended {
                ended
            } else {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("listener: a caller's connection ended: {error}");
    }
}

/// Serves peers for as long as the process runs.
pub async fn peers(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_all(listener, move |stream| {
        let gateway = Rc::clone(&gateway);
        serve_simple(stream, move |request| {
            peers::server::serve(Rc::clone(&gateway), request)
        })
    })
    .await;
}

/// Tells readiness for as long as the process runs.
pub async fn readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_all(listener, move |stream| {
        let gateway = Rc::clone(&gateway);
        serve_simple(stream, move |_| {
            let ready = gateway.board.is_ready();
            let mut response = Response::new(Full::default());
            if !ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            std::future::ready(Ok(response))
        })
    })
    .await;
}

/// Serves metrics for as long as the process runs.
pub async fn metrics(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_all(listener, move |stream| {
        let gateway = Rc::clone(&gateway);
        serve_simple(stream, move |_| {
            let text = Bytes::from(gateway.metrics.text());
            std::future::ready(Ok(Response::new(Full::new(text))))
        })
    })
    .await;
}

async fn serve_simple<F>(
    stream: TcpStream,
    answer: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Result<Response<Full<Bytes>>, Infallible>>,
{
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PEER_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service_fn(answer))
        .await;
    if let Err(error) = served {
        log::debug!("listener: a connection ended: {error}");
    }
}
