//! Orders to executors. Each order runs as a separate asynchronous task, which passes the answer to
//! the pool's state machine.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_adapter::{Error, orders};
use onyxshed_core::Millis;
use onyxshed_http::connections::ReusePolicy;
use onyxshed_http::{Connection, SendState};
use onyxshed_pool::{
    ExecutorId, FencingToken, HoldAnswer, HoldOrder, StartAnswer, StartOrder, StopAnswer, StopOrder,
};

use super::Engine;
use crate::boot_clock;
use crate::measures::OrderKind;

/// Timeout of a start or stop order, after which the idempotent order is sent again.
///
/// An executor answers within 10 ms. An answer that arrives while this host is paused counts,
/// however late it is read. A job of many short tasks has little slack and misses its objective as
/// soon as one of its orders is delayed.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);

/// Time without an answer after which a connection is replaced instead of reused.
///
/// Existing connections may permanently stop delivering data while new ones work; a start order on
/// such a connection is delayed by its timeout.
const CONNECTION_REUSE_WITHIN: Duration = Duration::from_secs(8);

impl Engine {
    pub(super) fn spawn_start(
        self: &Rc<Self>,
        token: FencingToken,
        id: ExecutorId,
        order: StartOrder,
    ) {
        let engine = self.clone();
        let call = async move {
            let answer = engine.start_in_turn(&id, &order).await;
            engine.dispatch_call_result(token, |pool| {
                pool.apply_start_answer(boot_clock::now(), &id, order.task, order.run, &answer)
            });
        };
        self.kernel.spawn(call).detach();
    }

    async fn start_in_turn(&self, id: &ExecutorId, order: &StartOrder) -> StartAnswer {
        let _turn = self.order_turns.wait().await;
        let sent_at = boot_clock::now();
        // Boxed, so that an order that waits for its turn has no memory for its call.
        let answer = Box::pin(self.start(id, order)).await;
        let elapsed = boot_clock::now().since(sent_at);
        self.metrics.record_order(OrderKind::Start, elapsed);
        answer
    }

    async fn start(&self, id: &ExecutorId, order: &StartOrder) -> StartAnswer {
        let call = async |connection: &mut Connection| {
            orders::start(connection, &id.0, order, ORDER_TIMEOUT).await
        };
        match self.call_executor(id, call).await {
            None => StartAnswer::NotSent,
            Some(Ok(answer)) => answer,
            Some(Err(Error::NoReply { source })) if source.sent == SendState::NotSent => {
                StartAnswer::NotSent
            }
            Some(Err(_)) => StartAnswer::Unknown,
        }
    }

    pub(super) fn spawn_stop(
        self: &Rc<Self>,
        token: FencingToken,
        id: ExecutorId,
        order: StopOrder,
    ) {
        let Some(entry) = self.order_turns.enter_stop(&id, &order) else {
            return;
        };
        let engine = self.clone();
        let call = async move {
            let answer = engine.stop_in_turn(&id, &order).await;
            // Before the answer is applied, after which the order may have to be sent again.
            engine.order_turns.leave_stop(&entry);
            engine.dispatch_call_result(token, |pool| {
                pool.apply_stop_answer(boot_clock::now(), &id, order.task, order.run, answer)
            });
        };
        self.kernel.spawn(call).detach();
    }

    async fn stop_in_turn(&self, id: &ExecutorId, order: &StopOrder) -> StopAnswer {
        let _turn = self.order_turns.wait().await;
        let sent_at = boot_clock::now();
        let answer = Box::pin(self.stop(id, order)).await;
        let elapsed = boot_clock::now().since(sent_at);
        self.metrics.record_order(OrderKind::Stop, elapsed);
        answer
    }

    async fn stop(&self, id: &ExecutorId, order: &StopOrder) -> StopAnswer {
        let call = async |connection: &mut Connection| {
            orders::stop(connection, &id.0, order, ORDER_TIMEOUT).await
        };
        match self.call_executor(id, call).await {
            Some(Ok(answer)) => answer,
            Some(Err(_)) | None => StopAnswer::Unknown,
        }
    }

    pub(super) fn spawn_hold(
        self: &Rc<Self>,
        token: FencingToken,
        id: ExecutorId,
        order: HoldOrder,
        pause: Millis,
    ) {
        let engine = self.clone();
        let call = async move {
            if pause.0 > 0 {
                Timer::after(pause.into()).await;
            }
            let sent_at = boot_clock::now();
            let answer = engine.hold(&id, &order).await;
            engine.dispatch_call_result(token, |pool| {
                pool.apply_hold_answer(boot_clock::now(), &id, sent_at, answer)
            });
        };
        self.kernel.spawn(call).detach();
    }

    async fn hold(&self, id: &ExecutorId, order: &HoldOrder) -> HoldAnswer {
        let timeout = Duration::from(order.wait) + Duration::from(order.answer_within);
        let call = async |connection: &mut Connection| {
            orders::hold(connection, &id.0, order, timeout).await
        };
        match self.call_executor(id, call).await {
            Some(Ok(report)) => HoldAnswer::Report(report),
            Some(Err(_)) | None => HoldAnswer::Unknown,
        }
    }

    /// Makes a call on a connection to an executor. Returns `None` if no connection can be opened.
    ///
    /// The connection is returned to the connection pool if it can be reused. Otherwise all idle
    /// connections to the executor are closed too, since the fault that made one connection
    /// unresponsive may affect all of them.
    async fn call_executor<T>(
        &self,
        id: &ExecutorId,
        call: impl AsyncFnOnce(&mut Connection) -> Result<T, Error>,
    ) -> Option<Result<T, Error>> {
        let pool = self.connections.borrow().get(id).cloned()?;
        let mut connection = pool
            .get(ReusePolicy::AnsweredWithin(CONNECTION_REUSE_WITHIN))
            .await
            .ok()?;
        let answer = call(&mut connection).await;
        let is_reusable = answer
            .as_ref()
            .err()
            .is_none_or(Error::can_reuse_connection);
        match is_reusable {
            true => pool.put(connection),
            false => pool.clear(),
        }
        Some(answer)
    }
}
