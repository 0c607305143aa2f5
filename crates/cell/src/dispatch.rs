//! Sends orders, and tells the engine what came of them.

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

use crate::owner::Owner;

/// Sends an order in the background.
pub(crate) fn send(owner: &Arc<Owner>, order: Order) {
    let owner = Arc::clone(owner);
    match order {
        Order::Start(order) => {
            tokio::spawn(start(owner, order));
        }
        Order::Stop(order) => {
            tokio::spawn(stop(owner, order));
        }
        Order::Throttle(order) => {
            tokio::spawn(pace(owner, order));
        }
        Order::RequestAdvice(question) => Arc::clone(&owner).ask(question),
    }
}

async fn start(owner: Arc<Owner>, order: Start) {
    let gate = owner.gate(order.target.key);
    // The gate is never closed.
    let Ok(_permit) = gate.acquire().await else {
        return;
    };
    if owner.is_over() {
        return;
    }
    let (key, task, run) = (order.target.key, order.task.clone(), order.run);
    let begun = owner.now();
    let answer = if owner.is_awake() {
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
    let gate = owner.gate(order.target.key);
    // The gate is never closed.
    let Ok(_permit) = gate.acquire().await else {
        return;
    };
    if owner.is_over() {
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

async fn pace(owner: Arc<Owner>, order: Throttle) {
    let gate = owner.gate(order.target.key);
    // The gate is never closed.
    let Ok(_permit) = gate.acquire().await else {
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
