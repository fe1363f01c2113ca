//! What the control process knows, shared by its services.

use std::cell::RefCell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use onyxshed_core::{Event, EventKind, Offset, Revision};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_proto::{ExecutorEntry, Snapshot};
use onyxshed_state::{Config, ConfigFold, FoldStep, Member};

use crate::names::KNOWLEDGE;

#[derive(Debug, Default)]
struct Facts {
    fold: ConfigFold,
    has_config: bool,
    executors: Option<Vec<ExecutorEntry>>,
    members: Vec<Member>,
    sharers: u32,
    live: u32,
}

/// Handle to what the process knows.
pub struct Knowledge {
    kernel: Kernel,
    facts: RefCell<Facts>,
    changed: (Sender<()>, Receiver<()>),
}

impl Knowledge {
    /// Makes a handle that knows nothing.
    pub fn new(kernel: &Kernel) -> Rc<Self> {
        Rc::new(Knowledge {
            kernel: kernel.clone(),
            facts: RefCell::default(),
            changed: async_channel::bounded(1),
        })
    }

    /// Gets the offset of the configuration stream to read from next.
    pub fn config_next(&self) -> Offset {
        self.facts.borrow().fold.next()
    }

    /// Gets the revision in force, none until the stream was read once.
    pub fn revision(&self) -> Option<Revision> {
        let facts = self.facts.borrow();
        facts.has_config.then(|| facts.fold.config().revision)
    }

    /// Gets the configuration in force, none until the stream was read once.
    pub fn config(&self) -> Option<Config> {
        let facts = self.facts.borrow();
        facts.has_config.then(|| facts.fold.config().clone())
    }

    /// Takes in a record of the configuration stream.
    pub fn apply(&self, offset: Offset, data: &str) {
        let step = self.facts.borrow_mut().fold.apply(offset, data);
        match step {
            FoldStep::Accepted(revision) => {
                let detail = smol_str::format_smolstr!("revision {revision}");
                self.kernel
                    .emit(Event::new(EventKind::ConfigInForce).detail(detail));
            }
            FoldStep::Raced { based_on, found } => {
                let detail = smol_str::format_smolstr!("based on {based_on}, found {found}");
                self.kernel
                    .emit(Event::new(EventKind::ConfigChangeLost).detail(detail));
            }
            FoldStep::Ignored => {
                let detail = smol_str::format_smolstr!("offset {offset}");
                self.kernel
                    .emit(Event::new(EventKind::ConfigRecordIgnored).detail(detail));
            }
            FoldStep::Nothing => {}
        }
    }

    /// Notes that the configuration stream was read to its end.
    pub fn config_read(&self) {
        self.facts.borrow_mut().has_config = true;
        self.notify();
    }

    /// Sets the executors known.
    pub fn set_executors(&self, executors: Vec<ExecutorEntry>) {
        let is_new = self.facts.borrow().executors.as_ref() != Some(&executors);
        if is_new {
            self.facts.borrow_mut().executors = Some(executors);
            self.notify();
        }
    }

    /// Sets the members known and how many of them are live here and everywhere.
    pub fn set_members(&self, members: Vec<Member>, sharers: u32, live: u32) {
        let mut facts = self.facts.borrow_mut();
        let is_new = facts.members != members || facts.sharers != sharers || facts.live != live;
        (facts.members, facts.sharers, facts.live) = (members, sharers, live);
        drop(facts);
        if is_new {
            self.notify();
        }
    }

    /// Gets the snapshot for the entry process.
    pub fn snapshot(&self) -> Snapshot {
        let config = self.config();
        let facts = self.facts.borrow();
        Snapshot {
            config,
            executors: facts.executors.clone(),
            members: facts.members.clone(),
            sharers: facts.sharers.max(1),
            live: facts.live.max(1),
            hlc: self.kernel.clock().stamp(),
        }
    }

    /// Waits until something has changed.
    pub async fn changed(&self) {
        let _ = self.changed.1.recv().await;
    }

    fn notify(&self) {
        // A full channel means that a change is about to be looked at anyway.
        let _ = self.changed.0.try_send(());
    }
}

/// The knowledge as a service.
pub struct KnowledgeService {
    knowledge: Rc<Knowledge>,
}

impl KnowledgeService {
    /// Makes the service.
    pub fn new(knowledge: Rc<Knowledge>) -> Self {
        KnowledgeService { knowledge }
    }
}

impl Service for KnowledgeService {
    fn name(&self) -> ServiceName {
        KNOWLEDGE
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let descriptor = Descriptor {
                name: KNOWLEDGE,
                summary: "what this process knows",
            };
            kernel.register(descriptor, self.knowledge.clone())
        })
    }
}
