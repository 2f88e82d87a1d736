//! Ways to break the product on purpose, to show that the judges see it (design 10.3). They live in
//! the simulator's shells alone: no program has them.

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Break {
    /// A filing goes on like a lookup after it may have run.
    FilingsGoAgain,
    /// Every refusal says not-run.
    LiesNotRun,
    /// The first miss of a lookup ends it.
    LookupsGiveUp,
    /// Proxies choose servers of emptied zones.
    IgnoresEmptied,
    /// Proxies do not see leaving marks.
    IgnoresLeaving,
    /// A daemon goes back to an earlier word after a while.
    SlipsBack,
    /// News brings a new word only after six seconds.
    LateWord,
    /// Whatever comes back gets all at once.
    FloodsCold,
    /// The retry budget has no bound, and servers misbehave.
    UnboundRetries,
    /// Region bounds are forgotten.
    ForgetsBounds,
    /// Receipts hold for nine seconds.
    LongReceipts,
    /// Disks say that they synced and did not.
    DisksLie,
    /// A read shows a byte that was never accepted.
    AltersReads,
    /// Two operators' changes get one revision: a reader is told the wrong number.
    WrongRevisions,
    /// A submission is taken twice: keys are forgotten.
    ForgetsKeys,
    /// What a version says is not looked at.
    ForgetsVersions,
    /// Daemons stay down after the last fault.
    StaysDown,
    /// A proxy that starts goes by the first word it ever saw, and does not wait for news.
    StartsStale,
    /// Directories know of no emptied zone.
    StillSteersThere,
    /// Some filings are refused though servers are there.
    RefusesFilings,
    /// Some filings that ran are told may-have-run.
    DoubtsFilings,
    /// Some operators' calls are refused by a registry that reaches its stores.
    RefusesOperators,
    /// Registries do not check setups.
    TakesInvalid,
    /// Orders to empty a zone that is emptied already change nothing.
    OneOrderForAll,
    /// An order that is sent again without a key counts once more.
    CountsSentAgain,
    /// Directories give no receipts after the last fault.
    DirectoriesStayDown,
    /// Who starts goes by whatever it is told first.
    NoFloor,
}

/// Where a daemon can be killed in the middle of what it does. Points are counted as they are passed
/// and visited one after the other (design 10.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Point {
    BeforeSave,
    AfterSave,
    BeforeCall,
    BeforeAnswer,
    AfterAnswer,
    BeforeChosen,
    BeforeStoreAsk,
    AfterStoreAsk,
    BeforeReceipt,
    BeforeConnect,
    BeforeSend,
    AfterSend,
    BeforePassing,
    AfterPassing,
}

/// The visit that is planned: at the `turn`-th passing of the point, counted from `from` on.
#[derive(Clone, Copy, Debug)]
pub struct Visit {
    pub point: Point,
    pub turn: u32,
    pub from: std::time::Duration,
}
