//! A stand-in for the platform: the manifest, its chunks and the list of VMs.
//!
//! The manifest and the chunks are texts that the test sets and that the
//! stand-in doesn't parse. Clients can watch the manifest and the list: a read
//! with the parameter `after` waits for a later version. A restore from a
//! backup begins a new era, in which versions are given out again.
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
use briarladder_wire::platform::{ERA_HEADER, Vm, VmList, WATCH_TIMEOUT};
use bytes::Bytes;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderName, HeaderValue, StatusCode},
};
use tokio::sync::watch;

use crate::{
    listener::{Listener, ListenerAborter},
    response,
    server::lock,
};

/// Settings for [`Platform::start`].
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The port on 127.0.0.1; 0 for a free one.
    pub port: u16,
    /// The time after which a watch gets status 204 if there was no change.
    pub watch_timeout: Duration,
    /// The time until a change of the list of VMs becomes visible; zero by
    /// default.
    pub vm_lag: Duration,
    /// Whether responses name the era of the platform.
    pub era_report: EraReport,
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        PlatformSettings {
            port: 0,
            watch_timeout: WATCH_TIMEOUT,
            vm_lag: Duration::ZERO,
            era_report: EraReport::Header,
        }
    }
}

/// Whether responses name the era of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EraReport {
    /// Each response names it in a header, and watches may name theirs.
    #[default]
    Header,
    /// The platform knows no eras.
    None,
}

/// The content of the platform at some time; see [`Platform::restore`].
#[derive(Clone, Debug)]
pub struct Backup {
    manifest: VersionedText,
    vms: VersionedText,
    chunks: SortedMap<String, Bytes>,
}

/// A published chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The digest by which clients fetch it.
    pub digest: String,
    /// The content, a JSON text.
    pub text: String,
}

/// A fault that is injected into the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformFault {
    /// No fault.
    #[default]
    None,
    /// New connections are refused, and open ones are closed.
    RefuseConnections,
    /// Calls are accepted and never get a response.
    Hang,
    /// Every response is delayed by this time.
    Slow(Duration),
    /// Every response has this status.
    Status(u16),
}

/// The number of calls that reached the platform. A watch counts once,
/// however long it waits.
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
    /// Returns the sum over all kinds of calls.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.manifest + self.chunks + self.vms
    }
}

/// A running stand-in of the platform.
#[derive(Debug)]
pub struct Platform {
    state: Arc<State>,
    listener: Listener,
}

impl Platform {
    /// Starts a platform on which nothing has been published.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub async fn start(settings: PlatformSettings) -> io::Result<Platform> {
        let state = Arc::new(State {
            watch_timeout: settings.watch_timeout,
            vm_lag: Mutex::new(settings.vm_lag),
            era_report: settings.era_report,
            manifest: watch::Sender::default(),
            vms: watch::Sender::default(),
            chunks: Mutex::default(),
            deferred: Mutex::default(),
            vms_version: AtomicU64::new(0),
            fault: watch::Sender::default(),
            counts: Mutex::default(),
        });
        let handler = RequestHandler(state.clone());
        let listener = Listener::start(
            settings.port,
            ListenerAborter::default(),
            handler,
        )
        .await?;
        Ok(Platform { state, listener })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Publishes a manifest and adds chunks. Waiting watches return it if
    /// their epoch is earlier, and earlier chunks stay available. Unlike on
    /// the real platform, the epoch may go back.
    pub fn publish(&self, epoch: u64, manifest_json: &str, chunks: &[Chunk]) {
        for chunk in chunks {
            let text = Bytes::copy_from_slice(chunk.text.as_bytes());
            lock(&self.state.chunks).insert(chunk.digest.clone(), text);
        }
        let text = Bytes::copy_from_slice(manifest_json.as_bytes());
        let era = self.era();
        let published = VersionedText { era, version: epoch, text };
        let mut deferred = lock(&self.state.deferred);
        if deferred.stale {
            deferred.latest = Some(published);
        } else {
            self.state.manifest.send_replace(published);
        }
    }

