//! Numbered events, which are written to the log, counted in the metrics and kept in the timeline
//! of a request.
//!
//! docs/EVENTS.md is generated from this table; a test checks that the page is up to date.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::hlc::Hlc;
use crate::id::{ClassName, SubmissionId};

/// Severity of an event, fixed by its kind ([`EventKind::level`]); later variants are more severe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// A step of a single request; kept in the timeline, and logged only if enabled.
    Debug,
    /// A change of state that is of interest to operators.
    Info,
    /// A failure that was handled automatically.
    Warn,
    /// A failure that requires an operator.
    Error,
}

macro_rules! events {
    ($( $number:literal $name:ident $level:ident $text:literal; )*) => {
        /// Kind of an event, serialized as its number.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum EventKind {
            $( #[doc = $text] $name = $number, )*
        }

        impl EventKind {
            /// All kinds, in ascending order of their numbers.
            pub const ALL: &'static [EventKind] = &[$( EventKind::$name, )*];

            /// Returns the name of the kind, as written to the log.
            pub fn name(self) -> &'static str {
                match self { $( EventKind::$name => stringify!($name), )* }
            }

            /// Returns the severity of the kind.
            pub fn level(self) -> Level {
                match self { $( EventKind::$name => Level::$level, )* }
            }

            /// Returns a sentence that explains the kind.
            pub fn text(self) -> &'static str {
                match self { $( EventKind::$name => $text, )* }
            }
        }

        impl TryFrom<u16> for EventKind {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $( $number => Ok(EventKind::$name), )*
                    _ => Err(format!("{number} is not an event")),
                }
            }
        }
    };
}

