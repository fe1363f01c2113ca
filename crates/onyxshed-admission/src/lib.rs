//! Decisions on callers of an overloaded dispatcher: which of them have used their share of the room,
//! and when refused ones should return.
//!
//! [`CallerShares`] divides the room among callers, [`ReturnPlan`] spreads the returns of refused callers
//! over the room to come. Both are state machines without a clock, a socket or a random number: the
//! owner passes the time of each event.
//!
//! Work is counted in any one unit that the owner chooses, such as thousandths of a core times
//! milliseconds; room and offered load are work per second in the same unit.

pub mod caller_shares;
pub mod fair_level;
pub mod recent_work;
pub mod return_plan;

pub use caller_shares::{CallerDecision, CallerShares, Refusals, Room};
pub use fair_level::fair_level;
pub use recent_work::RecentWork;
pub use return_plan::{LoadNow, ReturnPlan};
