//! A stand-in for the platform: manifest, chunks and the list of VMs.
//!
//! The manifest and the chunks are opaque text that the test sets.
//!
//! # Example
//!
//! ```
//! use briarladder_standins::platform::{
//!     Chunk, Platform, PlatformFault, PlatformSettings,
//! };
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let platform = Platform::start(PlatformSettings::default()).await?;
//! let chunk = Chunk { digest: "00ff".into(), text: "[]".into() };
//! platform.publish(1, r#"{"epoch": 1}"#, &[chunk]);
//! platform.set_fault(PlatformFault::RefuseConnections).await?;
//! platform.set_fault(PlatformFault::None).await?;
//! # Ok(())
//! # }
//! ```

use std::{
    future, io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use briarladder_core::sorted::SortedMap;
use briarladder_wire::platform::{Vm, VmList, WATCH_TIMEOUT};
use bytes::Bytes;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode,
};
use tokio::sync::watch;

use crate::{
    listener::{Cutter, Listener},
    reply,
    server::lock,
};

/// Settings of a [`Platform`].
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The port on 127.0.0.1; 0 for a free one.
    pub port: u16,
    /// The longest time that a watch waits.
    pub watch_timeout: Duration,
    /// How long a change of the list of VMs stays invisible.
    pub vm_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        let vm_lag = Duration::ZERO;
        PlatformSettings { port: 0, watch_timeout: WATCH_TIMEOUT, vm_lag }
    }
}

/// A chunk as it is published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The digest under which it is fetched.
    pub digest: String,
    /// The JSON text.
    pub text: String,
}

/// What is wrong with the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformFault {
    /// Nothing.
    #[default]
    None,
    /// Connections are refused, and open ones are cut.
    RefuseConnections,
    /// Calls are accepted and never answered.
    Hang,
    /// Every answer takes longer by this time.
    Slow(Duration),
    /// Every call is answered with this status.
    Status(u16),
}

/// The calls that reached the platform. A waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads and watches of the manifest.
    pub manifest: u64,
    /// Reads of chunks.
    pub chunks: u64,
    /// Reads and watches of the list of VMs.
    pub vms: u64,
}

impl CallCounts {
    /// Returns the calls of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.manifest + self.chunks + self.vms
    }
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    state: Arc<State>,
    listener: Listener,
}

impl Platform {
    /// Starts a platform that has published nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub async fn start(settings: PlatformSettings) -> io::Result<Platform> {
        let state = Arc::new(State {
            watch_wait: settings.watch_timeout,
            vm_lag: Mutex::new(settings.vm_lag),
            manifest: watch::Sender::default(),
            vms: watch::Sender::default(),
            chunks: Mutex::default(),
            withheld: Mutex::default(),
            vms_version: AtomicU64::new(0),
            fault: watch::Sender::default(),
            counts: Mutex::default(),
        });
        let entry = Entry(state.clone());
        let listener =
            Listener::start(settings.port, Cutter::default(), entry).await?;
        Ok(Platform { state, listener })
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Publishes a manifest and adds chunks; watches below the epoch wake.
    /// Earlier chunks stay available. The epoch may also go back, which the
    /// real platform does not do.
    pub fn publish(&self, epoch: u64, manifest_json: &str, chunks: &[Chunk]) {
        for chunk in chunks {
            let text = Bytes::copy_from_slice(chunk.text.as_bytes());
            lock(&self.state.chunks).insert(chunk.digest.clone(), text);
        }
        let text = Bytes::copy_from_slice(manifest_json.as_bytes());
        let published = Published { version: epoch, text };
        let mut withheld = lock(&self.state.withheld);
        if withheld.stale {
            withheld.latest = Some(published);
        } else {
            self.state.manifest.send_replace(published);
        }
    }

    /// While stale, the platform keeps serving the epoch it serves now.
    /// What is published meanwhile appears when it is no longer stale.
    pub fn set_stale(&self, stale: bool) {
        let mut withheld = lock(&self.state.withheld);
        withheld.stale = stale;
        if !stale && let Some(latest) = withheld.latest.take() {
            self.state.manifest.send_replace(latest);
        }
    }

