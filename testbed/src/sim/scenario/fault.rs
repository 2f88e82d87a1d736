//! The kinds of faults, and which of them may overlap.

use crate::sim::Random;
use strum::IntoEnumIterator;

/// A kind of fault. The command line keeps the names of earlier versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    None,
    /// A proxy is down for a while.
    KillProxy,
    /// A registry is down for a while.
    KillRegistry,
    /// A store is down for a while.
    KillStore,
    /// More than half of the proxies are down for a while.
    KillManyProxies,
    /// All registries and stores are down for a while.
    KillControl,
    /// All nodes are down for a while.
    KillAll,
    /// All machines of a zone lose power.
    ZonePower,
    /// All machines of a region lose power.
    RegionPower,
    /// A proxy's machine is frozen for a while.
    FreezeProxy,
    /// A registry's machine is frozen for a while.
    FreezeRegistry,
    /// A store's machine is frozen for a while.
    FreezeStore,
    /// A proxy is partitioned from all other nodes.
    IsolateProxy,
    /// A registry or a store is partitioned from all other nodes.
    IsolateCore,
    /// The core machines of a region are partitioned from the other core machines.
    SplitControl,
    /// The core machines are partitioned from the proxies.
    ControlCutOff,
    /// Messages from a node to other nodes are lost; messages to it arrive.
    OneWayCut,
    /// Some messages are delayed by up to 300 ms.
    SlowNetwork,
    /// A store loses its disk.
    LoseDisk,
    /// A core machine is replaced by one with an empty disk.
    ReplaceCore,
    /// All core machines are replaced, one after the other.
    #[strum(serialize = "swap-all-core")]
    ReplaceAllCore,
    /// A store's disk is full.
    DiskFull,
    /// A node's wall clock jumps, and the node is restarted.
    ClockJump,
    /// All nodes are terminated and restarted, one after the other.
    RollingRestart,
    /// A server is down for a while.
    ServerKilled,
    /// A server goes down again during its slow start.
    #[strum(serialize = "server-cold-twice")]
    ServerRestartedTwice,
    /// The servers of an application are restarted one after the other.
    #[strum(serialize = "servers-one-by-one")]
    RollingServerRestart,
    /// All servers for lookups and filings are restarted at one time, so that all are in slow start together.
    #[strum(serialize = "all-servers-cold")]
    AllServersRestarted,
    /// A server is drained and removed from the endpoint list.
    #[strum(serialize = "server-leaves")]
    ServerDrains,
    /// The address of a server is reassigned to a server of another service.
    #[strum(serialize = "address-passed")]
    AddressReassigned,
    /// Servers close the connection after execution, truncate responses or do not respond.
    ServersMisbehave,
    /// An operator drains a zone and restores it.
    #[strum(serialize = "empty-zone")]
    DrainZone,
    /// Two or three evacuations of one zone overlap. Their calls have no idempotency keys, and registries
    /// crash with some of the calls in progress.
    OverlappingEvacuations,
    /// Evacuations of one zone in series; answers to the operator are lost, so that orders are sent again.
    EvacuationsLostAnswers,
    /// Evacuations of one zone in series. A core machine is frozen for 4 s as each is withdrawn, and finds calls
    /// in its sockets whose callers have left.
    EvacuationsControlFreezes,
    /// Twenty configuration changes within two seconds.
    #[strum(serialize = "storm")]
    ConfigBurst,
    /// The registry and the store of one core machine lose power together.
    #[strum(serialize = "core-machine-dies")]
    CoreMachineCrashes,
    /// The registry and the store of one core machine are frozen together.
    CoreMachineFreezes,
    /// The registry and the store of one core machine are partitioned from all other nodes.
    CoreMachineCutOff,
    /// A server's machine is frozen for a while.
    ServerFreezes,
    /// Some proxies cannot reach a server, others can.
    #[strum(serialize = "server-half-cut")]
    ServerPartlyUnreachable,
    /// Messages from a server to proxies are lost; messages to it arrive.
    #[strum(serialize = "server-mute")]
    ServerResponsesLost,
    /// A server's machine loses power for less than five seconds.
    ServerShortPower,
    /// All nodes and servers of a zone are partitioned from all others. Clients still reach all of them.
    ZoneCut,
    /// All nodes and servers of a region are partitioned from all others. Clients still reach all of them.
    RegionCut,
    /// The clients of one region cannot reach the proxies of this region.
    #[strum(serialize = "callers-cut")]
    ClientsCut,
    /// A proxy's machine is frozen for 25 s.
    FreezeProxyLong,
    /// All core machines are replaced, and then all nodes are killed and restarted. The proxies start with
    /// their initial seeds, none of which exists any more.
    #[strum(serialize = "swap-all-core-then-kill-all")]
    ReplaceAllCoreThenKillAll,
    /// More concurrent downloads of 3 s each than the concurrency limit of their class admits; the limits of
    /// all classes are lowered.
    Downloads,
    /// The platform serves invalid, empty or outdated endpoint lists while a server is marked as draining.
    #[strum(serialize = "platform-lies")]
    FaultyEndpointLists,
    /// Six configurations in turn move the region bounds of filings to another region and back.
    #[strum(serialize = "bounds-move")]
    RegionBoundsMove,
    /// The clients of one zone send three times their ordinary rate for 40 s. Servers process one request at
    /// a time and report their load.
    Surge,
    /// All nodes are restarted, in turn and then at once, during a burst of configuration changes. Meanwhile
    /// one registry lags behind, another one is frozen, and a proxy starts that reaches only the lagging
    /// registry.
    #[strum(serialize = "restarts-in-storm")]
    RestartsInConfigBurst,
    /// A core machine is partitioned or frozen for 14 to 20 s. This and the next four kinds are the worst
    /// cases of `docs/control.md`.
    #[strum(serialize = "control-cut-20s")]
    ControlCut20s,
    /// Operators submit different configurations under one version, and their responses are lost.
    #[strum(serialize = "operators-race-lost-answers")]
    OperatorsRaceLostResponses,
    /// Disks of several stores are lost, each after the previous loss was repaired.
    SecondLossAfterRepair,
    /// A store is down during hundreds of changes and has to catch up after its restart.
    HundredsOfChangesThenRestart,
    /// Servers fail part of their requests while proxies are killed and frozen.
    #[strum(serialize = "wrong-answers-and-resends")]
    WrongResponsesAndRetries,
}