events! {
    100 JobReceived Debug "A submission arrived from a caller.";
    101 JobJoined Debug "A resubmission joined the running job or received its answer.";
    102 JobForwarded Debug "A request was forwarded to the entry host that holds its submission.";
    103 JobAnswered Debug "The submission's final answer was sent to the caller.";
    104 JobRefused Debug "A submission was refused before any task started.";
    105 JobCancelled Debug "The caller cancelled a submission.";
    106 RequestRejected Warn "A request was rejected on arrival: malformed, too large, too slow or over a limit.";
    200 ClaimAppended Debug "Claims were sent to the platform's log.";
    201 ClaimWon Debug "This host won the claim to the submission.";
    202 ClaimLost Debug "Another host had already won the claim to the submission.";
    203 ClaimFailed Warn "Appending claims to the log failed, or the reply was lost.";
    204 ClaimSkipped Info "A submission that may run twice was started without a claim.";
    205 ClaimTakenOver Info "A submission that may run twice was taken over from a host that is gone.";
    300 TaskStarted Debug "A task was sent to an executor.";
    301 TaskFinished Debug "An executor answered for a task.";
    302 TaskRefused Debug "An executor refused a task before starting it.";
    303 TaskRetried Debug "A task is retried; the detail gives the reason.";
    304 TaskHedged Debug "A second copy of a slow task was sent.";
    305 TaskLost Warn "The connection of a task broke or stopped responding.";
    306 TaskStopped Debug "A stop was sent for a running task.";
    307 AnswerDropped Warn "An executor's answer was late, truncated or for another task, and was dropped.";
    310 BreakerOpened Warn "An executor's circuit breaker opened; the executor gets no new work except probes.";
    311 BreakerClosed Info "An executor's circuit breaker closed; the executor gets work again.";
    312 UpstreamLeaving Info "An executor is draining and gets no new work.";
    313 UpstreamJoined Info "An executor was added.";
    314 UpstreamGone Info "An executor was removed.";
    315 ConnectionReplaced Info "A connection that is suspected to be broken was closed.";
    316 JobBlamed Warn "Jobs of a class fail on executors that run other jobs successfully.";
    400 ConfigInForce Info "A configuration revision took effect in this process.";
    401 ConfigChangeLost Info "A configuration change lost a race and was not accepted.";
    402 ConfigRecordIgnored Warn "A record in the log can't be decoded and was ignored.";
    403 ConfigRepublished Info "The configuration was published again before its records expire.";
    404 ConfigGap Error "Records were lost before they were read; the configuration in memory stays in force.";
    500 PeerJoined Info "A new incarnation of a peer was discovered.";
    501 PeerSuspected Warn "No message has arrived from a peer for a while.";
    502 PeerGone Info "A peer is considered gone.";
    503 PauseDetected Warn "This process was frozen or starved of CPU time for a while.";
    600 ProcessStarted Info "The process started.";
    601 ProcessReady Info "The process is ready to serve.";
    602 ProcessDraining Info "The process is draining and accepts no new work.";
    603 ProcessStopped Info "The process stopped.";
    604 ServiceStarted Debug "A service of the process started.";
    605 ControlConnected Info "The control process connected.";
    606 ControlLost Warn "The control process is unreachable; its last state stays in force.";
    607 LogLinesLeftOut Warn "Lines were omitted from the log to limit its volume.";
    608 RequestsDrained Info "A stopping process has finished the requests on one of its addresses; the detail counts what is still open.";
    609 RequestsCutOff Error "The process ended before requests on one of its addresses were answered.";
    610 LimitsInForce Info "The limits on clients, divided from those of the machine.";
    611 MachineTooSmall Warn "The machine has less memory or fewer descriptors than the limits on clients add up to.";
    700 PlatformLost Warn "The platform's log can't be reached.";
    701 PlatformBack Info "The platform's log can be reached again.";
    702 HostListStale Warn "The platform's host list is stale.";
    800 PoolJobAnswered Info "The answer to a job was sent to its caller; the detail summarizes the job.";
    801 PoolJobRefused Warn "A job was refused before any of its tasks ran; the detail gives the reason.";
    802 PoolJobLost Warn "The outcome of a job is unknown; its caller may submit it again.";
    803 PoolRunOrdered Debug "A run of a task was requested from an executor.";
    804 PoolRunEnded Info "A run ended without completing its task.";
    805 PoolStrayStopped Info "A run that this owner did not request was found on an executor and is stopped.";
    806 PoolRunMoved Info "A run on an executor that became slow is stopped and started again elsewhere.";
    807 PoolJobDropped Info "An owner ended a job that had begun with an unknown outcome; the detail names the submission, the reason and how long ago its entry host was heard.";
    810 PoolOwned Info "This host became the owner of a pool.";
    811 PoolGivenUp Warn "This host is no longer the owner of a pool.";
    812 PoolOwnerChanged Info "Another host is now considered the owner of a pool.";
    813 PoolHandoverBegun Info "A handover began: the successor takes over the executors of this host's pool as they become idle.";
    814 PoolHandoverEnded Info "A handover ended: the previous owner of this host's pool holds no more executors.";
    815 PoolTransferred Info "This draining owner transfers its pool directly to another host because the store is unreachable.";
    816 PoolEvacuationBegun Info "Operators evacuated the zone of this host's pool; the pool starts no new jobs.";
    817 PoolEvacuationEnded Info "The zone of this host's pool was restored and gets tasks again.";
    820 PoolExecutorTaken Info "The pool began to use an executor.";
    821 PoolExecutorSilent Warn "An executor is unresponsive; its runs end when their leases expire.";
    822 PoolExecutorBack Info "An unresponsive executor answers again.";
    823 PoolExecutorAvoided Info "An executor gets no work for a while because runs failed or got stuck on it.";
    824 PoolExecutorDraining Info "An executor is draining.";
    825 PoolExecutorGone Info "The pool forgot an executor that is no longer listed.";
    826 PoolExecutorUnreadable Warn "An executor's entry in the store can't be decoded; the last known entry stays in force.";
    827 PoolExecutorRestarted Info "An executor has restarted under its id; it gets no task until its new entry is read.";
    830 PoolPeerSilent Warn "An entry host is unresponsive; its jobs are abandoned.";
    831 PoolLinkUp Info "The owner of a pool is reachable.";
    832 PoolLinkDown Warn "The owner of a pool is unreachable.";
    840 ManifestInForce Info "A version of the operators' manifest took effect.";
    841 StoreLost Warn "The platform's store is unreachable.";
    842 StoreBack Info "The platform's store is reachable again.";
    843 SettingsReloaded Info "The settings file was reloaded.";
    844 SettingsRejected Warn "The settings file can't be read; the previous settings stay in force.";
    845 PeerStateLearned Info "This host has just started and received the state known to another host.";
    846 ZoneEvacuated Info "An operator evacuated an availability zone; it gets no tasks until it is restored.";
    847 ZoneRestored Info "An evacuated availability zone was restored and gets tasks again.";
    850 PoolOverloadChanged Warn "The state of overload of a pool changed; in shadow mode without effect.";
    851 PoolOverloadRefused Info "An overloaded pool refused a job before any of its tasks ran; the detail gives the reason and the wait against the slack.";
    852 PoolOverloadGivenUp Warn "An overloaded pool ended a job that has begun, since its answer can't be useful any more.";
    858 PoolCallerLimited Warn "Jobs of a caller are refused because it offers more than its share of an overloaded pool.";
    859 PoolCallerWithinShare Info "A caller is within its share of a pool again.";
    860 PoolJobPassedOn Info "A job that its pool had no room for was submitted to another pool.";
}

