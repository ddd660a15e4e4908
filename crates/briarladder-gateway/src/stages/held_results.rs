//! Results of stages that are held at their servers for a request.

use std::{cell::RefCell, rc::Rc};

use briarladder_core::fleet::stages::ResultHandle;

use super::batcher::Batcher;

/// The results of a request whose stages this daemon coordinates. They are
/// released on drop.
pub struct HeldResults {
    batcher: Rc<Batcher>,
    results: RefCell<Vec<ResultHandle>>,
}

impl HeldResults {
    /// Creates an empty set.
    #[must_use]
    pub fn new(batcher: &Rc<Batcher>) -> HeldResults {
        HeldResults {
            batcher: Rc::clone(batcher),
            results: RefCell::default(),
        }
    }

    /// Adds results.
    pub fn add(&self, results: &[ResultHandle]) {
        self.results.borrow_mut().extend_from_slice(results);
    }

    /// Releases those of the given results that are still held.
    pub fn release(&self, released: &[ResultHandle]) {
        let (released, retained) = self
            .results
            .take()
            .into_iter()
            .partition(|result| released.contains(result));
        *self.results.borrow_mut() = retained;
        self.batcher.queue_release(released);
    }
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        self.batcher.queue_release(self.results.take());
    }
}
