//! The caller library: the steering routine of the source, and requests that keep its verdicts
//! (design 7.6). For clerks' and owners' programs, and for the project's stand-in callers.

pub mod client;
pub mod steering;

pub use client::{Client, Outcome};
