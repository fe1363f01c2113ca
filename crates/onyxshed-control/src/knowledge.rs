//! What the control process knows, shared by its services.

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

/// Handle to what the process knows.
pub struct Knowledge {
    kernel: Kernel,
    facts: RefCell<Facts>,
    changed: (Sender<()>, Receiver<()>),
}

impl Knowledge {
    /// Makes a handle that knows nothing.
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

    /// Takes in what was read of the configuration stream.
    pub fn read(&self, page: &Page) {
        let before = self.revision();
        self.skip_lost(page);
        for record in &page.records {
            let step = self.facts.borrow_mut().fold.apply_record(record);
            self.tell(&step, record.offset);
        }
        let mut facts = self.facts.borrow_mut();
        let is_at_end = facts.fold.next() >= page.next;
        // A fold that lost records may hold nothing yet; an empty one is no configuration then.
        let is_known = facts.fold.is_complete() || facts.fold.config().revision > Revision(0);
        facts.has_config |= is_at_end && is_known;
        drop(facts);
        if self.revision() != before {
            self.notify();
        }
    }

    /// Notes records that the log lost before they were read here.
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

    /// Tells whether the configuration is the fold of every record so far; else a peer may know more.
    pub fn is_complete(&self) -> bool {
        self.facts.borrow().fold.is_complete()
    }

    /// Takes in what a peer handed over.
    pub fn adopt(&self, told: Handover) {
        let step = self.facts.borrow_mut().fold.adopt_handover(told);
        if let FoldOutcome::Accepted(_) = step {
            self.facts.borrow_mut().has_config = true;
            self.tell(&step, Offset::default());
            self.notify();
        }
    }

    /// Gets what a peer needs to go on from here, none while nothing is known.
    pub fn handover(&self) -> Option<Handover> {
        let facts = self.facts.borrow();
        facts.has_config.then(|| facts.fold.handover())
    }

    /// Decides whether to publish the configuration again.
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

    /// Sets the executors known.
    pub fn set_executors(&self, executors: Vec<ExecutorEntry>) {
        let is_new = self.facts.borrow().executors.as_ref() != Some(&executors);
        if is_new {
            self.facts.borrow_mut().executors = Some(executors);
            self.notify();
        }
    }

    /// Sets the members known and how many of them are live here and everywhere.
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

    /// Gets the snapshot for the entry process.
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
