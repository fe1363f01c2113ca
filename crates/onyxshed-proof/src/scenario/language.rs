//! The statements of the language.

use onyxshed_core::{ClassName, Millis, Offset, Outcome, Revision};
use onyxshed_standins::faults::Mode;
use smol_str::SmolStr;

use crate::cluster::{Edge, ProcessKind, Topology};

/// A scenario as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// Its statements in order.
    pub lines: Vec<Line>,
}

/// One statement and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Number of the line, from 1.
    pub number: usize,
    /// The line as written.
    pub text: SmolStr,
    /// What it says.
    pub step: Step,
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// `given …`: sets up what the defaults don't suit.
    Given(Setting),
    /// `start …`: starts everything.
    Start(Topology),
    /// `publish …`: an operator's change.
    Publish(Publication),
    /// `append …`: a change that an operator's command would not have sent.
    Append(Publication),
    /// `bind …`: makes a job's id one that only that entry host may start.
    Bind(Jobs, SmolStr),
    /// `submit …` and `resubmit …`.
    Submit(Submit),
    /// `cancel …`.
    Cancel(Jobs, SmolStr),
    /// `fetch …`.
    Fetch(Jobs, SmolStr),
    /// `wait until …`.
    Wait(Condition),
    /// `let … pass`: only where a fault's duration is the point.
    Pass(Millis),
    /// `kill`, `restart`, `freeze`, `thaw` and `stop`.
    Signal(Action, Target),
    /// `cut`, `hold`, `blackhole`, `stall`, `delay`, `drop answers on`, `break off`, `heal`.
    Network(Mode, Edge),
    /// `platform …`.
    Platform(PlatformFault),
    /// `executor …`.
    Executor(SmolStr, ExecutorFault),
    /// `host … is no longer listed` and `host … is listed`.
    ListHost(SmolStr, bool),
    /// `note the starts of executor …`.
    Note(SmolStr),
    /// `expect …`.
    Expect(Expectation),
}

/// What `given` sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setting {
    /// Slots of each executor.
    Slots(u32),
    /// Tasks that may wait on each executor.
    Queue(u32),
    /// How long the log keeps records.
    Retention(Millis),
    /// How far the host list lags.
    HostListLag(Millis),
    /// Oldest submission id taken.
    Horizon(Millis),
    /// Most that clocks differ.
    Skew(Millis),
    /// How long a submission waits for its claim.
    ClaimPatience(Millis),
    /// Longest drain.
    DrainTimeout(Millis),
    /// Silence after which a peer is held to be gone.
    GoneAfter(Millis),
}

/// An operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publication {
    /// The class.
    pub class: ClassName,
    /// How soon its jobs must be finished.
    pub within: Millis,
    /// Whether its tasks may run twice.
    pub may_run_twice: bool,
    /// The revision that the operator saw; the one in force by the log if not said.
    pub from: Option<Revision>,
    /// What the operator is told.
    pub told: PublishResult,
}

/// What an operator is told of a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PublishResult {
    /// It is accepted.
    #[default]
    Accepted,
    /// It lost a race.
    Raced,
    /// The platform can't be reached; nothing was sent.
    Unreachable,
    /// Its fate is not known.
    Undecided,
}

impl PublishResult {
    /// Gets the exit code that tells it.
    pub fn exit_code(self) -> i32 {
        match self {
            PublishResult::Accepted => 0,
            PublishResult::Unreachable => 1,
            PublishResult::Raced => 3,
            PublishResult::Undecided => 4,
        }
    }
}

/// Jobs that a statement is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Jobs {
    /// These.
    Named(Vec<SmolStr>),
    /// All that were submitted.
    Every,
}

/// What `submit` sends, and `resubmit` sends again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submit {
    /// The jobs.
    pub jobs: Jobs,
    /// What is sent.
    pub content: Content,
    /// Where to.
    pub to: Receivers,
    /// Whether the caller submits again, when invited, until it is run.
    pub is_persistent: bool,
}

/// The content of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// New.
    New {
        /// The class.
        class: ClassName,
        /// Number of tasks.
        tasks: usize,
        /// Service time of each.
        service: Millis,
        /// A task that fails, counted from 1.
        failing: Option<usize>,
        /// A deadline sooner than the class's target.
        deadline: Option<Millis>,
    },
    /// The same as before.
    Same,
    /// Other content under the same id.
    Other,
}

