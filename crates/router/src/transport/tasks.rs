//! Spawning of tasks on the router's executor, until the shutdown.

use async_executor::{LocalExecutor, Task};
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;

/// A handle to the executor. Tasks hold references to the driver, and the driver owns this handle. The handle
/// has to be closed at shutdown to break that reference cycle; otherwise the tasks would never be dropped.
pub struct TaskSpawner(RefCell<Option<Rc<LocalExecutor<'static>>>>);

impl TaskSpawner {
    /// Creates a handle that spawns tasks on `executor`.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> TaskSpawner {
        TaskSpawner(RefCell::new(Some(Rc::clone(executor))))
    }

    /// Spawns a task, or returns `None` if the handle is closed.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Option<Task<()>> {
        Some(self.0.borrow().as_ref()?.spawn(task))
    }

    /// Closes the handle: drops its reference to the executor, so that no further tasks can be spawned.
    pub fn close(&self) {
        self.0.borrow_mut().take();
    }
}
