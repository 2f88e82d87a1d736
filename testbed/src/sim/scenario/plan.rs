//! The parameters of a scenario.

use super::Fault;
use crate::sim::crash_points::PlannedCrash;
use crate::sim::mutations::Mutation;
use crate::topology::{self, Topology};
use std::time::Duration;

/// The deployments of the project's users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Few proxies in zones that are far apart.
    Raiocerto,
    /// Many proxies in zones that are close together.
    Guild,
}

impl Deployment {
    /// The zones, proxies, servers and configuration of the deployment.
    pub(super) fn topology(self) -> Topology {
        match self {
            Deployment::Raiocerto => topology::raiocerto(),
            Deployment::Guild => topology::guild(),
        }
    }
}

/// The parameters of a scenario, without the seed.
#[derive(Clone)]
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// The faults, in the order in which they begin.
    pub faults: Vec<Fault>,
    /// The request rate, as a share of the deployment's.
    pub rate: f64,
    /// The mean time between an operator's calls; zero for none.
    pub operator_interval: Duration,
    /// Records a trace.
    pub is_traced: bool,
    /// The number of core machines, with a store and a registry each. With five of them, faults that lose a
    /// disk or replace a core machine hit two at one time.
    pub stores: usize,
    /// The number of additional stores with empty disks, which take over lost member slots.
    pub spares: usize,
    /// The faults begin within 3 s of each other instead of one after the other.
    pub overlap: bool,
    /// The platform serves endpoint lists without revisions, and registries number them (design 4).
    pub unversioned_lists: bool,
    /// The number of pages of the endpoint list, which are read one after the other, from a platform in the
    /// region of the registry whose name sorts last. Only with `unversioned_lists`.
    pub list_pages: u32,
    /// Requests need API keys, and operators change the keys of tenants in series.
    pub tenants: bool,
    /// The deliberate defect to run with.
    pub mutation: Option<Mutation>,
    /// The crash point at which a node is killed.
    pub planned_crash: Option<PlannedCrash>,
}

impl Plan {
    /// A plan with three stores, half of the deployment's traffic and 0.9 s between operators' calls on
    /// average.
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
            list_pages: 1,
            tenants: false,
            mutation: None,
            planned_crash: None,
        }
    }
}
