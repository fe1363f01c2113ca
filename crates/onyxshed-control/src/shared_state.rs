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

use crate::names::SHARED_STATE;

/// The state behind a handle: the folded configuration, the executors and the members.
#[derive(Debug, Default)]
struct State {
    fold: ConfigFold,
    has_config: bool,
    executors: Option<Vec<ExecutorEntry>>,
    members: Vec<Member>,
    gone: Vec<Incarnation>,
    zone_hosts: u32,
    live_hosts: u32,
}

/// Handle to the state that the services share.
pub struct SharedState {
    kernel: Kernel,
    state: RefCell<State>,
    change_signal: (Sender<()>, Receiver<()>),
}

impl SharedState {
    /// Creates a handle to an empty state.
    pub fn new(kernel: &Kernel, options: ConfigOptions) -> Rc<Self> {
        let state = State {
            fold: ConfigFold::new(options),
            ..State::default()
        };
        Rc::new(SharedState {
            kernel: kernel.clone(),
            state: RefCell::new(state),
            change_signal: async_channel::bounded(1),
        })
    }

    /// Returns the offset of the configuration stream to read from next.
    pub fn next_config_offset(&self) -> Offset {
        self.state.borrow().fold.next()
    }

    /// Returns the revision in force, or `None` until the stream was read to its end with a usable
    /// result, or a peer's configuration was adopted.
    pub fn revision(&self) -> Option<Revision> {
        let state = self.state.borrow();
        state.has_config.then(|| state.fold.config().revision)
    }

    /// Returns the configuration in force, or `None` until the stream was read to its end with a
    /// usable result, or a peer's configuration was adopted.
    pub fn config(&self) -> Option<Config> {
        let state = self.state.borrow();
        state.has_config.then(|| state.fold.config().clone())
    }

    /// Folds a page that was read from the configuration stream into the configuration.
    pub fn apply_page(&self, page: &Page) {
        let before = self.revision();
        self.skip_lost_records(page);
        for record in &page.records {
            let outcome = self.state.borrow_mut().fold.apply_record(record);
            self.emit_outcome(&outcome, record.offset);
        }
        let mut state = self.state.borrow_mut();
        let is_at_end = state.fold.next() >= page.next;
        // If records were lost, the fold may still be empty, and an empty configuration is not valid then.
        let is_usable = state.fold.is_complete() || state.fold.config().revision > Revision(0);
        state.has_config |= is_at_end && is_usable;
        drop(state);
        if self.revision() != before {
            self.notify();
        }
    }

    /// If the log dropped records before they were read here, skips to its oldest record and emits
    /// an event.
    fn skip_lost_records(&self, page: &Page) {
        let mut state = self.state.borrow_mut();
        if page.oldest <= state.fold.next() {
            return;
        }
        let detail = smol_str::format_smolstr!("{} to {}", state.fold.next(), page.oldest);
        state
            .fold
            .skip_to(page.oldest, self.kernel.clock().now().wall);
        drop(state);
        self.kernel
            .emit(Event::new(EventKind::ConfigGap).detail(detail));
    }

    /// Returns whether the configuration reflects every record of the stream up to the next offset.
    /// If not, a peer may have a more complete configuration.
    pub fn is_complete(&self) -> bool {
        self.state.borrow().fold.is_complete()
    }

    /// Applies the configuration of a peer with [`ConfigFold::adopt_handover`], and signals a
    /// change if another revision is in force after that.
    pub fn adopt_handover(&self, handover: Handover) {
        let outcome = self.state.borrow_mut().fold.adopt_handover(handover);
        if let FoldOutcome::Accepted(_) = outcome {
            self.state.borrow_mut().has_config = true;
            self.emit_outcome(&outcome, Offset::default());
            self.notify();
        }
    }

    /// Returns what a peer needs to continue from this configuration, or `None` while there is none.
    pub fn handover(&self) -> Option<Handover> {
        let state = self.state.borrow();
        state.has_config.then(|| state.fold.handover())
    }

    /// Returns the records to append if it is time to append the configuration to its stream again.
    /// `seed` spreads that time over the processes.
    pub fn republish(&self, now: UnixMs, seed: u64) -> RepublishStep {
        self.state.borrow_mut().fold.republish(now, seed)
    }

    fn emit_outcome(&self, outcome: &FoldOutcome, offset: Offset) {
        let event = match outcome {
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

    /// Replaces the list of executors, and signals a change if the new list differs.
    pub fn set_executors(&self, executors: Vec<ExecutorEntry>) {
        let has_changed = self.state.borrow().executors.as_ref() != Some(&executors);
        if has_changed {
            self.state.borrow_mut().executors = Some(executors);
            self.notify();
        }
    }

    /// Replaces the members and the numbers of hosts. `zone_hosts` counts the live hosts in this
    /// zone, `live_hosts` the known hosts in all zones, including those that are not live.
    pub fn set_members(
        &self,
        members: Vec<Member>,
        gone: Vec<Incarnation>,
        zone_hosts: u32,
        live_hosts: u32,
    ) {
        let mut state = self.state.borrow_mut();
        let has_changed = state.members != members
            || state.gone != gone
            || state.zone_hosts != zone_hosts
            || state.live_hosts != live_hosts;
        (state.members, state.gone) = (members, gone);
        (state.zone_hosts, state.live_hosts) = (zone_hosts, live_hosts);
        drop(state);
        if has_changed {
            self.notify();
        }
    }

    /// Returns a snapshot for the entry process, in which both numbers of hosts are at least 1.
    pub fn snapshot(&self) -> Snapshot {
        let config = self.config();
        let state = self.state.borrow();
        Snapshot {
            config,
            executors: state.executors.clone(),
            members: state.members.clone(),
            gone: state.gone.clone(),
            zone_hosts: state.zone_hosts.max(1),
            live_hosts: state.live_hosts.max(1),
            hlc: self.kernel.clock().stamp(),
        }
    }

    /// Waits until the state has changed since the last call returned.
    pub async fn wait_for_change(&self) {
        let _ = self.change_signal.1.recv().await;
    }

    fn notify(&self) {
        // A full channel means that a change that was not handled yet is already signalled.
        let _ = self.change_signal.0.try_send(());
    }
}

/// The service that registers the shared state with the kernel, so that the other services can find
/// it.
pub struct SharedStateService {
    shared_state: Rc<SharedState>,
}

impl SharedStateService {
    /// Creates the service for `shared_state`, which it registers when it starts.
    pub fn new(shared_state: Rc<SharedState>) -> Self {
        SharedStateService { shared_state }
    }
}

impl Service for SharedStateService {
    fn name(&self) -> ServiceName {
        SHARED_STATE
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let descriptor = Descriptor {
                name: SHARED_STATE,
                summary: "state shared by the services",
            };
            kernel.register(descriptor, self.shared_state.clone())
        })
    }
}
