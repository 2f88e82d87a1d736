//! What a scenario is made of.

use super::Fault;
use crate::sim::crash_points::PlannedCrash;
use crate::sim::mutations::Mutation;
use crate::topology::{self, Topology};
use std::time::Duration;

/// The users' deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Few zones, far apart.
    Raiocerto,
    /// Many proxies, close together.
    Guild,
}

impl Deployment {
    /// Its zones, proxies, servers and configuration.
    pub(super) fn topology(self) -> Topology {
        match self {
            Deployment::Raiocerto => topology::raiocerto(),
            Deployment::Guild => topology::guild(),
        }
    }
}

/// A scenario without its seed.
#[derive(Clone)]
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// The faults in their order.
    pub faults: Vec<Fault>,
    /// The traffic, as a part of the deployment's.
    pub rate: f64,
    /// The mean time between an operator's calls; zero for none.
    pub operator_interval: Duration,
    /// Records a trace.
    pub is_traced: bool,
    /// Core machines, with a store and a registry each; with five of them the faults of disks and of
    /// core machines come to two at one time.
    pub stores: usize,
    /// Stores beside them, with empty disks, which take over member slots that are lost.
    pub spares: usize,
    /// The faults begin at nearly one time, and not one after the other.
    pub overlap: bool,
    /// The platform does not number its lists: registries do (design 4).
    pub unversioned_lists: bool,
    /// What is broken on purpose.
    pub mutation: Option<Mutation>,
    /// Where a node is killed in the middle of a step.
    pub planned_crash: Option<PlannedCrash>,
}

impl Plan {
    /// A plan with three stores, half of the traffic and an operator's call each 0.9 s.
    pub fn new(deployment: Deployment, faults: &[Fault]) -> Plan {
        Plan {
            deployment,
            faults: faults.to_vec(),
            rate: 0.5,
            operator_interval: Duration::from_millis(900),
            is_traced: false,
            stores: 3,
            spares: 0,
            overlap: false,
            unversioned_lists: false,
            mutation: None,
            planned_crash: None,
        }
    }
}
