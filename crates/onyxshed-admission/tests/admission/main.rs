//! Tests of the decisions on callers under overload.

mod caller_shares;
mod return_plan;
