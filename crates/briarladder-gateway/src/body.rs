//! Bodies of responses to callers.
//!
//! A relayed body forwards each frame as it arrives. If the server's body
//! breaks off or the request's deadline passes, it ends with an error, which
//! closes the caller's connection, so that a truncated response never looks
//! complete.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use briarladder_core::fleet::{
    answer_progress::AnswerProgress, caller_memory::Activity,
    event_splitter::EventBoundary, server::ListedServer,
};
use bytes::Bytes;
use derive_more::{Display, Error};
use http::StatusCode;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::{
    sync::mpsc,
    time::{Sleep, sleep_until},
};

use crate::{
    caller_memory::{CallerConnection, RunCharge},
    caller_progress::ConnectionProgress,
    in_flight::InFlightGuard,
    pool::PooledConnection,
    request::{
        connection_end::DoubtfulEnd,
        framing::Framing,
        outgoing::{OutgoingRequest, ServerResponse},
        record::RequestRecord,
    },
};

/// The cause in the log of a stream that can't be complete although its body
/// ended without an error.
pub const STREAM_CUT_CAUSE: &str = "the stream ended before or in an event";

/// Why a response body ended early.
#[derive(Debug, Display, Error)]
pub enum RelayError {
    /// The server's body ended early.
    #[display("the server's response ended early: {_0}")]
    Server(#[error(not(source))] String),
    /// The request's deadline passed.
    #[display("the response did not end by the request's deadline")]
    Timeout,
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is held in memory; `None` once it was sent or if it is
    /// empty.
    Full(Option<Bytes>),
    /// A server's body, forwarded as it arrives.
    Relayed(Box<RelayedBody>),
    /// An event stream that several servers may produce in turn.
    Resumable(ResumableBody),
}

impl ResponseBody {
    /// Creates a body from bytes in memory.
    #[must_use]
    pub fn full(bytes: Bytes) -> ResponseBody {
        ResponseBody::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

/// An event stream whose events are sent by a relay task.
#[derive(Debug)]
pub struct ResumableBody {
    events: mpsc::Receiver<Result<Bytes, RelayError>>,
}

impl ResumableBody {
    /// Creates a body that ends when the sender is dropped.
    #[must_use]
    pub fn new(
        events: mpsc::Receiver<Result<Bytes, RelayError>>,
    ) -> ResumableBody {
        ResumableBody { events }
    }
}

/// A body that forwards a server's body.
pub struct RelayedBody {
    /// The part that was read already and is forwarded first.
    buffered: Bytes,
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    connection: Option<PooledConnection>,
    idle_timeout: Option<Duration>,
    record: RequestRecord,
    outgoing: OutgoingRequest,
    server: Arc<ListedServer>,
    progress: AnswerProgress,
    boundary: EventBoundary,
    framing: Framing,
    status: StatusCode,
    /// Tells whether the body may be cut off, once it has ended with its
    /// connection.
    end_check: Option<Pin<Box<dyn Future<Output = Option<DoubtfulEnd>>>>>,
    _in_flight: InFlightGuard,
}

impl fmt::Debug for RelayedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay").finish_non_exhaustive()
    }
}

impl RelayedBody {
    /// Creates the body of a response, which must end by the request's
    /// deadline.
    #[must_use]
    pub fn new(
        outgoing: OutgoingRequest,
        server: Arc<ListedServer>,
        response: ServerResponse,
        record: RequestRecord,
        in_flight: InFlightGuard,
    ) -> RelayedBody {
        let framing = response.framing();
        let status = response.head.status;
        let ServerResponse { info, buffered, body, connection, .. } = response;
        let deadline = sleep_until(outgoing.accepted.deadline.into());
        RelayedBody {
            buffered,
            incoming: body,
            deadline: Box::pin(deadline),
            connection: Some(connection),
            idle_timeout: info.idle_timeout,
            record,
            outgoing,
            server,
            progress: AnswerProgress::default(),
            boundary: EventBoundary::default(),
            framing,
            status,
            end_check: None,
            _in_flight: in_flight,
        }
    }

    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if !self.buffered.is_empty() {
            let bytes = std::mem::take(&mut self.buffered);
            self.record_bytes(&bytes);
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.end_check.is_some() {
            return self.poll_end_check(cx);
        }
        let frame = Pin::new(&mut self.incoming).poll_frame(cx);
        match frame {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.record_bytes(data);
                }
                if self.is_complete() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let error = self.break_off(error.to_string());
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) if self.is_cut() => {
                let error = self.break_off(STREAM_CUT_CAUSE.to_owned());
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) if self.framing == Framing::ConnectionClose => {
                let outgoing = self.outgoing.clone();
                let server = Arc::clone(&self.server);
                let (framing, status) = (self.framing, self.status);
                let upload =
                    self.connection.as_ref().map(PooledConnection::upload);
                let check = async move {
                    let upload = upload?;
                    let doubt = outgoing
                        .doubtful_end(&server, framing, status, &upload);
                    doubt.await
                };
                self.end_check = Some(Box::pin(check));
                self.poll_end_check(cx)
            }
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.deadline.as_mut().poll(cx).is_ready() {
                    self.connection = None;
                    self.record.set_outcome("time_out_midway");
                    return Poll::Ready(Some(Err(RelayError::Timeout)));
                }
                Poll::Pending
            }
        }
    }

    /// Ends the body as complete, unless it may be cut off.
    fn poll_end_check(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let doubt = match &mut self.end_check {
            Some(check) => ready!(check.as_mut().poll(cx)),
            None => None,
        };
        if let Some(doubt) = doubt {
            let error = self.break_off(doubt.to_string());
            return Poll::Ready(Some(Err(error)));
        }
        self.complete();
        Poll::Ready(None)
    }

    /// Returns whether the body is a stream that is within an event, or that
    /// may end because its server has crashed before the first one.
    fn is_cut(&self) -> bool {
        let no_events = self.framing == Framing::ConnectionClose
            && !self.boundary.has_bytes();
        self.outgoing.accepted.route.kind.is_stream()
            && (no_events || !self.boundary.is_between_events())
    }

    /// Returns whether all of the body was received.
    fn is_complete(&self) -> bool {
        self.buffered.is_empty()
            && self.incoming.is_end_stream()
            && !self.is_cut()
    }

    /// Ends the body because the server's body broke off.
    fn break_off(&mut self, cause: String) -> RelayError {
        self.connection = None;
        self.outgoing.record_crash(&self.server, self.progress.phase());
        self.record.record_truncated(&cause);
        RelayError::Server(cause)
    }

    fn size_hint(&self) -> SizeHint {
        // The remaining length is known only if no chunk was read yet. A
        // stream gets no length: it must be possible to break it off even
        // after its last byte.
        let known = self.buffered.is_empty()
            && !self.outgoing.accepted.route.kind.is_stream();
        if known { self.incoming.size_hint() } else { SizeHint::default() }
    }

    fn record_bytes(&mut self, bytes: &[u8]) {
        self.record.add_relayed_bytes(bytes.len());
        self.boundary.push(bytes);
        let now = self.outgoing.gateway.blackboard.now();
        if self.progress.record_bytes(now) {
            self.outgoing.record_answer_underway();
        }
    }

    fn complete(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.return_to_pool(self.idle_timeout);
        }
        self.outgoing.record_success();
        self.record.set_outcome("answered");
    }
}

