//! Client library: content steering (the routine of HLS Content Steering, applied to request
//! routing) and HTTP requests whose outcome states whether they were executed (design 7.6).
//!
//! [`steering`] is a pure state machine that takes the current time as an argument; [`client`] runs
//! it over hyper. The library is used by users' programs and by the test clients of this project.

#![warn(missing_docs)]

pub mod client;
pub mod steering;

pub use client::{AttemptError, Client, Outcome};
