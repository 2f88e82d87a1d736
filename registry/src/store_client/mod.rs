//! Requests to the stores (design 7.5): a request is sent to one store after the other until one of them
//! answers it definitely. [`StoreRequest`] is a pure state machine; `execute` drives it over the transport.

mod execute;
mod request;

pub(crate) use execute::execute;
pub use request::{ATTEMPT_TIMEOUT, NextAction, StoreRequest, TIMEOUT, stores};

#[cfg(test)]
mod tests;
