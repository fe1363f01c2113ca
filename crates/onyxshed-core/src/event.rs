//! Numbered events: the one vocabulary of log, metrics and time line.
//!
//! docs/EVENTS.md is the catalogue for people; a test holds the two together.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::hlc::Hlc;
use crate::id::{ClassName, SubmissionId};

/// How loud an event is in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// One request's steps; in the time line, not in the log unless asked for.
    Debug,
    /// Changes of state that an operator reads about.
    Info,
    /// Something failed and was handled.
    Warn,
    /// Something needs a person.
    Error,
}

macro_rules! events {
    ($( $number:literal $name:ident $level:ident $text:literal; )*) => {
        /// A numbered kind of event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum EventKind {
            $( #[doc = $text] $name = $number, )*
        }

        impl EventKind {
            /// Every kind, in order of its number.
            pub const ALL: &'static [EventKind] = &[$( EventKind::$name, )*];

            /// Gets the kind's name as the log writes it.
            pub fn name(self) -> &'static str {
                match self { $( EventKind::$name => stringify!($name), )* }
            }

            /// Gets how loud the kind is.
            pub fn level(self) -> Level {
                match self { $( EventKind::$name => Level::$level, )* }
            }

            /// Gets the sentence that explains the kind.
            pub fn text(self) -> &'static str {
                match self { $( EventKind::$name => $text, )* }
            }
        }

        impl TryFrom<u16> for EventKind {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $( $number => Ok(EventKind::$name), )*
                    _ => Err(format!("{number} is no event")),
                }
            }
        }
    };
}

events! {
    100 JobReceived Debug "A submission arrived from a caller.";
    101 JobJoined Debug "A resubmission joined the running job or got its answer.";
    102 JobForwarded Debug "A resubmission was passed to the entry host that holds it.";
    103 JobAnswered Debug "The caller was given the submission's final answer.";
    104 JobRefused Debug "A submission was refused before any task started.";
    105 JobCancelled Debug "The caller cancelled a submission.";
    106 RequestRejected Warn "A request was turned away at the door: unreadable, too large, too slow or one too many.";
    200 ClaimAppended Debug "Claims were sent to the platform's log.";
    201 ClaimWon Debug "The log gave this host the submission.";
    202 ClaimLost Debug "The log had given the submission to another host.";
    203 ClaimFailed Warn "A claim's append failed or its answer was lost.";
    204 ClaimSkipped Info "A submission that may run twice went on without a claim.";
    205 ClaimTakenOver Info "A submission that may run twice was taken over from a host that is gone.";
    300 TaskStarted Debug "A task was sent to an executor.";
    301 TaskFinished Debug "An executor answered for a task.";
    302 TaskRefused Debug "An executor refused a task before starting it.";
    303 TaskRetried Debug "A task is tried again, with the reason.";
    304 TaskHedged Debug "A second copy of a slow task was sent.";
    305 TaskLost Warn "A task's connection broke or went silent.";
    306 TaskStopped Debug "A running task was told to stop.";
    307 AnswerDropped Warn "An executor's answer was late, foreign or cut short, and was dropped.";
    310 BreakerOpened Warn "An executor gets no new work but probes.";
    311 BreakerClosed Info "An executor gets work again.";
    312 UpstreamLeaving Info "An executor is leaving and gets no new work.";
    313 UpstreamJoined Info "An executor became known.";
    314 UpstreamGone Info "An executor is no longer known.";
    315 ConnectionReplaced Info "A connection of doubtful health was closed.";
    316 JobBlamed Warn "A class's jobs fail on workers that run others well.";
    400 ConfigInForce Info "A configuration revision took force here.";
    401 ConfigChangeLost Info "A change lost a race and was not accepted.";
    402 ConfigRecordIgnored Warn "A record on the log can't be read and was ignored.";
    403 ConfigRepublished Info "The configuration was published again before its records expire.";
    404 ConfigGap Error "Records were lost before they were read; the configuration held in memory stays.";
    500 PeerJoined Info "A peer's incarnation became known.";
    501 PeerSuspected Warn "A peer has not been heard for a while.";
    502 PeerGone Info "A peer is held to be gone.";
    503 PauseDetected Warn "This process was frozen or starved for a while.";
    600 ProcessStarted Info "The process started.";
    601 ProcessReady Info "The process is ready to serve.";
    602 ProcessDraining Info "The process stops taking new work.";
    603 ProcessStopped Info "The process ended.";
    604 ServiceStarted Debug "A service of the process started.";
    605 ControlConnected Info "The control process connected.";
    606 ControlLost Warn "The control process is gone; the last state stays in force.";
    607 LogLinesLeftOut Warn "Lines were left out of the log to keep its volume bounded.";
    700 PlatformLost Warn "The platform's log can't be reached.";
    701 PlatformBack Info "The platform's log answers again.";
    702 HostListStale Warn "The platform's host list is old.";
    800 PoolJobAnswered Info "A caller was given the answer to its job, with what decided it.";
    801 PoolJobRefused Warn "A job was refused before any of it ran, with what decided it.";
    802 PoolJobLost Warn "A job's fate is not known; its caller may send it again.";
    803 PoolRunOrdered Debug "A run of a task was ordered from an executor.";
    804 PoolRunEnded Info "A run ended otherwise than done.";
    805 PoolStrayStopped Info "A run that this owner did not order was found at work and is stopped.";
    806 PoolRunMoved Info "A run on an executor that turned slow is stopped, to begin anew elsewhere.";
    810 PoolOwned Info "This host owns a pool from now on.";
    811 PoolGivenUp Warn "This host no longer owns a pool.";
    812 PoolOwnerChanged Info "Another host is held to own a pool.";
    813 PoolHandoverBegun Info "The next owner of this host's pool takes the executors over as they fall idle.";
    814 PoolHandoverEnded Info "The last owner of this host's pool holds no executor any more.";
    815 PoolTransferred Info "This stopping owner gives its pool to another host, for want of the store.";
    816 PoolEvacuationBegun Info "Operators have evacuated the zone of this host's pool; it starts no new job.";
    817 PoolEvacuationEnded Info "The zone of this host's pool gets tasks again.";
    820 PoolExecutorTaken Info "An executor is used from now on.";
    821 PoolExecutorSilent Warn "An executor does not answer; its runs end with their leases.";
    822 PoolExecutorBack Info "An executor answers again.";
    823 PoolExecutorAvoided Info "An executor gets no work for a while because runs failed or stuck on it.";
    824 PoolExecutorDraining Info "An executor is leaving.";
    825 PoolExecutorGone Info "An executor is no longer known.";
    826 PoolExecutorUnreadable Warn "An executor's entry in the store can't be read; what is known of it stays.";
    830 PoolPeerSilent Warn "An entry host fell silent; its jobs are given up.";
    831 PoolLinkUp Info "The owner of a pool answers.";
    832 PoolLinkDown Warn "The owner of a pool does not answer.";
    840 ManifestInForce Info "A version of the operators' manifest took force.";
    841 StoreLost Warn "The platform's store does not answer.";
    842 StoreBack Info "The platform's store answers again.";
    843 SettingsReloaded Info "The settings file was read again.";
    844 SettingsRejected Warn "The settings file can't be read; the settings held stay.";
    845 PeerStateLearned Info "Another host told this one, which has just started, what it knows.";
    846 ZoneEvacuated Info "An availability zone gets no tasks from now on, by an operator's word.";
    847 ZoneRestored Info "An availability zone that was evacuated gets tasks again.";
}