/// The body of a response on a caller's connection, which is idle once the
/// body has been sent.
#[derive(Debug)]
pub struct CallerBody {
    body: ResponseBody,
    connection: Arc<CallerConnection>,
    progress: Rc<ConnectionProgress>,
    has_ended: bool,
    /// What a relay may buffer. Without room for it, the reply is passed on
    /// nevertheless, since its request has run.
    _charge: Option<RunCharge>,
}

impl CallerBody {
    /// Creates the body of a response on a connection.
    #[must_use]
    pub fn new(
        body: ResponseBody,
        connection: Arc<CallerConnection>,
        progress: Rc<ConnectionProgress>,
    ) -> CallerBody {
        let charge = match &body {
            ResponseBody::Full(_) => None,
            ResponseBody::Relayed(_) | ResponseBody::Resumable(_) => {
                connection.charge_relay().ok()
            }
        };
        let has_ended = false;
        CallerBody { body, connection, progress, has_ended, _charge: charge }
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if self.has_ended || self.body.is_end_stream() {
            self.progress.record_handed_over();
        }
        self.connection.set_activity(Activity::Idle);
        self.progress.record_answered(self.connection.now());
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        self.has_ended |= matches!(frame, Poll::Ready(None));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match &mut *self {
            ResponseBody::Full(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Relayed(relay) => relay.poll(cx),
            ResponseBody::Resumable(body) => body
                .events
                .poll_recv(cx)
                .map(|event| event.map(|event| event.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.is_none(),
            ResponseBody::Relayed(relay) => relay.is_complete(),
            ResponseBody::Resumable(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| {
                    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
                }))
            }
            ResponseBody::Relayed(relay) => relay.size_hint(),
            ResponseBody::Resumable(_) => SizeHint::default(),
        }
    }
}
