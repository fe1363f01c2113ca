//! State that the services of the control process share, and from which snapshots for the entry process
//! are made.

use std::cell::RefCell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use onyxshed_core::{Event, EventKind, Incarnation, Offset, Revision, UnixMs};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_proto::{ExecutorEntry, Snapshot};
use onyxshed_state::{
    Config, ConfigFold, ConfigOptions, FoldOutcome, Handover, Member, RepublishStep,
};
use onyxshed_wire::platform::Page;

use crate::names::KNOWLEDGE;

/// The state behind a handle: the folded configuration, the executors and the members.
#[derive(Debug, Default)]
struct Facts {
    fold: ConfigFold,
    has_config: bool,
    executors: Option<Vec<ExecutorEntry>>,
    members: Vec<Member>,
    gone: Vec<Incarnation>,
    sharers: u32,
    live: u32,
}

/// Handle to the state that the services share.
pub struct Knowledge {
    kernel: Kernel,
    facts: RefCell<Facts>,
    changed: (Sender<()>, Receiver<()>),
}

impl Knowledge {
    /// Creates a handle to an empty state.
    pub fn new(kernel: &Kernel, options: ConfigOptions) -> Rc<Self> {
        let facts = Facts {
            fold: ConfigFold::new(options),
            ..Facts::default()
        };
        Rc::new(Knowledge {
            kernel: kernel.clone(),
            facts: RefCell::new(facts),
            changed: async_channel::bounded(1),
        })
    }

    /// Returns the offset of the configuration stream to read from next.
    pub fn config_next(&self) -> Offset {
        self.facts.borrow().fold.next()
    }

    /// Returns the revision in force, or `None` until the end of the stream was read once.
    pub fn revision(&self) -> Option<Revision> {
        let facts = self.facts.borrow();
        facts.has_config.then(|| facts.fold.config().revision)
    }

    /// Returns the configuration in force, or `None` until the end of the stream was read once.
    pub fn config(&self) -> Option<Config> {
        let facts = self.facts.borrow();
        facts.has_config.then(|| facts.fold.config().clone())
    }

    /// Folds a page that was read from the configuration stream into the configuration.
    pub fn read(&self, page: &Page) {
        let before = self.revision();
        self.skip_lost(page);
        for record in &page.records {
            let step = self.facts.borrow_mut().fold.apply_record(record);
            self.tell(&step, record.offset);
        }
        let mut facts = self.facts.borrow_mut();
        let is_at_end = facts.fold.next() >= page.next;
        // If records were lost, the fold may still be empty, and an empty configuration is not valid then.
        let is_known = facts.fold.is_complete() || facts.fold.config().revision > Revision(0);
        facts.has_config |= is_at_end && is_known;
        drop(facts);
        if self.revision() != before {
            self.notify();
        }
    }

    /// Skips records that the log dropped before they were read here, and emits an event if there are any.
    fn skip_lost(&self, page: &Page) {
        let mut facts = self.facts.borrow_mut();
        if page.oldest <= facts.fold.next() {
            return;
        }
        let detail = smol_str::format_smolstr!("{} to {}", facts.fold.next(), page.oldest);
        facts
            .fold
            .skip_to(page.oldest, self.kernel.clock().now().wall);
        drop(facts);
        self.kernel
            .emit(Event::new(EventKind::ConfigGap).detail(detail));
    }

    /// Returns whether the configuration is the fold of every record so far. If not, a peer may have a more
    /// complete one.
    pub fn is_complete(&self) -> bool {
        self.facts.borrow().fold.is_complete()
    }

    /// Adopts the configuration that a peer handed over.
    pub fn adopt(&self, told: Handover) {
        let step = self.facts.borrow_mut().fold.adopt_handover(told);
        if let FoldOutcome::Accepted(_) = step {
            self.facts.borrow_mut().has_config = true;
            self.tell(&step, Offset::default());
            self.notify();
        }
    }

    /// Returns what a peer needs to continue from this configuration, or `None` while there is none.
    pub fn handover(&self) -> Option<Handover> {
        let facts = self.facts.borrow();
        facts.has_config.then(|| facts.fold.handover())
    }

    /// Decides whether to append the configuration to its stream again.
    pub fn republish(&self, now: UnixMs, seed: u64) -> RepublishStep {
        self.facts.borrow_mut().fold.republish(now, seed)
    }

    fn tell(&self, step: &FoldOutcome, offset: Offset) {
        let event = match step {
            FoldOutcome::Accepted(revision) => Event::new(EventKind::ConfigInForce)
                .detail(smol_str::format_smolstr!("revision {revision}")),
            FoldOutcome::Raced { based_on, found } => Event::new(EventKind::ConfigChangeLost)
                .detail(smol_str::format_smolstr!(
                    "based on {based_on}, found {found}"
                )),
            FoldOutcome::Ignored => Event::new(EventKind::ConfigRecordIgnored)
                .detail(smol_str::format_smolstr!("offset {offset}")),
            FoldOutcome::Nothing => return,
        };
        self.kernel.emit(event);
    }

    /// Replaces the list of executors.
    pub fn set_executors(&self, executors: Vec<ExecutorEntry>) {
        let is_new = self.facts.borrow().executors.as_ref() != Some(&executors);
        if is_new {
            self.facts.borrow_mut().executors = Some(executors);
            self.notify();
        }
    }

    /// Replaces the members, with the number of live hosts in this zone and of known hosts in all zones.
    pub fn set_members(
        &self,
        members: Vec<Member>,
        gone: Vec<Incarnation>,
        sharers: u32,
        live: u32,
    ) {
        let mut facts = self.facts.borrow_mut();
        let is_new = facts.members != members
            || facts.gone != gone
            || facts.sharers != sharers
            || facts.live != live;
        (facts.members, facts.gone) = (members, gone);
        (facts.sharers, facts.live) = (sharers, live);
        drop(facts);
        if is_new {
            self.notify();
        }
    }

    /// Returns a snapshot for the entry process.
    pub fn snapshot(&self) -> Snapshot {
        let config = self.config();
        let facts = self.facts.borrow();
        Snapshot {
            config,
            executors: facts.executors.clone(),
            members: facts.members.clone(),
            gone: facts.gone.clone(),
            zone_hosts: facts.sharers.max(1),
            live_hosts: facts.live.max(1),
            hlc: self.kernel.clock().stamp(),
        }
    }

    /// Waits until the state has changed.
    pub async fn changed(&self) {
        let _ = self.changed.1.recv().await;
    }

    fn notify(&self) {
        // A full channel means that a change that was not handled yet is already signalled.
        let _ = self.changed.0.try_send(());
    }
}

/// The service around the shared state.
pub struct KnowledgeService {
    knowledge: Rc<Knowledge>,
}

impl KnowledgeService {
    /// Creates the service.
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