    /// While stale, the platform keeps serving the current epoch. The latest
    /// manifest published meanwhile becomes visible once it is no longer
    /// stale.
    pub fn set_stale(&self, stale: bool) {
        let mut deferred = lock(&self.state.deferred);
        deferred.stale = stale;
        if !stale && let Some(latest) = deferred.latest.take() {
            self.state.manifest.send_replace(latest);
        }
    }

    /// Sets the list of VMs. After the lag it becomes visible as the next
    /// version.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let version =
            self.state.vms_version.fetch_add(1, Ordering::AcqRel) + 1;
        let text = response::to_json(&VmList { version, vms }).into();
        let published = VersionedText { era: self.era(), version, text };
        let lag = *lock(&self.state.vm_lag);
        if lag.is_zero() {
            self.state.publish_vms(published);
        } else {
            let state = self.state.clone();
            tokio::spawn(async move {
                tokio::time::sleep(lag).await;
                state.publish_vms(published);
            });
        }
    }

    /// Copies the current content.
    #[must_use]
    pub fn backup(&self) -> Backup {
        Backup {
            manifest: self.state.manifest.borrow().clone(),
            vms: self.state.vms.borrow().clone(),
            chunks: lock(&self.state.chunks).clone(),
        }
    }

    /// Restores an earlier content, which begins a new era. What was published
    /// since is lost, and its epochs and versions are given out again.
    pub fn restore(&self, backup: &Backup) {
        let era = self.era() + 1;
        lock(&self.state.chunks).clone_from(&backup.chunks);
        self.state.vms_version.store(backup.vms.version, Ordering::Release);
        let restored = |text: &VersionedText| text.clone().in_era(era);
        self.state.manifest.send_replace(restored(&backup.manifest));
        self.state.vms.send_replace(restored(&backup.vms));
    }

    fn era(&self) -> u64 {
        self.state.manifest.borrow().era
    }

    /// Sets the lag of the following changes of the list of VMs.
    pub fn set_vm_lag(&self, lag: Duration) {
        *lock(&self.state.vm_lag) = lag;
    }

    /// Sets the fault. [`PlatformFault::RefuseConnections`] also closes the
    /// connections of waiting watches, and [`PlatformFault::Hang`] keeps them
    /// waiting; the other faults only affect new calls.
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
                self.listener.stop().await;
            }
            (PlatformFault::RefuseConnections, _) => {
                self.listener.restart().await?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        *lock(&self.state.counts)
    }

    /// Stops the platform and closes all connections.
    pub async fn stop(&self) {
        self.listener.stop().await;
    }
}

/// A text with its version, which is the epoch for a manifest. Version 0 means
/// that nothing was published.
#[derive(Clone, Debug)]
struct VersionedText {
    /// The era in which it was published, or to which it was restored.
    era: u64,
    version: u64,
    text: Bytes,
}

impl Default for VersionedText {
    fn default() -> VersionedText {
        VersionedText { era: 1, version: 0, text: Bytes::new() }
    }
}

impl VersionedText {
    fn in_era(self, era: u64) -> VersionedText {
        VersionedText { era, ..self }
    }
}

/// The latest manifest published while the platform is stale.
#[derive(Debug, Default)]
struct DeferredManifest {
    stale: bool,
    latest: Option<VersionedText>,
}

#[derive(Debug)]
struct State {
    watch_timeout: Duration,
    vm_lag: Mutex<Duration>,
    era_report: EraReport,
    manifest: watch::Sender<VersionedText>,
    vms: watch::Sender<VersionedText>,
    chunks: Mutex<SortedMap<String, Bytes>>,
    deferred: Mutex<DeferredManifest>,
    vms_version: AtomicU64,
    fault: watch::Sender<PlatformFault>,
    counts: Mutex<CallCounts>,
}

