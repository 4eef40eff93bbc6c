//! Spawning tasks on the router's executor, up to its shutdown.

use async_executor::{LocalExecutor, Task};
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;

/// A handle to the executor. Tasks reference the driver and the driver this handle, so the handle has to be
/// closed at shutdown, or none of them would ever be dropped.
pub struct TaskSpawner(RefCell<Option<Rc<LocalExecutor<'static>>>>);

impl TaskSpawner {
    /// A handle that spawns on `executor`.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> TaskSpawner {
        TaskSpawner(RefCell::new(Some(Rc::clone(executor))))
    }

    /// Spawns a task; none once the handle is closed.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Option<Task<()>> {
        Some(self.0.borrow().as_ref()?.spawn(task))
    }

    /// Spawns nothing more, and gives up this reference to the executor.
    pub fn close(&self) {
        self.0.borrow_mut().take();
    }
}