    /// Sets the list of VMs. It becomes visible after the lag, as the next
    /// version.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let version =
            self.state.vms_version.fetch_add(1, Ordering::AcqRel) + 1;
        let text = reply::to_json(&VmList { version, vms }).into();
        let published = Published { version, text };
        let lag = *lock(&self.state.vm_lag);
        if lag.is_zero() {
            self.state.show_vms(published);
        } else {
            let state = self.state.clone();
            tokio::spawn(async move {
                tokio::time::sleep(lag).await;
                state.show_vms(published);
            });
        }
    }

    /// Sets the lag of later changes of the list of VMs.
    pub fn set_vm_lag(&self, lag: Duration) {
        *lock(&self.state.vm_lag) = lag;
    }

    /// Sets what is wrong. Watches that wait are cut by
    /// [`PlatformFault::RefuseConnections`] and left without answer by
    /// [`PlatformFault::Hang`]; the other faults apply to new calls.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound again after
    /// [`PlatformFault::RefuseConnections`].
    pub async fn set_fault(&self, fault: PlatformFault) -> io::Result<()> {
        let before = self.state.fault.send_replace(fault);
        match (before, fault) {
            (
                PlatformFault::RefuseConnections,
                PlatformFault::RefuseConnections,
            ) => {}
            (_, PlatformFault::RefuseConnections) => {
                self.listener.stop().await
            }
            (PlatformFault::RefuseConnections, _) => {
                self.listener.restart().await?
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns the calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        *lock(&self.state.counts)
    }

    /// Stops the platform and cuts all connections.
    pub async fn stop(&self) {
        self.listener.stop().await;
    }
}

/// A versioned text; version 0 is unpublished.
#[derive(Clone, Debug, Default)]
struct Published {
    version: u64,
    text: Bytes,
}

/// What is not shown while the platform is stale.
#[derive(Debug, Default)]
struct Withheld {
    stale: bool,
    latest: Option<Published>,
}

#[derive(Debug)]
struct State {
    watch_wait: Duration,
    vm_lag: Mutex<Duration>,
    manifest: watch::Sender<Published>,
    vms: watch::Sender<Published>,
    chunks: Mutex<SortedMap<String, Bytes>>,
    withheld: Mutex<Withheld>,
    vms_version: AtomicU64,
    fault: watch::Sender<PlatformFault>,
    counts: Mutex<CallCounts>,
}

impl State {
    fn show_vms(&self, published: Published) {
        // A shorter lag may let a later list overtake an earlier one.
        self.vms.send_if_modified(|shown| {
            let newer = published.version > shown.version;
            if newer {
                *shown = published;
            }
            newer
        });
    }

    /// Answers a read, or a watch for a version above `after`.
    async fn watch(
        &self,
        source: &watch::Sender<Published>,
        after: Option<u64>,
        res: &mut Response,
    ) {
        let mut receiver = source.subscribe();
        let above = after.unwrap_or(0);
        let wait = after.map_or(Duration::ZERO, |_| self.watch_wait);
        let found = tokio::time::timeout(
            wait,
            receiver.wait_for(|published| published.version > above),
        );
        let found = match found.await {
            // The sender lives as long as the state.
            Ok(published) => published.ok().map(|p| p.text.clone()),
            Err(_) => None,
        };
        match found {
            Some(text) => reply::json_bytes(res, text),
            None => drop(res.status_code(StatusCode::NO_CONTENT)),
        }
    }

    async fn answer(&self, req: &Request, res: &mut Response) {
        let call = Call::from_path(req.uri().path());
        self.count(&call);
        if self.apply_fault(res).await {
            return;
        }
        let after = reply::query_number(req, "after");
        match call {
            Call::Manifest => self.watch(&self.manifest, after, res).await,
            Call::Vms => self.watch(&self.vms, after, res).await,
            Call::Chunk(digest) => {
                let chunk = lock(&self.chunks).get(digest).cloned();
                if let Some(text) = chunk {
                    return reply::json_bytes(res, text);
                }
                let cause = "no chunk with this digest";
                reply::status(res, StatusCode::NOT_FOUND, cause);
            }
            Call::Other => {
                reply::status(res, StatusCode::NOT_FOUND, "no such call");
            }
        }
        if *self.fault.borrow() == PlatformFault::Hang {
            future::pending::<()>().await;
        }
    }

    fn count(&self, call: &Call<'_>) {
        let mut counts = lock(&self.counts);
        match call {
            Call::Manifest => counts.manifest += 1,
            Call::Vms => counts.vms += 1,
            Call::Chunk(_) => counts.chunks += 1,
            Call::Other => {}
        }
    }

    /// Returns whether the fault has answered the call.
    async fn apply_fault(&self, res: &mut Response) -> bool {
        let fault = *self.fault.borrow();
        match fault {
            PlatformFault::None => false,
            PlatformFault::RefuseConnections | PlatformFault::Hang => {
                future::pending().await
            }
            PlatformFault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                false
            }
            PlatformFault::Status(code) => {
                let code = StatusCode::from_u16(code)
                    .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                reply::status(res, code, "fault: status");
                true
            }
        }
    }
}

/// A call by its path.
#[derive(Clone, Copy, Debug)]
enum Call<'a> {
    Manifest,
    Chunk(&'a str),
    Vms,
    Other,
}

impl Call<'_> {
    fn from_path(path: &str) -> Call<'_> {
        match path {
            "/v1/manifest" => Call::Manifest,
            "/v1/vms" => Call::Vms,
            _ => path
                .strip_prefix("/v1/chunks/")
                .map_or(Call::Other, Call::Chunk),
        }
    }
}

struct Entry(Arc<State>);

#[async_trait]
impl Handler for Entry {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.0.answer(req, res).await;
    }
}
