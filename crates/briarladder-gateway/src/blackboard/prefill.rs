//! Counts the prompts that servers are reading.

use std::{rc::Rc, sync::Arc, time::Duration};

use super::Blackboard;

/// Counts a prompt as being in prefill at a server until the guard is dropped.
#[derive(Debug)]
pub struct PrefillGuard {
    blackboard: Rc<Blackboard>,
    server: Arc<str>,
    prefill_time: Duration,
}

impl PrefillGuard {
    /// Records a prompt whose prefill takes `prefill_time`.
    #[must_use]
    pub fn new(
        blackboard: &Rc<Blackboard>,
        server: &Arc<str>,
        prefill_time: Duration,
    ) -> PrefillGuard {
        blackboard
            .placement
            .borrow_mut()
            .record_prefill_start(server, prefill_time);
        PrefillGuard {
            blackboard: Rc::clone(blackboard),
            server: Arc::clone(server),
            prefill_time,
        }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.blackboard
            .placement
            .borrow_mut()
            .record_prefill_end(&self.server, self.prefill_time);
    }
}
