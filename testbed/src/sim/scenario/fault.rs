//! The kinds of faults, and which of them may overlap.

use crate::sim::Random;
use strum::IntoEnumIterator;

/// A kind of fault. The names on the command line are those of earlier versions.
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
    /// A proxy's machine stands still.
    FreezeProxy,
    /// A registry's machine stands still.
    FreezeRegistry,
    /// A store's machine stands still.
    FreezeStore,
    /// A proxy is cut off from all other nodes.
    IsolateProxy,
    /// A registry or store is cut off from all other nodes.
    IsolateCore,
    /// The core machines of a region are cut off from the others.
    SplitControl,
    /// The core machines are cut off from the proxies.
    ControlCutOff,
    /// What a node sends to other nodes is lost.
    OneWayCut,
    /// Some messages take up to 300 ms longer.
    SlowNetwork,
    /// A store loses its disk.
    LoseDisk,
    /// A core machine is replaced by an empty one.
    ReplaceCore,
    /// All core machines are replaced, one after the other.
    #[strum(serialize = "swap-all-core")]
    ReplaceAllCore,
    /// A store's disk is full.
    DiskFull,
    /// A node's wall clock jumps, and the node is started again.
    ClockJump,
    /// All nodes are started again, one after the other.
    RollingRestart,
    /// A server is down for a while.
    ServerKilled,
    /// A server goes down again in its slow start.
    #[strum(serialize = "server-cold-twice")]
    ServerRestartedTwice,
    /// The servers of an application are started again, one after the other.
    #[strum(serialize = "servers-one-by-one")]
    RollingServerRestart,
    /// All servers of the lookups and filings are started again at one time, and warm up together.
    #[strum(serialize = "all-servers-cold")]
    AllServersRestarted,
    /// A server drains and is removed.
    #[strum(serialize = "server-leaves")]
    ServerDrains,
    /// The address of a server passes to a server of another service.
    #[strum(serialize = "address-passed")]
    AddressReassigned,
    /// Servers lose responses, break them off or fall silent.
    ServersMisbehave,
    /// An operator drains a zone and restores it.
    #[strum(serialize = "empty-zone")]
    DrainZone,
    /// Two or three evacuations of one zone overlap, by calls without keys; registries die with some of the
    /// calls in progress.
    OverlappingEvacuations,
    /// Twenty changes of the configuration within two seconds.
    #[strum(serialize = "storm")]
    ConfigBurst,
    /// The registry and the store of one core machine go down together.
    #[strum(serialize = "core-machine-dies")]
    CoreMachineCrashes,
    /// Both machines' processes stand still.
    CoreMachineFreezes,
    /// Both are cut off from all other nodes.
    CoreMachineCutOff,
    /// A server's machine stands still and goes on.
    ServerFreezes,
    /// Some proxies reach a server, others do not.
    #[strum(serialize = "server-half-cut")]
    ServerPartlyUnreachable,
    /// What a server sends is lost, what is sent to it comes.
    #[strum(serialize = "server-mute")]
    ServerResponsesLost,
    /// A server's machine loses power for less than five seconds.
    ServerShortPower,
    /// All nodes and servers of a zone are cut off from all others; clients reach them all.
    ZoneCut,
    /// The same for a region.
    RegionCut,
    /// The clients of one region do not reach its proxies.
    #[strum(serialize = "callers-cut")]
    ClientsCut,
    /// A proxy's machine stands still for 25 s.
    FreezeProxyLong,
    /// All core machines are replaced, and then all nodes are killed: proxies start with their first seeds, of
    /// which none is left.
    #[strum(serialize = "swap-all-core-then-kill-all")]
    ReplaceAllCoreThenKillAll,
    /// A flood of downloads that take seconds, more than the limit of their class, and the limits of all classes
    /// are small.
    Downloads,
    /// The platform serves invalid, empty or outdated lists, and a server drains meanwhile.
    #[strum(serialize = "platform-lies")]
    FaultyEndpointLists,
    /// Configurations bind filings to another region, again and again.
    #[strum(serialize = "bounds-move")]
    RegionBoundsMove,
    /// The clients of one zone send three times as much, for 40 s. Servers work on one request at a time and
    /// report their load.
    Surge,
    /// Nodes of every role are started again, singly, in turn and all at once, amid a storm of changes, while a
    /// registry lags, one stands still, and a proxy starts where it hears only the one that lags.
    #[strum(serialize = "restarts-in-storm")]
    RestartsInConfigBurst,
    /// A core machine is cut off for 14 to 20 s. This and the next four are the worst cases of
    /// `docs/control.md`.
    #[strum(serialize = "control-cut-20s")]
    ControlCut20s,
    /// Operators race under one version, and their answers are lost.
    #[strum(serialize = "operators-race-lost-answers")]
    OperatorsRaceLostResponses,
    /// Disks are lost one after the other.
    SecondLossAfterRepair,
    /// A store misses hundreds of changes.
    HundredsOfChangesThenRestart,
    /// Servers answer wrongly while proxies die.
    #[strum(serialize = "wrong-answers-and-resends")]
    WrongResponsesAndRetries,
}

impl Fault {
    /// Whether this is several faults at one time: seeds that draw from all kinds leave it out.
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

/// Two or three faults at one time: not more than one of them takes down a zone, a region or all nodes of a
/// role, for that is what the users' deployments have to survive.
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
    // Losses of one core machine, or of a store's disk: one of them at a time.
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
    let all: Vec<Fault> = Fault::iter()
        // Left out are no fault, what is two wide faults by itself, and what leaves too little capacity for
        // another fault. Overlapping evacuations have scenarios of their own.
        .filter(|fault| {
            ![
                Fault::None,
                Fault::ReplaceAllCoreThenKillAll,
                Fault::AllServersRestarted,
                Fault::OverlappingEvacuations,
            ]
            .contains(fault)
                && !fault.is_compound()
        })
        .collect();
    let mut chosen: Vec<Fault> = Vec::new();
    let count = 2 + random.below(2);
    while chosen.len() < count {
        let next = all[random.below(all.len())];
        let is_wide = |fault: &Fault| WIDE.contains(fault);
        let is_core = |fault: &Fault| CORE.contains(fault) || is_wide(fault);
        let is_too_much = chosen.contains(&next)
            || (is_wide(&next) && chosen.iter().any(is_wide))
            || (is_core(&next) && chosen.iter().any(is_core));
        if !is_too_much {
            chosen.push(next);
        }
    }
    chosen
}