/// Entry hosts that get a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Receivers {
    /// Each of them gets each job, at the same time.
    Each(Vec<SmolStr>),
    /// They take turns.
    InTurn(Vec<SmolStr>),
}

/// What `wait until` waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// That many tasks of the jobs have started, at least.
    Started(usize, Jobs),
    /// All copies of the jobs, of that entry host if named, are answered or lost.
    Answered(Jobs, Option<SmolStr>),
    /// The revision, or a later one, is in force.
    InForce(Revision, HostScope),
    /// The entry process has ended.
    Ended(SmolStr),
    /// The entry process can read the claims in the log.
    ReadsLog(HostScope),
    /// The executors of its zone are known to the entry process.
    KnowsExecutors(HostScope),
    /// The entry process holds all other hosts whose entry runs to be live.
    KnowsPeers(HostScope),
    /// The platform has taken that many appends to a stream, at least.
    Appended(u64, SmolStr),
}

/// Entry hosts where something holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostScope {
    /// On all whose entry process runs.
    Everywhere,
    /// On that one.
    At(SmolStr),
}

/// What is done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// SIGKILL.
    Kill,
    /// Starts it anew; as its old self if it still runs it is killed first.
    Restart,
    /// SIGSTOP.
    Freeze,
    /// SIGCONT.
    Thaw,
    /// SIGTERM.
    Stop,
}

/// Processes that something is done to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// One process of an entry host.
    Part(ProcessKind, SmolStr),
    /// Both processes of an entry host.
    Host(SmolStr),
    /// Both processes of all entry hosts.
    EveryHost,
    /// An executor.
    Executor(SmolStr),
}

/// What the platform does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformFault {
    /// Closes every connection without an answer.
    DownRefusing,
    /// Never answers.
    DownHanging,
    /// Works again.
    Back,
    /// Loses the answers of the next appends after they took effect.
    LosesAnswers(u32),
    /// Drops the next appends without effect and without an answer.
    DropsAppends(u32),
    /// Answers every call that much later.
    Slow(Millis),
    /// Answers every call with an error.
    Status(u16),
    /// Shows the state of this moment to readers.
    OutOfDate,
    /// Forgets a stream's records before an offset.
    Forgets(SmolStr, Offset),
}

/// What an executor does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutorFault {
    /// Runs tasks but answers nothing.
    Silent,
    /// Fails every task at once.
    FailsAll,
    /// Refuses every task.
    RefusesAll,
    /// Is that many times slower.
    Slows(u32),
    /// Answers that much later.
    Late(Millis),
    /// Answers with another task's id.
    Foreign,
    /// Breaks its answers off in the body.
    BreaksOff,
    /// Works well again.
    Recovers,
    /// Says in its answers that it is leaving.
    Drains,
    /// Is shown as leaving in the host list.
    ListedLeaving,
    /// Is left out of the host list.
    Unlisted,
}

/// An answer as a caller hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// An answer with this outcome.
    Outcome(Outcome),
    /// The connection broke without an answer.
    Lost,
    /// No connection came about, and nothing was sent.
    Unreached,
}

/// How often a task may have started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartCount {
    /// Never or once.
    AtMostOnce,
    /// Once.
    ExactlyOnce,
}

/// What must hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// Every task of the jobs started so often.
    EveryTask(Jobs, StartCount),
    /// No task of the jobs started.
    NoTask(Jobs),
    /// Some task of the jobs started.
    SomeTask(Jobs),
    /// Every answer to the jobs, of that entry host if named, is one of these.
    Answers(Jobs, Option<SmolStr>, Vec<AnswerKind>),
    /// Every answer to the jobs, of that entry host if named, has one of these codes.
    Codes(Jobs, Option<SmolStr>, Vec<u16>),
    /// Some answer to the jobs is one of these.
    SomeAnswer(Jobs, Vec<AnswerKind>),
    /// The class's target is in force.
    Target(Publication, HostScope),
    /// Just that revision is in force.
    Revision(Revision, HostScope),
    /// The entry process ended with that exit code.
    ExitCode(SmolStr, i32),
    /// The executor started nothing since its starts were noted.
    NoNewStart(SmolStr),
    /// The executor started something since its starts were noted.
    NewStart(SmolStr),
    /// The platform has taken at most that many appends to a stream.
    AppendsAtMost(u64, SmolStr),
}
