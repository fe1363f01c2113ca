//! Events and metrics of the refusals of a process's servers.

use std::rc::Rc;

use metrics::Counter;
use onyxshed_core::{Event, EventKind};
use onyxshed_http::server::{Limit, Refusal, RefusalReporter};
use onyxshed_kernel::Kernel;
use smol_str::format_smolstr;

use crate::metric::listener_counter;

/// Counter of refusals by listener and limit.
pub const LIMITS_MET_TOTAL: &str = "onyxshed_limits_met_total";

/// Returns a reporter that emits an event for each refusal of a listener, and counts those at a limit.
pub fn reporter(kernel: &Kernel, listener: &'static str) -> RefusalReporter {
    let counters: Vec<(Limit, Counter)> = Limit::ALL
        .map(|limit| (limit, counter(listener, limit)))
        .into();
    let kernel = kernel.clone();
    Rc::new(move |refusal: Refusal| {
        let met = counters
            .iter()
            .find(|(limit, _)| Some(*limit) == refusal.limit);
        let detail = match met {
            Some((limit, counter)) => {
                counter.increment(1);
                format_smolstr!("{}, limit {}", refusal.code, limit.name())
            }
            None => format_smolstr!("{}", refusal.code),
        };
        let event = Event::new(EventKind::RequestRejected).party(listener);
        kernel.emit(event.detail(detail));
    })
}

fn counter(listener: &'static str, limit: Limit) -> Counter {
    let text = "Requests and connections of clients refused at a limit, by listener and limit.";
    listener_counter(LIMITS_MET_TOTAL, text, listener, ("limit", limit.name()))
}
