//! Results of stages that are held at their servers for a request.

use std::{cell::RefCell, rc::Rc};

use briarladder_core::fleet::stages::ResultHandle;

use super::collector::Collector;

/// The results of a request whose stages this daemon coordinates. They are
/// released on drop.
pub struct Held {
    collector: Rc<Collector>,
    results: RefCell<Vec<ResultHandle>>,
}

impl Held {
    /// Creates an empty set.
    #[must_use]
    pub fn new(collector: &Rc<Collector>) -> Held {
        Held { collector: Rc::clone(collector), results: RefCell::default() }
    }

    /// Adds results.
    pub fn hold(&self, results: &[ResultHandle]) {
        self.results.borrow_mut().extend_from_slice(results);
    }

    /// Releases those of the given results that are still held.
    pub fn release(&self, spent: &[ResultHandle]) {
        let (spent, kept) = self
            .results
            .take()
            .into_iter()
            .partition(|held| spent.contains(held));
        *self.results.borrow_mut() = kept;
        self.collector.release_later(spent);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.collector.release_later(self.results.take());
    }
}