impl EventKind {
    /// Returns the three-digit number as which the kind is serialized.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl From<EventKind> for u16 {
    fn from(kind: EventKind) -> u16 {
        kind.number()
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.number(), self.name())
    }
}

/// One event, with the request, task and other party that it concerns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event on the hybrid logical clock, which orders an event after the events that
    /// caused it, also across processes.
    pub hlc: Hlc,
    /// Kind of the event, which determines its number, name and severity.
    pub kind: EventKind,
    /// Submission that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<SubmissionId>,
    /// Id that the caller assigned to the request; empty if none.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub request: SmolStr,
    /// Id of the job in its pool; empty if the event concerns no job of a pool.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub job: SmolStr,
    /// Index of the task in the submission or job, if the event concerns one task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task_index: Option<u16>,
    /// Class of the job, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// Name of the other party: an executor, a peer or the platform; empty if none.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub party: SmolStr,
    /// Further details as text; empty if none.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub detail: SmolStr,
}

impl Event {
    /// Creates an event with the given kind and no other field set; the event bus sets its
    /// timestamp.
    pub fn new(kind: EventKind) -> Self {
        Event {
            hlc: Hlc::default(),
            kind,
            submission: None,
            request: SmolStr::default(),
            job: SmolStr::default(),
            task_index: None,
            class: None,
            party: SmolStr::default(),
            detail: SmolStr::default(),
        }
    }

    /// Sets the submission that the event concerns.
    pub fn submission(mut self, submission: SubmissionId) -> Self {
        self.submission = Some(submission);
        self
    }

    /// Sets the id that the caller assigned to the request.
    pub fn request(mut self, request: impl Into<SmolStr>) -> Self {
        self.request = request.into();
        self
    }

    /// Sets the id of the job in its pool.
    pub fn job(mut self, job: impl Into<SmolStr>) -> Self {
        self.job = job.into();
        self
    }

    /// Sets the index of the task that the event concerns.
    pub fn task(mut self, index: u16) -> Self {
        self.task_index = Some(index);
        self
    }

    /// Sets the class of the job that the event concerns.
    pub fn class(mut self, class: &ClassName) -> Self {
        self.class = Some(class.clone());
        self
    }

    /// Sets the name of the executor, peer or other party that the event concerns.
    pub fn party(mut self, party: impl Into<SmolStr>) -> Self {
        self.party = party.into();
        self
    }

    /// Truncates each text to a length in bytes: callers choose request ids and paths.
    pub fn with_texts_up_to(mut self, max_bytes: usize) -> Self {
        let Event {
            request,
            job,
            party,
            detail,
            ..
        } = &mut self;
        for text in [request, job, party, detail] {
            if text.len() > max_bytes {
                let end = text.floor_char_boundary(max_bytes);
                *text = text[..end].into();
            }
        }
        self
    }

    /// Sets the text with further details, such as the reason for a refusal.
    pub fn detail(mut self, detail: impl Into<SmolStr>) -> Self {
        self.detail = detail.into();
        self
    }
}