impl EventKind {
    /// Gets the kind's number.
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

/// One thing that happened in one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, ordered over processes.
    pub hlc: Hlc,
    /// What kind of thing.
    pub kind: EventKind,
    /// The submission it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<SubmissionId>,
    /// The caller's own id of the request.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub request: SmolStr,
    /// The job that a pool runs.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub job: SmolStr,
    /// The task's place in the submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task_index: Option<u16>,
    /// The class it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// The other party: an executor, a peer or the platform.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub party: SmolStr,
    /// Particulars in words.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub detail: SmolStr,
}

impl Event {
    /// Makes an event that concerns no submission; the bus stamps it.
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

    /// Sets the submission.
    pub fn submission(mut self, submission: SubmissionId) -> Self {
        self.submission = Some(submission);
        self
    }

    /// Sets the caller's own id of the request.
    pub fn request(mut self, request: impl Into<SmolStr>) -> Self {
        self.request = request.into();
        self
    }

    /// Sets the job that a pool runs.
    pub fn job(mut self, job: impl Into<SmolStr>) -> Self {
        self.job = job.into();
        self
    }

    /// Sets the task.
    pub fn task(mut self, index: u16) -> Self {
        self.task_index = Some(index);
        self
    }

    /// Sets the class.
    pub fn class(mut self, class: &ClassName) -> Self {
        self.class = Some(class.clone());
        self
    }

    /// Sets the other party.
    pub fn party(mut self, party: impl Into<SmolStr>) -> Self {
        self.party = party.into();
        self
    }

    /// Sets the particulars.
    pub fn detail(mut self, detail: impl Into<SmolStr>) -> Self {
        self.detail = detail.into();
        self
    }
}
