//! Sends orders to workers and reports the results to the engine.

use std::sync::Arc;

use basilbridge_workflow::{
    order::{
        Order,
        Start,
        Stop,
        Throttle, //
    },
    report::{
        StartResult,
        StopResult, //
    },
};

use crate::{
    advisor,
    owner::Owner,
    profile::Part, //
};

/// Sends an order in the background.
pub(crate) fn send(owner: &Arc<Owner>, order: Order) {
    let owner = Arc::clone(owner);
    let profile = owner.node.clients.profile.clone();
    tokio::spawn(async move {
        match order {
            Order::Start(order) => profile.measure(Part::Order, start(owner, order)).await,
            Order::Stop(order) => profile.measure(Part::Order, stop(owner, order)).await,
            Order::Throttle(order) => profile.measure(Part::Order, throttle(owner, order)).await,
            Order::RequestAdvice(request) => {
                let advice = advisor::request_advice(owner, request);
                profile.measure(Part::Advice, advice).await;
            }
        }
    });
}

async fn start(owner: Arc<Owner>, order: Start) {
    let slots = owner.order_slots(order.target.key);
    // The semaphore is never closed.
    let Ok(_permit) = slots.acquire().await else {
        return;
    };
    if owner.has_ended() {
        return;
    }
    let (key, task, run) = (order.target.key, order.task.clone(), order.run);
    let begun = owner.now();
    let is_valid = {
        let engine = owner.engine();
        engine.may_send(key, &task, run, begun) && engine.is_ticket_valid(&order, begun)
    };
    let answer = if !is_valid {
        StartResult::Withheld
    } else if owner.may_send_orders() {
        (owner.node.clients.workers.start)(owner.epoch(), order).await
    } else {
        StartResult::Unsent
    };
    let now = owner.now();
    owner.node.metrics.time("start_call", now.since(begun));
    owner
        .engine()
        .handle_start_result(key, &task, run, answer, now);
    owner.wake.notify_one();
}

async fn stop(owner: Arc<Owner>, order: Stop) {
    let slots = owner.order_slots(order.target.key);
    // The semaphore is never closed.
    let Ok(_permit) = slots.acquire().await else {
        return;
    };
    if owner.has_ended() {
        return;
    }
    let (key, task, run) = (order.target.key, order.task.clone(), order.run);
    let answer = (owner.node.clients.workers.stop)(owner.epoch(), order).await;
    let now = owner.now();
    owner
        .engine()
        .handle_stop_result(key, &task, run, answer, now);
    owner.wake.notify_one();
}

async fn throttle(owner: Arc<Owner>, order: Throttle) {
    let slots = owner.order_slots(order.target.key);
    // The semaphore is never closed.
    let Ok(_permit) = slots.acquire().await else {
        return;
    };
    let (key, task, run) = (order.target.key, order.task.clone(), order.run);
    let percent = order.percent;
    let answer = (owner.node.clients.workers.throttle)(owner.epoch(), order).await;
    if answer != StopResult::Taken {
        owner
            .engine()
            .handle_throttle_failure(key, &task, run, percent);
    }
}
