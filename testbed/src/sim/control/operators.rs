//! The calls of operators to registries.

use crate::sim::network::{Body, Purpose};
use crate::sim::state::{KEYLESS_CALL_TIMEOUT, Operation, OperatorCall, Sim};
use std::time::Duration;
use vanepath_store::protocol::Outcome;

/// How long an operator waits for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(9);

impl Sim {
    /// Sends an operator's call to a registry, and returns the index of the operation.
    pub fn call_registry(&mut self, call: OperatorCall, registry: usize) -> usize {
        let started_at = self.net.now;
        self.operations.push(Operation {
            call,
            registry,
            started_at,
            ended_at: None,
            outcome: None,
        });
        let operation = self.operations.len() - 1;
        self.observe_operation(operation);
        let target = self.nodes[registry].host;
        let is_keyless = self.operations[operation].call.evacuation().is_some();
        let timeout = if is_keyless { KEYLESS_CALL_TIMEOUT } else { CALL_TIMEOUT };
        let purpose = Purpose::OperatorCall { operation };
        self.net.send(self.operator_host, target, timeout, Body::OperatorCall(operation), purpose);
        operation
    }

    /// Ends an operator's call with its answer; `None` if none came in time.
    pub(in crate::sim) fn end_operation(&mut self, number: usize, outcome: Option<Outcome>) {
        let operation = &mut self.operations[number];
        operation.ended_at = Some(self.net.now);
        operation.outcome = outcome;
        self.observe_operation(number);
    }
}
