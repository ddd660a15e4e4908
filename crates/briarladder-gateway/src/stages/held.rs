//! Results that a request holds at their makers.

use std::{cell::RefCell, rc::Rc};

use briarladder_core::fleet::stages::ResultHandle;

use super::collector::Collector;

/// The results of a request whose stages are coordinated here. They are
/// released when they are dropped.
pub struct Held {
    collector: Rc<Collector>,
    results: RefCell<Vec<ResultHandle>>,
}

impl Held {
    /// Holds nothing yet.
    #[must_use]
    pub fn new(collector: &Rc<Collector>) -> Held {
        Held { collector: Rc::clone(collector), results: RefCell::default() }
    }

    /// Holds further results.
    pub fn hold(&self, results: &[ResultHandle]) {
        self.results.borrow_mut().extend_from_slice(results);
    }

    /// Releases some results, if they are still held.
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