impl Fault {
    /// Whether this kind combines several faults at one time. Random selections of faults leave such kinds
    /// out.
    pub fn is_compound(self) -> bool {
        matches!(
            self,
            Fault::RestartsInConfigBurst
                | Fault::ControlCut20s
                | Fault::OperatorsRaceLostResponses
                | Fault::SecondLossAfterRepair
                | Fault::HundredsOfChangesThenRestart
                | Fault::WrongResponsesAndRetries
        )
    }
}

/// Draws two or three faults that overlap. At most one of them takes down a zone, a region or all nodes of a
/// role, since the users' deployments have to survive one such fault at a time.
pub fn overlapping_faults(seed: u64) -> Vec<Fault> {
    const WIDE: [Fault; 9] = [
        Fault::ZonePower,
        Fault::RegionPower,
        Fault::ZoneCut,
        Fault::RegionCut,
        Fault::KillControl,
        Fault::KillAll,
        Fault::KillManyProxies,
        Fault::ControlCutOff,
        Fault::ReplaceAllCore,
    ];
    // Faults of one core machine or one store's disk. At most one of them, or of the wide faults, is chosen.
    const CORE: [Fault; 13] = [
        Fault::KillStore,
        Fault::FreezeStore,
        Fault::IsolateCore,
        Fault::SplitControl,
        Fault::OneWayCut,
        Fault::LoseDisk,
        Fault::ReplaceCore,
        Fault::DiskFull,
        Fault::ClockJump,
        Fault::RollingRestart,
        Fault::CoreMachineCrashes,
        Fault::CoreMachineFreezes,
        Fault::CoreMachineCutOff,
    ];
    let mut random = Random::new(seed ^ 0x6f76_6572);
    let candidates: Vec<Fault> = Fault::iter()
        // The exceptions are: no fault; a kind that consists of two wide faults; and a kind that leaves too
        // little capacity for another fault. Overlapping evacuations have scenarios of their own.
        .filter(|fault| {
            ![
                Fault::None,
                Fault::ReplaceAllCoreThenKillAll,
                Fault::AllServersRestarted,
                Fault::OverlappingEvacuations,
                Fault::EvacuationsLostAnswers,
                Fault::EvacuationsControlFreezes,
            ]
            .contains(fault)
                && !fault.is_compound()
        })
        .collect();
    let mut chosen: Vec<Fault> = Vec::new();
    let count = 2 + random.below(2);
    while chosen.len() < count {
        let next = candidates[random.below(candidates.len())];
        let is_wide = |fault: &Fault| WIDE.contains(fault);
        let is_core = |fault: &Fault| CORE.contains(fault) || is_wide(fault);
        let is_excluded = chosen.contains(&next)
            || (is_wide(&next) && chosen.iter().any(is_wide))
            || (is_core(&next) && chosen.iter().any(is_core));
        if !is_excluded {
            chosen.push(next);
        }
    }
    // Drawn separately, so that the other kinds of a seed stay the same. Only lost answers, since the freezes of
    // the other series are faults of a core machine.
    if Random::new(seed ^ 0x6f72_6465).chance(0.3) {
        chosen.push(Fault::EvacuationsLostAnswers);
    }
    chosen
}