impl State {
    fn publish_vms(&self, published: VersionedText) {
        // If the lag is shortened, a later list may become visible before
        // an earlier one. A list of an earlier era was lost in the restore.
        self.vms.send_if_modified(|current| {
            let newer = published.era == current.era
                && published.version > current.version;
            if newer {
                *current = published;
            }
            newer
        });
    }

    /// Responds to a read, or to a watch for a version later than `after` or
    /// for another era than `era`.
    async fn watch(
        &self,
        source: &watch::Sender<VersionedText>,
        req: &Request,
        res: &mut Response,
    ) {
        let after = response::query_u64(req, "after");
        let era = match self.era_report {
            EraReport::Header => response::query_u64(req, "era"),
            EraReport::None => None,
        };
        let is_due = |published: &VersionedText| {
            published.version > after.unwrap_or(0)
                || era.is_some_and(|era| era != published.era)
        };
        let wait = after.map_or(Duration::ZERO, |_| self.watch_timeout);
        let mut receiver = source.subscribe();
        let found =
            tokio::time::timeout(wait, receiver.wait_for(is_due)).await;
        let found = match found {
            // Receiving can't fail, because the state owns the sender.
            Ok(published) => published.ok().map(|p| p.clone()),
            Err(_) => None,
        };
        let era = found.as_ref().map_or(source.borrow().era, |p| p.era);
        self.set_era(res, era);
        match found.filter(|published| published.version > 0) {
            Some(published) => response::json_bytes(res, published.text),
            None => drop(res.status_code(StatusCode::NO_CONTENT)),
        }
    }

    fn set_era(&self, res: &mut Response, era: u64) {
        if self.era_report == EraReport::Header {
            let name = HeaderName::from_static(ERA_HEADER);
            res.headers_mut().insert(name, HeaderValue::from(era));
        }
    }

    async fn handle(&self, req: &Request, res: &mut Response) {
        let endpoint = Endpoint::from_path(req.uri().path());
        self.record_call(&endpoint);
        let era = self.manifest.borrow().era;
        self.set_era(res, era);
        if self.apply_fault(res).await {
            return;
        }
        match endpoint {
            Endpoint::Manifest => self.watch(&self.manifest, req, res).await,
            Endpoint::Vms => self.watch(&self.vms, req, res).await,
            Endpoint::Chunk(digest) => {
                let chunk = lock(&self.chunks).get(digest).cloned();
                if let Some(text) = chunk {
                    return response::json_bytes(res, text);
                }
                let cause = "no chunk with this digest";
                response::status(res, StatusCode::NOT_FOUND, cause);
            }
            Endpoint::Other => {
                response::status(res, StatusCode::NOT_FOUND, "no such call");
            }
        }
        if *self.fault.borrow() == PlatformFault::Hang {
            future::pending::<()>().await;
        }
    }

    fn record_call(&self, endpoint: &Endpoint<'_>) {
        let mut counts = lock(&self.counts);
        match endpoint {
            Endpoint::Manifest => counts.manifest += 1,
            Endpoint::Vms => counts.vms += 1,
            Endpoint::Chunk(_) => counts.chunks += 1,
            Endpoint::Other => {}
        }
    }

    /// Applies the current fault and returns whether it set the response.
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
                response::status(res, code, "fault: status");
                true
            }
        }
    }
}

/// The endpoint that a path names.
#[derive(Clone, Copy, Debug)]
enum Endpoint<'a> {
    Manifest,
    Chunk(&'a str),
    Vms,
    Other,
}

impl Endpoint<'_> {
    fn from_path(path: &str) -> Endpoint<'_> {
        match path {
            "/v1/manifest" => Endpoint::Manifest,
            "/v1/vms" => Endpoint::Vms,
            _ => path
                .strip_prefix("/v1/chunks/")
                .map_or(Endpoint::Other, Endpoint::Chunk),
        }
    }
}

struct RequestHandler(Arc<State>);

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.0.handle(req, res).await;
    }
}
