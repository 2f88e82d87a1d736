//! The kinds of faults of a day, and which of them may overlap.

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    None,
    KillProxy,
    KillRegistry,
    KillStore,
    KillManyProxies,
    KillControl,
    KillAll,
    ZonePower,
    RegionPower,
    FreezeProxy,
    FreezeRegistry,
    FreezeStore,
    IsolateProxy,
    IsolateCore,
    SplitControl,
    ControlCutOff,
    OneWayCut,
    SlowNetwork,
    LoseDisk,
    ReplaceCore,
    SwapAllCore,
    DiskFull,
    ClockJump,
    RollingRestart,
    ServerKilled,
    ServerColdTwice,
    ServersOneByOne,
    /// All servers of the lookups and filings at one time: they come back cold together.
    AllServersCold,
    ServerLeaves,
    AddressPassed,
    ServersMisbehave,
    EmptyZone,
    /// Two or three evacuations of one zone that overlap, by orders without keys; registries die with some
    /// of them in hand.
    OverlappingEvacuations,
    Storm,
    /// Registry and store of one core machine together.
    CoreMachineDies,
    CoreMachineFreezes,
    CoreMachineCutOff,
    /// A server's machine stands still and goes on.
    ServerFreezes,
    /// Some proxies reach a server, others do not.
    ServerHalfCut,
    /// What a server sends is lost, what is sent to it comes.
    ServerMute,
    /// A server's machine loses power for less than five seconds.
    ServerShortPower,
    /// All daemons and servers of a zone, or a region, from all others; callers reach them all.
    ZoneCut,
    RegionCut,
    /// The callers of one region do not reach its proxies.
    CallersCut,
    FreezeProxyLong,
    /// All core machines at new addresses, and then every process killed: proxies start with the
    /// seeds of the first day, of which none is left.
    SwapAllCoreThenKillAll,
    /// Downloads that take seconds come in a flood, more than their class has room for, and the room
    /// of all classes is small on that day.
    Downloads,
    /// The platform says what is no list, an empty or an older one, and a server leaves meanwhile.
    PlatformLies,
    /// Setups bind filings to another region, again and again.
    BoundsMove,
    /// The callers of one zone send three times as much, for 40 s. Servers work on one request at a
    /// time then and tell the demand that they are under.
    Surge,
    /// Daemons of every role start anew, singly, in turn and all at once, amid a storm of setups, while a
    /// registry lags behind, one stands still, and a proxy starts where only the one that lags is heard.
    RestartsInStorm,
    /// The five points of `docs/control.md` (`worst.rs`).
    #[strum(serialize = "control-cut-20s")]
    ControlCut20s,
    OperatorsRaceLostAnswers,
    SecondLossAfterRepair,
    HundredsOfChangesThenRestart,
    WrongAnswersAndResends,
}

impl Fault {
    /// Several at one time by itself: no part of what seeds draw from all kinds.
    pub fn is_several(self) -> bool {
        matches!(
            self,
            Fault::RestartsInStorm
                | Fault::ControlCut20s
                | Fault::OperatorsRaceLostAnswers
                | Fault::SecondLossAfterRepair
                | Fault::HundredsOfChangesThenRestart
                | Fault::WrongAnswersAndResends
        )
    }
}

/// Two or three faults that run at one time: not more than one that takes a zone, a region or all
/// daemons of a kind, for that is what the users' worlds have to survive.
pub fn overlapping(seed: u64) -> Vec<Fault> {
    use strum::IntoEnumIterator;
    const WIDE: [Fault; 9] = [
        Fault::ZonePower,
        Fault::RegionPower,
        Fault::ZoneCut,
        Fault::RegionCut,
        Fault::KillControl,
        Fault::KillAll,
        Fault::KillManyProxies,
        Fault::ControlCutOff,
        Fault::SwapAllCore,
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
        Fault::CoreMachineDies,
        Fault::CoreMachineFreezes,
        Fault::CoreMachineCutOff,
    ];
    let mut random = crate::sim::Random::new(seed ^ 0x6f76_6572);
    let all: Vec<Fault> = Fault::iter()
        // (Overlapping evacuations have overlapping days of their own, so that what seeds draw here stays.)
        // Nothing, what is two wide faults of itself, and what leaves hardly enough of any kind: all
        // servers cold can do so much together and no more.
        .filter(|fault| {
            ![
                Fault::None,
                Fault::SwapAllCoreThenKillAll,
                Fault::AllServersCold,
                Fault::OverlappingEvacuations,
            ]
            .contains(fault)
                && !fault.is_several()
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
